//! The list of known failing tests: which tests CI skips for it, and which lists CI rejects.

use std::io::Write;
use std::process::{Command, Stdio};

const TESTS: &str =
    "rules::one: test\ntwo: test\nthree: test\nfour: test\ntwice: test\ntwice: test\n\n6 tests\n";

/// Runs `.ci/known-red` on a list: whether it accepts the list, its output and its messages.
fn run_known_red(list: &str) -> (bool, String, String) {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    std::fs::write(&file, list).expect("the list is written");
    let mut child = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .arg(file.path())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the script starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(TESTS.as_bytes())
        .expect("the script reads its input");
    let output = child.wait_with_output().expect("the script ends");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn listed_tests_are_skipped_and_reported() {
    assert_eq!(run_known_red(""), (true, String::new(), String::new()));
    let (accepted, skip_arguments, messages) =
        run_known_red("rules::one | late by 3 ms | 36\ntwo | no room | 7");
    assert!(accepted, "{messages}");
    assert_eq!(skip_arguments, "--skip\nrules::one\n--skip\ntwo\n--exact\n");
    assert!(
        messages.contains("rules::one | late by 3 ms | 36") && messages.contains("two | no room | 7"),
        "{messages}"
    );
}

/// Guards against a case of a review that passes over a test, or that displaces one from the list.
#[test]
fn cases_of_reviews_are_reported_and_skip_no_test() {
    let cases =
        "review/1/run.sh | no answer | 22\nreview/7/run.sh | ran twice | 39\nreview/10/run.sh | stale | 39\n";
    let (accepted, skip_arguments, messages) = run_known_red(cases);
    assert_eq!((accepted, skip_arguments.as_str()), (true, ""), "{messages}");
    assert!(messages.contains("a case: review/7/run.sh | ran twice | 39"), "{messages}");
    let (accepted, skip_arguments, messages) =
        run_known_red(&format!("{cases}two | no room | 7\nthree | a | 1\nfour | a | 1\n"));
    assert!(accepted, "{messages}");
    assert_eq!(skip_arguments, "--skip\ntwo\n--skip\nthree\n--skip\nfour\n--exact\n");
    for (list, reason) in [
        ("review/999/run.sh | a | 1\n", "line 1: there is no review/999/run.sh"),
        ("review/1/run.sh | a | 1\nreview/1/run.sh | b | 1\n", "line 2: review/1/run.sh is listed twice"),
        ("review/1/run.sh | a\n", "line 1: not of the form"),
        ("review/1/case.rs | a | 1\n", "line 1: not of the form"),
    ] {
        let (accepted, _, messages) = run_known_red(list);
        assert!(!accepted && messages.contains(reason), "{list:?} gave {messages:?}");
    }
}

#[test]
fn a_list_that_could_hide_another_test_is_rejected_with_its_line() {
    let valid_line = "two | no room | 7\n";
    for (list, reason) in [
        ("one | late | 36\n", "line 1: 0 tests are named one"),
        ("twice | late | 36\n", "line 1: 2 tests are named twice"),
        ("two | late\n", "line 1: not of the form"),
        ("two | late | soon\n", "line 1: not of the form"),
        ("two | | 36\n", "line 1: not of the form"),
        ("t.* | late | 36\n", "line 1: not of the form"),
        (&format!("{valid_line}\n"), "line 2: not of the form"),
        (
            &format!("{valid_line}rules::one | a | 1\nthree | a | 1\nfour | a | 1\n"),
            "line 4: three tests at most",
        ),
    ] {
        let (accepted, _, messages) = run_known_red(list);
        assert!(!accepted && messages.contains(reason), "{list:?} gave {messages:?}");
    }
}
