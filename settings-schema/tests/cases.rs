//! Files that are right and files that are wrong, and what is said of them.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use proptest::prelude::*;
use tallypin_settings_schema::lines::{tokenize, LineError};
use tallypin_settings_schema::*;

const INNER: Section = Section {
    name: "agent",
    always: false,
    about: "",
    directives: &[
        Directive::required("listen", &[Kind::Address], ""),
        Directive::with("budget", &[Kind::Duration(1, 60_000)], &["50ms"], "").live(),
    ],
    sections: &[],
};
static FILE: Section = Section {
    name: "",
    always: true,
    about: "",
    directives: &[
        Directive::with("memory", &[Kind::Size(1 << 20, 1 << 40)], &["64MiB"], ""),
        Directive::with("share", &[Kind::Percent(0.0, 100.0)], &["80%"], "").live(),
        Directive::with("form", &[Kind::OneOf(&["text", "json"])], &["text"], "").live(),
        Directive::with("mode", &[Kind::Mode], &["0600"], ""),
        Directive::with("quiet", &[Kind::Switch], &["off"], "").live(),
        Directive::optional("partner", &[Kind::Text, Kind::Text], "").many(),
        Directive::optional("from", &[Kind::Network], "").rest(),
        Directive::optional("field", &[Kind::Field], ""),
    ],
    sections: &[INNER],
};

fn read(files: &[(&str, &str)]) -> Result<Checked, Problems> {
    let files: BTreeMap<&str, &str> = files.iter().copied().collect();
    let find = |path: &Path| {
        let text = path.to_str().and_then(|p| files.get(p));
        text.map(|t| t.to_string()).ok_or(io::Error::from(io::ErrorKind::NotFound))
    };
    let (tree, sources, mut problems) = load(Path::new("a.conf"), Bounds::default(), &find);
    let checked = check(&tree, &FILE, &mut problems);
    if problems.is_empty() {
        Ok(checked)
    } else {
        Err(Problems::new(sources, problems))
    }
}

fn wrong(text: &str) -> Vec<String> {
    read(&[("a.conf", text)]).expect_err(text).short().collect()
}

#[test]
fn words_have_their_places() {
    let texts = |line: &str| tokenize(line).map(|w| w.into_iter().map(|w| w.text).collect::<Vec<_>>());
    for (line, want) in [
        ("", vec![]),
        ("  # all comment", vec![]),
        ("a b\t c", vec!["a", "b", "c"]),
        ("a#b c # d", vec!["a#b", "c"]),
        ("say 'two words' \"a \\\" b\" c\\ d", vec!["say", "two words", "a \" b", "c d"]),
        ("empty ''", vec!["empty", ""]),
        ("grüß \"Gott\"\r", vec!["grüß", "Gott"]),
        ("'#' x", vec!["#", "x"]),
    ] {
        assert_eq!(texts(line), Ok(want.into_iter().map(String::from).collect()), "{line}");
    }
    for (line, want) in [
        ("a 'b", LineError::UnclosedQuote(2)),
        ("a \"b\\\"", LineError::UnclosedQuote(2)),
        ("a \\", LineError::TrailingBackslash(2)),
        ("a \u{0}", LineError::ControlCharacter(2)),
    ] {
        assert_eq!(tokenize(line), Err(want), "{line}");
    }
}

