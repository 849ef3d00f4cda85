//! Tests of reading, checking, comparing and printing settings files, with valid and invalid ones.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use proptest::prelude::*;
use tallypin_settings_schema::lines::{tokenize, LineError};
use tallypin_settings_schema::*;

const INNER: Section = Section {
    name: "agent",
    always_present: false,
    about: "",
    directives: &[
        Directive::required("listen", &[Kind::Address], ""),
        Directive::with("budget", &[Kind::Duration(1, 60_000)], &["50ms"], "").live(),
    ],
    sections: &[],
};
static FILE: Section = Section {
    name: "",
    always_present: true,
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
    let (tree, sources, mut problems) = load(Path::new("a.conf"), LoadLimits::default(), &find);
    let checked = check(&tree, &FILE, &mut problems);
    if problems.is_empty() {
        Ok(checked)
    } else {
        Err(Problems::new(sources, problems))
    }
}

fn problems_of(text: &str) -> Vec<String> {
    read(&[("a.conf", text)]).expect_err(text).short().collect()
}

#[test]
fn splits_lines_into_arguments() {
    let argument_texts = |line: &str| {
        tokenize(line)
            .map(|arguments| arguments.into_iter().map(|argument| argument.text).collect::<Vec<_>>())
    };
    for (line, expected) in [
        ("", vec![]),
        ("  # all comment", vec![]),
        ("a b\t c", vec!["a", "b", "c"]),
        ("a#b c # d", vec!["a#b", "c"]),
        ("say 'two words' \"a \\\" b\" c\\ d", vec!["say", "two words", "a \" b", "c d"]),
        ("empty ''", vec!["empty", ""]),
        ("grüß \"Gott\"\r", vec!["grüß", "Gott"]),
        ("'#' x", vec!["#", "x"]),
    ] {
        assert_eq!(argument_texts(line), Ok(expected.into_iter().map(String::from).collect()), "{line}");
    }
    for (line, expected) in [
        ("a 'b", LineError::UnclosedQuote(2)),
        ("a \"b\\\"", LineError::UnclosedQuote(2)),
        ("a \\", LineError::TrailingBackslash(2)),
        ("a \u{0}", LineError::ControlCharacter(2)),
    ] {
        assert_eq!(tokenize(line), Err(expected), "{line}");
    }
}

#[test]
fn reads_values_with_units_and_bounds() {
    let duration = Kind::Duration(1, 3_600_000);
    for (kind, text, expected) in [
        (duration, "250ms", Some("250ms")),
        (duration, "1500ms", Some("1500ms")),
        (duration, "2000ms", Some("2s")),
        (duration, "60s", Some("1m")),
        (duration, "0ms", None),
        (duration, "2h", None),
        (duration, "250", None),
        (duration, "1.5s", None),
        (duration, "-1s", None),
        (duration, "99999999999999999999s", None),
        (duration, "9999999999999h", None),
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
        assert_eq!(kind.parse(text).map(|value| value.to_string()).as_deref(), expected, "{text}");
    }
}

#[test]
fn problems_name_their_position_and_the_nearest_word() {
    for (text, expected) in [
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
        assert_eq!(problems_of(text).first().map(String::as_str), Some(expected), "{text}");
    }
}

#[test]
fn all_problems_are_reported_at_once_with_their_lines() {
    let text = "memory 5\nfrom 127.0.0.0/8 here\n  quiet of\nagent {\n    bugdet 1s\n}\n";
    let problems = read(&[("a.conf", text)]).unwrap_err();
    assert_eq!(problems.problems.len(), 5, "{problems}");
    let output = problems.to_string();
    for part in
        ["a.conf:3:9", "3 |   quiet of", "did you mean `off`?", "5 |     bugdet 1s", "did you mean `budget`?"]
    {
        assert!(output.contains(part), "{part}: {output}");
    }
}

#[test]
fn includes_are_read_in_place_and_problems_name_the_included_file() {
    let main = "include sub/b.conf\nagent {\n  include sub/c.conf\n}";
    let valid_files =
        [("a.conf", main), ("sub/b.conf", "include d.conf"), ("sub/c.conf", "listen 127.0.0.1:1")];
    let files = [&valid_files[..], &[("sub/d.conf", "quiet on")]].concat();
    let checked = read(&files).unwrap();
    assert!(checked.is_on("quiet"));
    let agent = checked.subsection("agent").unwrap();
    assert_eq!(agent.address("listen"), "127.0.0.1:1".parse().ok());
    let files = [&valid_files[..], &[("sub/d.conf", "\n quiet perhaps }")]].concat();
    let problems = read(&files).unwrap_err();
    assert!(problems.short().next().unwrap().starts_with("sub/d.conf:2:8"), "{problems}");
    // A closing brace closes only a section that its own file has opened.
    let files = [("a.conf", "agent {\ninclude b.conf\n}"), ("b.conf", "listen 127.0.0.1:1\n}")];
    assert!(read(&files)
        .unwrap_err()
        .short()
        .next()
        .unwrap()
        .contains("b.conf:2:1: unexpected closing brace"));
}

#[test]
fn nesting_and_file_size_are_bounded() {
    let nested = "agent {\n".repeat(20) + &"}\n".repeat(20);
    assert!(problems_of(&nested)
        .iter()
        .any(|problem| problem.contains("sections are nested more than 8 deep")));
    let long_text = "nonsense\n".repeat(5000) + "quiet 'on\n";
    let bounds = LoadLimits { max_bytes: 1000, ..LoadLimits::default() };
    let (_, _, problems) = load(Path::new("a.conf"), bounds, &|_| Ok(long_text.clone()));
    assert!(problems[0].message.contains("more than 1000 bytes"), "{problems:?}");
}

#[test]
fn changes_tell_whether_they_require_a_restart() {
    let settings = |text: &str| read(&[("a.conf", text)]).unwrap();
    let old = settings("partner a b\nagent {\nlisten 127.0.0.1:1\n}");
    let new = settings("partner a c\nquiet on\nagent {\nlisten 127.0.0.1:1\nbudget 1s\n}");
    let found: Vec<_> =
        changes(&old, &new).into_iter().map(|change| (change.path, change.takes_effect)).collect();
    let expected = [
        ("quiet", TakesEffect::OnReload),
        ("partner", TakesEffect::OnRestart),
        ("agent.budget", TakesEffect::OnReload),
    ];
    assert_eq!(found, expected.map(|(path, effect)| (path.to_string(), effect)));
    assert_eq!(
        changes(&old, &settings("partner a b")).first().map(|change| change.takes_effect),
        Some(TakesEffect::OnRestart)
    );
    assert!(
        changes(&old, &settings("quiet off # said\npartner a b\nagent {\nlisten 127.0.0.1:1\n}")).is_empty()
    );
}

/// Guards against defaults that their own kind cannot read: the program would have no value for the directive.
#[test]
fn defaults_are_filled_in_and_printed() {
    let text = print(&read(&[("a.conf", "quiet on")]).unwrap());
    assert_eq!(text, "memory 64MiB  # default\nshare 80%  # default\nform text  # default\nmode 0600  # default\nquiet on\n");
}

proptest! {
    #[test]
    fn printed_settings_read_back_unchanged(
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
    fn arbitrary_text_never_panics(text in "(\\PC|\n|[{}#'\"\\\\ ]|quiet|agent|include){0,60}") {
        let _ = read(&[("a.conf", &text)]).map_err(|p| p.to_string());
    }
}
