//! Tests the simulator adapter as a process: its replies to batches, and its messages about malformed lines.
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
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter ends")
}

const BORN: &str = r#"BORN Who=gateway-0 Nonce64=5 ProfileData={"Profiles": [{"GoalTimeNs": 1000000000, "Effect": "pure"}], "ReplicasOfMe": 1}"#;
const LIST: &str =
    "BACKENDS_CHANGED Who=gateway-0 Form=2 Revision=1 RowsIn=1\nM Status=1 Replica=10.0.0.1:5001";

#[test]
fn every_batch_is_answered_even_an_empty_one() {
    let demand = "DEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=2000000000 NPrompt=10";
    let batch = format!("BATCH WallNs=5\n{BORN}\n{LIST}\n{demand}\nNOVELTY Who=gateway-0\nFLUSH\n");
    let output = run(&format!("BATCH WallNs=1\nFLUSH\n{batch}"));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.starts_with("END\n") && text.ends_with("END\n"), "{text}");
    assert!(text.contains("ISSUE Who=gateway-0 Ref=7 Replica=10.0.0.1:5001 LimitNs="), "{text}");
}

#[test]
fn a_router_that_is_killed_and_born_in_one_batch_loses_its_state() {
    let batch = format!("BATCH WallNs=5\n{BORN}\n{LIST}\nKILLED Who=gateway-0\n{BORN}\nFLUSH\n");
    let demand = "BATCH WallNs=9\nDEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=2000000000\nFLUSH\n";
    let text = String::from_utf8(run(&(batch + demand)).stdout).unwrap();
    assert!(text.contains("REJECT Who=gateway-0 Ref=7"), "the new router has no endpoint list: {text}");
}

#[test]
fn a_malformed_line_is_reported_with_its_number_and_field() {
    let input = format!("BATCH WallNs=5\n{BORN}\nDEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=soon\nFLUSH\n");
    let text = String::from_utf8(run(&input).stdout).unwrap();
    assert!(text.contains("BROKEN Who=gateway-0 NoteText=line 3: DEMAND: LeftNs: "), "{text}");
    let output = run("BATCH WallNs=5\nDEMAND Ref=7 Kind=0 LeftNs=1\nFLUSH\n");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("line 2: DEMAND: Who: missing"));
}

#[test]
fn invalid_settings_are_reported_without_a_panic() {
    let input = "BATCH WallNs=5\nBORN Who=gateway-0 Nonce64=5 ProfileData={}\nFLUSH\n";
    let text = String::from_utf8(run(input).stdout).unwrap();
    assert!(text.contains("BROKEN Who=gateway-0 NoteText=line 2: BORN: ProfileData: "), "{text}");
}