#[test]
fn values_have_units_and_bounds() {
    let time = Kind::Duration(1, 3_600_000);
    for (kind, word, want) in [
        (time, "250ms", Some("250ms")),
        (time, "1500ms", Some("1500ms")),
        (time, "2000ms", Some("2s")),
        (time, "60s", Some("1m")),
        (time, "0ms", None),
        (time, "2h", None),
        (time, "250", None),
        (time, "1.5s", None),
        (time, "-1s", None),
        (time, "99999999999999999999s", None),
        (time, "9999999999999h", None),
        (Kind::Size(1, 1 << 40), "64MiB", Some("64MiB")),
        (Kind::Size(1, 1 << 40), "1024", Some("1KiB")),
        (Kind::Size(1, 1 << 40), "64MB", None),
        (Kind::Percent(0.0, 100.0), "80%", Some("80%")),
        (Kind::Percent(0.0, 100.0), "0.5%", Some("0.5%")),
        (Kind::Percent(0.0, 100.0), "101%", None),
        (Kind::Percent(0.0, 100.0), "NaN%", None),
        (Kind::Percent(0.0, 100.0), "80", None),
        (Kind::Count(1, 9), "+3", None),
        (Kind::Count(1, 9), "3", Some("3")),
        (Kind::Network, "127.0.0.1", Some("127.0.0.1/32")),
        (Kind::Network, "127.0.0.0/33", None),
        (Kind::Address, "[::1]:80", Some("[::1]:80")),
        (Kind::Address, "localhost:80", None),
        (Kind::Mode, "600", Some("0600")),
        (Kind::Mode, "0888", None),
        (Kind::Field, "x-partner", Some("x-partner")),
        (Kind::Field, "x: y", None),
    ] {
        assert_eq!(kind.read(word).map(|v| v.to_string()).as_deref(), want, "{word}");
    }
}

#[test]
fn what_is_wrong_is_told_with_its_place_and_the_nearest_word() {
    for (text, want) in [
        ("shaer 5%", "a.conf:1:1: unknown directive or section `shaer` (did you mean `share`?)"),
        (
            "\n  form jsno",
            "a.conf:2:8: invalid argument of `form`, expected one of text, json (did you mean `json`?)",
        ),
        ("share", "a.conf:1:6: missing argument of `share`, expected a share from 0% to 100%"),
        ("share 5% 6%", "a.conf:1:10: `share` takes 1 argument"),
        ("share 5%\nshare 6%", "a.conf:2:1: `share` is already given in line 1"),
        ("partner a b\npartner a c", "a.conf:2:1: `partner` is already given in line 1"),
        ("agent {\n}", "a.conf:1:1: section `agent` requires `listen`, which is missing"),
        ("agnt {\n}", "a.conf:1:1: unknown directive or section `agnt` (did you mean `agent`?)"),
        (
            "agent 127.0.0.1:1",
            "a.conf:1:1: unknown directive or section `agent` (`agent` is a section, opened by `agent {`)",
        ),
        ("agent {\nlisten 127.0.0.1:1", "a.conf:1:1: this section is not closed in its file"),
        ("}", "a.conf:1:1: unexpected closing brace: no section is open in this file"),
        ("{\n}", "a.conf:1:1: this section has no name"),
        ("quiet 'on", "a.conf:1:7: the quote opened here is not closed on this line"),
        ("quiet \\", "a.conf:1:7: a backslash ends this line; a directive cannot continue on the next line"),
        ("include b.conf", "a.conf:1:9: b.conf cannot be read: entity not found"),
        ("include a.conf", "a.conf:1:9: a.conf includes itself"),
        ("include", "a.conf:1:1: `include` takes exactly one path"),
        ("partner 'grüß' b c", "a.conf:1:18: `partner` takes 2 arguments"),
    ] {
        assert_eq!(wrong(text).first().map(String::as_str), Some(want), "{text}");
    }
}

#[test]
fn all_problems_are_told_in_one_run_and_shown_with_their_lines() {
    let text = "memory 5\nfrom 127.0.0.0/8 here\n  quiet of\nagent {\n    bugdet 1s\n}\n";
    let problems = read(&[("a.conf", text)]).unwrap_err();
    assert_eq!(problems.problems.len(), 5, "{problems}");
    let shown = problems.to_string();
    for part in
        ["a.conf:3:9", "3 |   quiet of", "did you mean `off`?", "5 |     bugdet 1s", "did you mean `budget`?"]
    {
        assert!(shown.contains(part), "{part}: {shown}");
    }
}

