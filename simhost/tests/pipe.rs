//! The adapter as a process: batches in, replies out, and what it says of malformed lines.
#![allow(missing_docs)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tallypin-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

const BORN: &str = r#"BORN Who=gateway-0 Nonce64=5 ProfileData={"Profiles": [{"GoalTimeNs": 1000000000, "Effect": "pure"}], "ReplicasOfMe": 1}"#;
const LIST: &str =
    "BACKENDS_CHANGED Who=gateway-0 Form=2 Revision=1 RowsIn=1\nM Status=1 Replica=10.0.0.1:5001";

#[test]
fn a_batch_is_answered_and_an_empty_one_too() {
    let demand = "DEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=2000000000 NPrompt=10";
    let batch = format!("BATCH WallNs=5\n{BORN}\n{LIST}\n{demand}\nNOVELTY Who=gateway-0\nFLUSH\n");
    let out = run(&format!("BATCH WallNs=1\nFLUSH\n{batch}"));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success());
    assert!(text.starts_with("END\n") && text.ends_with("END\n"), "{text}");
    assert!(text.contains("ISSUE Who=gateway-0 Ref=7 Replica=10.0.0.1:5001 LimitNs="), "{text}");
}

#[test]
fn killed_and_born_in_one_batch_forgets_what_was_held() {
    let batch = format!("BATCH WallNs=5\n{BORN}\n{LIST}\nKILLED Who=gateway-0\n{BORN}\nFLUSH\n");
    let demand = "BATCH WallNs=9\nDEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=2000000000\nFLUSH\n";
    let text = String::from_utf8(run(&(batch + demand)).stdout).unwrap();
    assert!(text.contains("REJECT Who=gateway-0 Ref=7"), "no list is known any more: {text}");
}

#[test]
fn a_malformed_line_is_named_with_its_field() {
    let input = format!("BATCH WallNs=5\n{BORN}\nDEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=soon\nFLUSH\n");
    let text = String::from_utf8(run(&input).stdout).unwrap();
    assert!(text.contains("BROKEN Who=gateway-0 NoteText=line 3: DEMAND: LeftNs: "), "{text}");
    let out = run("BATCH WallNs=5\nDEMAND Ref=7 Kind=0 LeftNs=1\nFLUSH\n");
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("line 2: DEMAND: Who: missing"));
}

#[test]
fn unusable_settings_are_broken_not_a_panic() {
    let input = "BATCH WallNs=5\nBORN Who=gateway-0 Nonce64=5 ProfileData={}\nFLUSH\n";
    let text = String::from_utf8(run(input).stdout).unwrap();
    assert!(text.contains("BROKEN Who=gateway-0 NoteText=line 2: BORN: ProfileData: "), "{text}");
}
