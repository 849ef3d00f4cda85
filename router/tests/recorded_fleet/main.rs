//! Request a fleet says, stores and answers, byte for byte as recorded in `tests/recorded/fleet`. Written anew by
//! `RECORD=1 cargo test -p tallypin-router --test recorded_fleet`, never by a test that fails.
#![allow(missing_docs)]

mod fleet_rig;

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use fleet_rig::{answer, send, Fleet, CONFIG};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tallypin_router::fleet::release_files::{self, ReleaseFile};
use tallypin_router::fleet::release_plan;
use tallypin_router::fleet::wire::{self, Call, Direction, Keys, Reply};

const KEY: &str = "a key of sixteen bytes and more";
/// Bytes in front of the JSON of a message: its length and its hash.
const HEAD: usize = 36;

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded/fleet").join(name)
}

fn read(name: &str) -> Vec<u8> {
    std::fs::read(recorded(name)).unwrap_or_else(|e| panic!("{}: {e}", recorded(name).display()))
}

/// Compares with what is recorded; says the first line that differs.
fn same(name: &str, got: &str) {
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(recorded(name), got).unwrap();
        return;
    }
    let wanted = String::from_utf8(read(name)).unwrap();
    for (at, (wanted, got)) in wanted.lines().zip(got.lines()).enumerate() {
        assert_eq!(got, wanted, "{name}, line {}", at + 1);
    }
    assert_eq!(got, wanted, "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

/// Each line of a file: the head of a sealed message in hex, and its JSON. Sealing has nothing random in it: the same
/// message gives the same bytes.
fn messages_are_as_recorded<T: Serialize + DeserializeOwned>(name: &str, way: Direction) {
    let keys = Keys::read("nord", KEY).unwrap();
    let text = String::from_utf8(read(name)).unwrap();
    let mut got = String::new();
    for line in text.lines() {
        let json = line.split_once(' ').expect("a head and a body").1;
        let message: T = serde_json::from_str(json).unwrap_or_else(|e| panic!("{json}: {e}"));
        let sealed = keys.seal(way, &message).unwrap();
        let body = std::str::from_utf8(&sealed[HEAD..]).unwrap();
        writeln!(got, "{} {body}", hex(&sealed[..HEAD])).unwrap();
        // The recorded bytes, opened again.
        let head = line.split_once(' ').unwrap().0;
        let head = (0..HEAD).map(|at| u8::from_str_radix(&head[2 * at..2 * at + 2], 16).unwrap());
        let bytes: Vec<u8> = head.chain(json.bytes()).collect();
        if std::env::var_os("RECORD").is_none() {
            let opened: T = keys.open(way, &bytes[4..]).unwrap_or_else(|e| panic!("{json}: {e}"));
            assert_eq!(serde_json::to_string(&opened).unwrap(), json);
        }
    }
    same(name, &got);
}

#[test]
fn calls_are_sealed_and_opened_as_recorded() {
    messages_are_as_recorded::<Call>("calls.txt", Direction::Call);
}

#[test]
fn replies_are_sealed_and_opened_as_recorded() {
    messages_are_as_recorded::<Reply>("replies.txt", Direction::Reply);
}

fn message(json: &str) -> Vec<u8> {
    let value: serde_json::Value = serde_json::from_str(json).unwrap();
    Keys::read("nord", KEY).unwrap().seal(Direction::Call, &value).unwrap()
}

#[tokio::test(flavor = "current_thread")]
async fn messages_and_keys_are_rejected_as_recorded() {
    let mut got = String::new();
    let line = String::from_utf8(read("calls.txt")).unwrap();
    let json = line.lines().next().unwrap().split_once(' ').unwrap().1.to_string();
    let (right, whole) = (Keys::read("nord", KEY).unwrap(), message(&json));
    let other = Keys::read("nord", "another key, also long enough").unwrap();
    let foreign = Keys::read("sued", KEY).unwrap();
    let flipped: Vec<u8> = whole.iter().enumerate().map(|(at, b)| b ^ u8::from(at == 40)).collect();
    for (case, keys, way, bytes) in [
        ("another key", &other, Direction::Call, &whole),
        ("another fleet", &foreign, Direction::Call, &whole),
        ("the other way", &right, Direction::Reply, &whole),
        ("a bit flipped", &right, Direction::Call, &flipped),
        ("cut", &right, Direction::Call, &whole[..60].to_vec()),
        ("no whole hash", &right, Direction::Call, &whole[..20].to_vec()),
        ("an unknown question", &right, Direction::Call, &message(&json.replace("beat", "dance"))),
        ("an unknown state", &right, Direction::Call, &message(&json.replace("starting", "asleep"))),
        ("a field missing", &right, Direction::Call, &message(r#"{"v":1}"#)),
        ("a version above 255", &right, Direction::Call, &message(&json.replace("\"v\":1", "\"v\":256"))),
    ] {
        let why = keys.open::<Call>(way, &bytes[4..]).unwrap_err();
        writeln!(got, "open, {case}: {:?}: {why}", why.kind()).unwrap();
    }
    for (case, length) in
        [("short", 31_u32), ("long", 32 + (128 << 10) + 1), ("all ones", u32::MAX), ("cut", 40)]
    {
        let bytes = [&length.to_be_bytes()[..], &[7; 39]].concat();
        let why = wire::read(&mut &bytes[..]).await.unwrap_err();
        writeln!(got, "read, {case}: {:?}: {why}", why.kind()).unwrap();
    }
    let why = right.seal(Direction::Call, &"x".repeat(wire::MAX_BODY_BYTES)).unwrap_err();
    writeln!(got, "seal, too long: {:?}: {why}", why.kind()).unwrap();
    let three = format!("{KEY}\n{KEY}2\n{KEY}3\n");
    for text in ["", "\n \n", "short", &format!("{KEY}\nshort"), &three] {
        writeln!(got, "keys {text:?}: {}", Keys::read("nord", text).unwrap_err()).unwrap();
    }
    writeln!(got, "debug: {:?}", Keys::read("nord", &format!("{KEY}\n\n{KEY}2")).unwrap()).unwrap();
    same("rejected.txt", &got);
}

// ---- Released files ----

/// Request stands in a folder: each name with its text, a link with where it leads.
fn listed(dir: &Path) -> String {
    let mut names: Vec<PathBuf> = Vec::new();
    for at in [dir.to_path_buf(), dir.join("store")] {
        names.extend(std::fs::read_dir(at).unwrap().map(|e| e.unwrap().path()));
    }
    names.sort();
    let mut said = String::new();
    for path in names.iter().filter(|p| !p.is_dir()) {
        let name = path.strip_prefix(dir).unwrap().display();
        let link = std::fs::read_link(path).map(|to| format!(" -> {}", to.display())).unwrap_or_default();
        let text = std::fs::read_to_string(path).unwrap();
        writeln!(said, "  {name}{link}: {text}").unwrap();
    }
    said.replace(dir.to_str().unwrap(), "DIR")
}

#[test]
fn released_files_and_their_trial_are_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    let dir = temporary.path().canonicalize().unwrap();
    let released =
        ReleaseFile { artifact: "settings".into(), path: dir.join("t.conf"), store_dir: dir.join("store") };
    std::fs::create_dir(dir.join("store")).unwrap();
    std::fs::write(dir.join("t.conf"), "old").unwrap();
    let (old, new, torn) =
        (release_files::digest(b"old"), release_files::digest(b"new"), release_files::digest(b"torn"));
    std::fs::write(dir.join("store").join(&new), "new").unwrap();
    std::fs::write(dir.join("store").join(&torn), "to").unwrap();
    let mut got = format!("before\n{}", listed(&dir));
    let mut step = |name: &str, said: String| {
        writeln!(got, "{name}: {}\n{}", said.replace(dir.to_str().unwrap(), "DIR"), listed(&dir)).unwrap();
    };
    let show = |result: std::io::Result<()>| {
        result.map_or_else(|e| format!("{:?}: {e}", e.kind()), |()| "done".into())
    };
    let begin = || {
        release_files::begin_trial(&released.path).map_or("nothing said".into(), |event| event.to_string())
    };
    let trial = dir.join("t.conf.trial");
    step("swap, torn in the store", show(released.install(&torn)));
    step("swap, not a digest", show(released.install("../t.conf")));
    step("swap, nowhere", show(released.install(&release_files::digest(b"nowhere"))));
    step("swap", show(released.install(&new)));
    step("swap again", show(released.install(&new)));
    let marker = std::fs::read(&trial).unwrap();
    for start in 1..=4 {
        step(&format!("start {start}"), begin());
    }
    step("swap, after it went back", show(released.install(&new)));
    step("keep", show(released.confirm()));
    step("start, kept", begin());
    std::fs::write(&trial, &marker[..marker.len() / 2]).unwrap();
    step("start, half a marker", begin());
    std::fs::write(&trial, "").unwrap();
    step("start, an empty marker", begin());
    let text = String::from_utf8(marker).unwrap().replace("\"starts\":0", "\"starts\":3");
    std::fs::write(&trial, text).unwrap();
    std::fs::write(dir.join("store").join(&old), "ol").unwrap();
    step("start, no way back", begin());
    same("released.txt", &got);
}

// ---- A folder of before ----

/// All of a council start from what is recorded in `folder`, one with a release on trial that has never come to serve: they
/// begin on it and serve.
#[test]
fn routers_start_from_a_recorded_folder_and_serve() {
    let fleet = Fleet::new("recorded-folder", 71, 3, 3, fleet_rig::ONE, CONFIG);
    let none = serde_json::json!([]);
    fleet.until("all begin", || fleet.order(0, "status")["halted"].is_string());
    (0..3).for_each(|r| fleet.kill(r));
    let old = std::fs::read(fleet.routers[2].dir.join("config.json")).unwrap();
    for r in 0..3 {
        std::fs::write(fleet.routers[r].dir.join("stored"), read("folder/stored")).unwrap();
    }
    let dir = &fleet.routers[2].dir;
    let (store, digest, new) =
        (dir.join("store"), release_files::digest(&old), read("folder/broken-configuration"));
    std::fs::write(store.join(&digest), &old).unwrap();
    std::fs::write(store.join(release_files::digest(&new)), &new).unwrap();
    std::fs::remove_file(dir.join("config.json")).unwrap();
    std::os::unix::fs::symlink(store.join(release_files::digest(&new)), dir.join("config.json")).unwrap();
    let trial = String::from_utf8(read("folder/config.json.trial")).unwrap();
    let trial = trial.trim_end().replace("STORE", store.to_str().unwrap()).replace("OLD", &digest);
    std::fs::write(dir.join("config.json.trial"), trial.replace("NEW", &release_files::digest(&new)))
        .unwrap();
    (0..3).for_each(|r| fleet.start(r));
    fleet.until("they begin on it", || fleet.order(0, "status")["version"].as_u64() >= Some(1_000_042));
    assert_eq!(std::fs::read(dir.join("config.json")).unwrap(), old, "the trial is gone back from");
    assert!(!dir.join("config.json.trial").exists());
    let said = fleet.log(2);
    let back = format!("{} has not come to serve in 3 starts: back to {digest}", release_files::digest(&new));
    assert!(said.contains(&format!("tallypin: {back}\n")), "{said}");
    fleet.until("all are heard", || (0..3).all(|r| fleet.order(r, "status")["out_here"] == none));
    fleet.until("all have told what they do", || {
        let status = fleet.order(0, "status");
        status["council"].as_array().unwrap().len() == 3
            && status["nodes"][0]["clear"] == true
            && status["runs"] == serde_json::json!({ digest.as_str(): 3 })
    });
    let (code, text) = order(&fleet, 0, "status");
    same("folder/status.txt", &format!("exit {code}\n{}", masked(&fleet, &text)));
    for r in 0..3 {
        fleet.until("it serves", || answer(send(fleet.routers[r].front)) == (200, true));
    }
    assert_eq!(fleet.order(1, "resume")["code"], 0);
    fleet.until("what was ordered before goes on", || fleet.stage(0, 1) == "out");
}

// ---- Orders ----

/// Digits of the same number, of any length, and what differs between two plays.
fn masked(fleet: &Fleet, text: &str) -> String {
    let mut text = text.to_string();
    for router in &fleet.routers {
        text = text.replace(router.dir.to_str().unwrap(), &format!("DIR-{}", router.name));
    }
    let mut parts = text.split('"').map(str::to_string).collect::<Vec<_>>();
    for at in 0..parts.len() {
        let part = parts[at].clone();
        let random = |id: &str| id.len() > 3 && id.starts_with('r') && id.as_bytes()[2] == b'-';
        if random(&part) && part[3..].bytes().all(|b| b.is_ascii_hexdigit()) {
            parts[at] = format!("{}-ID", &part[..2]);
        } else if part.len() == 64 && part.bytes().all(|b| b.is_ascii_hexdigit()) {
            parts[at] = "DIGEST".into();
        } else if at > 0 && ["since_ms", "until_ms"].contains(&parts[at - 1].as_str()) {
            let digits: String = part.chars().filter(char::is_ascii_digit).collect();
            parts[at] = part.replace(&digits, if digits.is_empty() { "" } else { "TIME" });
        }
    }
    let masked = parts.join("\"");
    // Messages of a life that another router has not heard of yet, and what beats have told so far.
    let masked = between(&masked, "\"spoilt\":", ",", "COUNT");
    let masked = between(&masked, "\"runs\":{", "}", "RUNS");
    // Who answered the last heartbeat in time, which a busy machine decides: all are waited for before.
    between(&masked, "\"council\":[", "]", "REACHED")
}

/// With another text from behind `start` to the next `end`, if it has them.
fn between(text: &str, start: &str, end: &str, instead: &str) -> String {
    let Some((before, behind)) = text.split_once(start) else { return text.into() };
    let behind = &behind[behind.find(end).unwrap()..];
    format!("{before}{start}{instead}{behind}")
}

/// Request `tallypin fleet` at a router says, and its exit code.
fn order(fleet: &Fleet, r: usize, words: &str) -> (i32, String) {
    let mut all = vec!["fleet", "--socket"];
    let socket = fleet.routers[r].dir.join("ctl");
    all.push(socket.to_str().unwrap());
    all.extend(words.split(' '));
    tallypin(&all, &fleet.routers[r].dir)
}

fn tallypin(words: &[&str], at: &Path) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    let said =
        command.env_clear().env("PROXY_CONFIG", "config.json").args(words).current_dir(at).output().unwrap();
    let (out, err) = (String::from_utf8(said.stdout).unwrap(), String::from_utf8(said.stderr).unwrap());
    (said.status.code().unwrap(), [out, err].concat())
}

/// Halted, what is ordered waits: the answers don't depend on when they are asked for.
#[test]
fn orders_to_a_running_fleet_are_answered_as_recorded() {
    let bounds = " out-most 1\n out-zone 1\n nodes-out-most 1";
    let fleet = Fleet::begun("recorded-orders", 72, 3, 3, bounds);
    fleet.until("the list is heard", || answer(send(fleet.routers[1].front)) == (200, true));
    let plan = |name: &str, text: &str| std::fs::write(fleet.routers[0].dir.join(name), text).unwrap();
    let digest = "ab".repeat(32);
    plan("plan", &format!("release {{\n what configuration\n digest {digest}\n wave r2\n wave rest\n}}\n"));
    plan("nobody", &format!("release {{\n what configuration\n digest {digest}\n wave r9\n}}\n"));
    plan("no-zone", &format!("release {{\n what configuration\n digest {digest}\n wave zone mars\n}}\n"));
    plan("twice", &format!("release {{\n what configuration\n digest {digest}\n wave r1\n wave r1\n}}\n"));
    plan("share", &format!("release {{\n what configuration\n digest {digest}\n wave 0%\n}}\n"));
    let mut got = String::new();
    let all = serde_json::json!(["r0", "r1", "r2"]);
    let mut play = |words: &str| {
        fleet.until("all answer", || fleet.order(0, "status")["council"] == all);
        let (code, text) = order(&fleet, 0, words);
        writeln!(got, "$ fleet {words}\nexit {code}\n{}", masked(&fleet, &text)).unwrap();
    };
    for words in [
        "status",
        "--id h1 halt late answers",
        "status",
        "--id d1 drain r1",
        "--id d1 drain r1",
        "--id d2 drain r9",
        "--id d3 drain n0",
        "drain r2",
        "--id p1 put-back r1",
        "--id p2 put-back r2",
        "--id p3 put-back r0",
        "--id p4 put-back nowhere",
        "--id t1 take-out n0",
        "--id t2 take-out n9",
        "--id t3 put-back n0",
        "--id t4 take-out n0 for 2h",
        "--id t5 put-back n0",
        "--id v1 release nobody",
        "--id v2 release no-zone",
        "--id v3 release twice",
        "--id v4 release share",
        "--id v5 release plan",
        "--id v6 release plan",
        "status",
    ] {
        play(words);
    }
    // It looks until the release has ended; the first line is of before.
    let socket = fleet.routers[0].dir.join("ctl");
    let mut watch = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    watch.env_clear().args(["fleet", "--socket", socket.to_str().unwrap(), "watch"]);
    let mut watch = watch.stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(watch.stdout.take().unwrap()));
    let first = lines.next().unwrap().unwrap();
    play("--id v7 back late answers");
    play("--id v8 back");
    assert!(lines.last().unwrap().unwrap().contains("\"undone\""));
    let code = watch.wait().unwrap().code().unwrap();
    writeln!(got, "$ fleet watch\n{}\nexit {code}\n", masked(&fleet, &first)).unwrap();
    let (code, text) = order(&fleet, 0, "--id r1 resume");
    writeln!(got, "$ fleet --id r1 resume\nexit {code}\n{}", masked(&fleet, &text)).unwrap();
    let status_of_node = |stage: &'static str| {
        let node = |key: &str| fleet.order(0, "status")["nodes"][0][key].clone();
        fleet.until("the node's stage", || node("stage") == stage && node("clear") != false);
        let (code, text) = order(&fleet, 0, "status");
        format!("$ fleet status, of a node that is {stage}\nexit {code}\n{}\n", masked(&fleet, &text))
    };
    assert_eq!(fleet.order(0, "--id t6 take-out n0 for 2h")["code"], 0);
    got += &status_of_node("out");
    assert_eq!(fleet.order(0, "--id t7 put-back n0")["code"], 0);
    got += &status_of_node("back");
    let status = fleet.order(0, "status");
    assert_eq!(status["runs"][status["release"]["runs_here"].as_str().unwrap()], 3);
    same("orders.txt", &got);
}