#[test]
fn includes_stand_where_they_are_named_and_name_their_own_lines() {
    let main = "include sub/b.conf\nagent {\n  include sub/c.conf\n}";
    let good = [("a.conf", main), ("sub/b.conf", "include d.conf"), ("sub/c.conf", "listen 127.0.0.1:1")];
    let files = [&good[..], &[("sub/d.conf", "quiet on")]].concat();
    let checked = read(&files).unwrap();
    assert!(checked.is_on("quiet"));
    let agent = checked.within("agent").unwrap();
    assert_eq!(agent.address("listen"), "127.0.0.1:1".parse().ok());
    let files = [&good[..], &[("sub/d.conf", "\n quiet perhaps }")]].concat();
    let problems = read(&files).unwrap_err();
    assert!(problems.short().next().unwrap().starts_with("sub/d.conf:2:8"), "{problems}");
    // A brace closes only what its own file has opened.
    let files = [("a.conf", "agent {\ninclude b.conf\n}"), ("b.conf", "listen 127.0.0.1:1\n}")];
    assert!(read(&files)
        .unwrap_err()
        .short()
        .next()
        .unwrap()
        .contains("b.conf:2:1: unexpected closing brace"));
}

#[test]
fn bounds_hold() {
    let deep = "agent {\n".repeat(20) + &"}\n".repeat(20);
    assert!(wrong(&deep).iter().any(|p| p.contains("sections are nested more than 8 deep")));
    let many = "nonsense\n".repeat(5000) + "quiet 'on\n";
    let bounds = Bounds { max_bytes: 1000, ..Bounds::default() };
    let (_, _, problems) = load(Path::new("a.conf"), bounds, &|_| Ok(many.clone()));
    assert!(problems[0].message.contains("more than 1000 bytes"), "{problems:?}");
}

#[test]
fn changes_are_named_and_whether_they_take_a_restart() {
    let of = |text: &str| read(&[("a.conf", text)]).unwrap();
    let old = of("partner a b\nagent {\nlisten 127.0.0.1:1\n}");
    let new = of("partner a c\nquiet on\nagent {\nlisten 127.0.0.1:1\nbudget 1s\n}");
    let said: Vec<_> = changes(&old, &new).into_iter().map(|c| (c.path, c.takes)).collect();
    let want = [("quiet", Takes::Now), ("partner", Takes::Restart), ("agent.budget", Takes::Now)];
    assert_eq!(said, want.map(|(p, t)| (p.to_string(), t)));
    assert_eq!(changes(&old, &of("partner a b")).first().map(|c| c.takes), Some(Takes::Restart));
    assert!(changes(&old, &of("quiet off # said\npartner a b\nagent {\nlisten 127.0.0.1:1\n}")).is_empty());
}

/// The defaults of a table are words of their kinds, or a program would go by nothing.
#[test]
fn defaults_are_filled_in_and_printed() {
    let text = print(&read(&[("a.conf", "quiet on")]).unwrap());
    assert_eq!(text, "memory 64MiB  # default\nshare 80%  # default\nform text  # default\nmode 0600  # default\nquiet on\n");
}

proptest! {
    #[test]
    fn what_is_printed_reads_back_to_the_same(
        share in 0u8..=100,
        ms in 1u64..60_000,
        names in proptest::collection::btree_map("[^\\x00-\\x1f\\x7f-\\u{9f}]{1,12}", "[^\\x00-\\x1f\\x7f-\\u{9f}]{1,12}", 0..4),
    ) {
        let quote = |w: &str| format!("'{}'", w.replace('\'', "'\\''"));
        let mut text = format!("share {share}%\nagent {{\n listen 127.0.0.1:1\n budget {ms}ms\n}}\n");
        for (a, b) in &names {
            text += &format!("partner {} {}\n", quote(a), quote(b));
        }
        let first = read(&[("a.conf", &text)]).map_err(|p| TestCaseError::fail(p.to_string()))?;
        let printed = print(&first);
        let second = read(&[("a.conf", &printed)]).map_err(|p| TestCaseError::fail(p.to_string()))?;
        prop_assert!(changes(&first, &second).is_empty(), "{}", printed);
    }

    #[test]
    fn no_text_makes_it_panic(text in "(\\PC|\n|[{}#'\"\\\\ ]|quiet|agent|include){0,60}") {
        let _ = read(&[("a.conf", &text)]).map_err(|p| p.to_string());
    }
}
