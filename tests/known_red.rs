//! The list of tests that are known to fail: what CI passes over, and what it does not take for such a list.

use std::io::Write;
use std::process::{Command, Stdio};

const TESTS: &str =
    "rules::one: test\ntwo: test\nthree: test\nfour: test\ntwice: test\ntwice: test\n\n6 tests\n";

/// What `.ci/known-red` makes of a list: whether it takes it, its words, and what it says.
fn read(list: &str) -> (bool, String, String) {
    let file = tempfile::NamedTempFile::new().expect("a place for it");
    std::fs::write(&file, list).expect("written");
    let mut child = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .arg(file.path())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    child.stdin.take().expect("piped").write_all(TESTS.as_bytes()).expect("read");
    let out = child.wait_with_output().expect("ended");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn what_is_listed_is_passed_over_and_said() {
    assert_eq!(read(""), (true, String::new(), String::new()));
    let (taken, words, said) = read("rules::one | late by 3 ms | 36\ntwo | no room | 7");
    assert!(taken, "{said}");
    assert_eq!(words, "--skip\nrules::one\n--skip\ntwo\n--exact\n");
    assert!(said.contains("rules::one | late by 3 ms | 36") && said.contains("two | no room | 7"), "{said}");
}

#[test]
fn a_list_that_could_hide_another_test_is_refused_with_its_line() {
    let good = "two | no room | 7\n";
    for (list, why) in [
        ("one | late | 36\n", "line 1: 0 tests are named one"),
        ("twice | late | 36\n", "line 1: 2 tests are named twice"),
        ("two | late\n", "line 1: not of the form"),
        ("two | late | soon\n", "line 1: not of the form"),
        ("two | | 36\n", "line 1: not of the form"),
        ("t.* | late | 36\n", "line 1: not of the form"),
        (&format!("{good}\n"), "line 2: not of the form"),
        (&format!("{good}rules::one | a | 1\nthree | a | 1\nfour | a | 1\n"), "line 4: three at most"),
    ] {
        let (taken, _, said) = read(list);
        assert!(!taken && said.contains(why), "{list:?} gave {said:?}");
    }
}