/// Calls at the socket of a router: one of a router that it does not know, which may ask for its life; one of a later
/// version, which is not answered.
#[test]
fn a_running_router_answers_a_sealed_call_as_recorded() {
    let fleet = Fleet::begun("recorded-calls", 73, 1, 1, fleet_rig::ONE);
    let keys = Keys::read("test", "the key of this fleet of tests").unwrap();
    let mut got = String::new();
    for (case, body) in [
        ("of no router, its life", r#"{"v":1,"from":200,"life":7,"number":5,"what":"life"}"#),
        ("of no router, a look", r#"{"v":1,"from":200,"life":7,"number":5,"what":{"ask":"look"}}"#),
        ("of a later version", r#"{"v":2,"from":200,"life":7,"number":5,"what":"life"}"#),
    ] {
        let value: Box<serde_json::value::RawValue> = serde_json::from_str(body).unwrap();
        let mut stream = TcpStream::connect(fleet.routers[0].at).unwrap();
        stream.write_all(&keys.seal(Direction::Call, &value).unwrap()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut said = Vec::new();
        let _ = stream.read_to_end(&mut said);
        let (head, json) = said.split_at(HEAD.min(said.len()));
        writeln!(got, "{case}: {} {}", hex(head), std::str::from_utf8(json).unwrap()).unwrap();
    }
    fleet.until("two are counted", || fleet.order(0, "status")["spoilt"] == 2);
    same("answered.txt", &got);
}

// ---- Request is wrong ----

const GOOD: &str = "control {\n socket s\n}\nfleet {\n name nord\n me r0\n key key\n router r0 127.0.0.1:7001 a\n router r1 127.0.0.1:7002 b\n router r2 127.0.0.1:7003 a\n council r0 r1 r2\n out-most 1\n out-zone 1\n}\n";

#[test]
fn bad_settings_of_a_fleet_are_told_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    std::fs::write(temporary.path().join("config.json"), CONFIG).unwrap();
    let mut got = String::new();
    let more = |line: &str| format!(" out-zone 1\n {line}\n");
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
        ("out-zone 1\n", more("nodes-out-zone 1")),
        ("out-zone 1\n", more("nodes-out-most 0")),
        ("out-zone 1\n", more("nodes-out-most 100%")),
        ("out-zone 1\n", more("nodes-out-most some")),
        ("out-zone 1\n", more("release settings a b\n release settings c d")),
        ("out-zone 1\n", more("release else a b")),
        ("out-zone 1\n", more("beat 2s")),
        ("out-zone 1\n", more("beat 10ms")),
        ("out-zone 1\n", more("lease 2m")),
        ("out-zone 1\n", more("within never")),
        (
            "out-zone 1\n",
            more("nodes-out-most 10%\n nodes-out-kind 1\n store s\n release program p q\n answer 2s"),
        ),
    ] {
        std::fs::write(temporary.path().join("t.conf"), GOOD.replacen(from, &to, 1)).unwrap();
        let (code, text) = tallypin(&["check", "--settings", "t.conf"], temporary.path());
        writeln!(got, "{from:?} -> {to:?}\nexit {code}\n{text}").unwrap();
        if from.is_empty() || code == 0 {
            let (code, text) = tallypin(&["check", "--settings", "t.conf", "--print"], temporary.path());
            writeln!(got, "--print\nexit {code}\n{text}").unwrap();
        }
    }
    same("settings.txt", &got);
}

#[test]
fn bad_orders_and_plans_are_told_as_recorded() {
    let temporary = tempfile::tempdir().unwrap();
    let written = |text: &str| std::fs::write(temporary.path().join("plan"), text).unwrap();
    let mut got = String::new();
    let mut play = |case: &str, words: &[&str]| {
        let (code, text) = tallypin(words, temporary.path());
        writeln!(got, "{case}$ {}\nexit {code}\n{text}", words.join(" ")).unwrap();
    };
    for words in [
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
        play("", &words.split(' ').collect::<Vec<_>>());
    }
    let digest = "ab".repeat(32);
    let good =
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
        written(&good.replacen(from, to, 1));
        play(&format!("{from:?} -> {to:?}\n"), &["fleet", "--socket", "s", "release", "plan"]);
    }
    written(&good);
    let read =
        release_plan::read(&temporary.path().join("plan"), &|path| std::fs::read_to_string(path)).unwrap();
    writeln!(got, "a good one, as it is sent\n{}", serde_json::to_string(&read).unwrap()).unwrap();
    same("plans.txt", &got);
}
