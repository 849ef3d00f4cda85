//! Invalid settings, commands and release plans.

use std::fmt::Write as _;

use tallypin_router::fleet::release_plan;

use crate::command_line::tallypin;
use crate::fleet_processes::CONFIG;
use crate::recorded_files::assert_as_recorded;

const VALID_SETTINGS: &str = "control {\n socket s\n}\nfleet {\n name nord\n me r0\n key key\n router r0 127.0.0.1:7001 a\n router r1 127.0.0.1:7002 b\n router r2 127.0.0.1:7003 a\n council r0 r1 r2\n out-most 1\n out-zone 1\n}\n";

#[test]
fn invalid_fleet_settings_are_reported_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    std::fs::write(temporary.path().join("config.json"), CONFIG).unwrap();
    let mut got = String::new();
    let with_line = |line: &str| format!(" out-zone 1\n {line}\n");
    for (from, to) in [
        ("", "".to_string()),
        (" name nord\n", "".into()),
        ("me r0", "me r7".into()),
        ("me r0", "me r00".into()),
        ("council r0 r1 r2", "council r0 r1".into()),
        ("council r0 r1 r2", "council r0 r1 r1".into()),
        ("council r0 r1 r2", "council r0 r1 rx".into()),
        ("council r0 r1 r2", "council".into()),
        ("7002", "7001".into()),
        ("127.0.0.1:7002", "nowhere".into()),
        ("out-most 1", "out-most 3".into()),
        ("out-most 1", "out-most 0".into()),
        ("out-most 1", "out-most 10%".into()),
        ("out-most 1", "out-most 0%".into()),
        ("out-most 1", "out-most 101%".into()),
        ("out-most 1", "out-most many".into()),
        ("out-zone 1", "out-zone 10%".into()),
        ("out-zone 1\n", with_line("nodes-out-zone 1")),
        ("out-zone 1\n", with_line("nodes-out-most 0")),
        ("out-zone 1\n", with_line("nodes-out-most 100%")),
        ("out-zone 1\n", with_line("nodes-out-most some")),
        ("out-zone 1\n", with_line("release settings a b\n release settings c d")),
        ("out-zone 1\n", with_line("release else a b")),
        ("out-zone 1\n", with_line("beat 2s")),
        ("out-zone 1\n", with_line("beat 10ms")),
        ("out-zone 1\n", with_line("lease 2m")),
        ("out-zone 1\n", with_line("within never")),
        (
            "out-zone 1\n",
            with_line("nodes-out-most 10%\n nodes-out-kind 1\n store s\n release program p q\n answer 2s"),
        ),
    ] {
        std::fs::write(temporary.path().join("t.conf"), VALID_SETTINGS.replacen(from, &to, 1)).unwrap();
        let (code, text) = tallypin(&["check", "--settings", "t.conf"], temporary.path());
        writeln!(got, "{from:?} -> {to:?}\nexit {code}\n{text}").unwrap();
        if from.is_empty() || code == 0 {
            let (code, text) = tallypin(&["check", "--settings", "t.conf", "--print"], temporary.path());
            writeln!(got, "--print\nexit {code}\n{text}").unwrap();
        }
    }
    assert_as_recorded("settings.txt", &got);
}

#[test]
fn invalid_commands_and_plans_are_reported_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    let write_plan = |text: &str| std::fs::write(temporary.path().join("plan"), text).unwrap();
    let mut got = String::new();
    let mut record_run = |case: &str, arguments: &[&str]| {
        let (code, text) = tallypin(arguments, temporary.path());
        writeln!(got, "{case}$ {}\nexit {code}\n{text}", arguments.join(" ")).unwrap();
    };
    for command in [
        "fleet",
        "fleet status",
        "fleet watch",
        "fleet --socket s",
        "fleet --socket s dance",
        "fleet --socket s drain",
        "fleet --socket s put-back",
        "fleet --socket s take-out",
        "fleet --socket s take-out for 3s",
        "fleet --socket s take-out n for ever",
        "fleet --socket s take-out n for 1ms",
        "fleet --socket s release",
        "fleet --socket s release a b",
        "fleet --socket s release nowhere",
        "fleet --socket s status more",
        "fleet --socket s resume more",
        "fleet --socket s --id",
        "fleet --socket s --id x dance",
        "fleet --socket s status",
        "fleet --socket s --loud status",
        "ctl --socket s fleet status",
        "ctl --socket s fleet dance",
        "ctl --socket s fleet release {}",
        "ctl --socket s fleet release [",
    ] {
        record_run("", &command.split(' ').collect::<Vec<_>>());
    }
    let digest = "ab".repeat(32);
    let valid_plan =
        format!("release {{\n what settings\n digest {digest}\n wave r0\n wave zone a\n failed 0.5%\n}}\n");
    for (from, to) in [
        ("what settings", "what else"),
        ("what settings", ""),
        (digest.as_str(), "abc"),
        (&format!("digest {digest}"), ""),
        (&format!("digest {digest}"), "file nowhere"),
        ("digest", "file nowhere\n digest"),
        ("wave r0", "wafe r0"),
        ("wave r0", "wave"),
        ("failed 0.5%", "failed half"),
        ("failed 0.5%", "watch 2h"),
        ("failed 0.5%", "enough -1"),
        ("failed 0.5%", "on-failure sleep"),
        ("release", "realease"),
        ("}", ""),
        ("wave r0", &(0..65).map(|r| format!("wave r{r}\n ")).collect::<String>()),
    ] {
        write_plan(&valid_plan.replacen(from, to, 1));
        record_run(&format!("{from:?} -> {to:?}\n"), &["fleet", "--socket", "s", "release", "plan"]);
    }
    write_plan(&valid_plan);
    let plan =
        release_plan::read(&temporary.path().join("plan"), &|path| std::fs::read_to_string(path)).unwrap();
    writeln!(got, "a good one, as it is sent\n{}", serde_json::to_string(&plan).unwrap()).unwrap();
    assert_as_recorded("plans.txt", &got);
}
