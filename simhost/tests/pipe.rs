//! Tests the simulator adapter as a process: its replies to batches, and its messages about malformed lines.
#![allow(missing_docs)]

mod process;

use process::run;

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

/// Guards against a former instance that goes on under its name: its actions, or events that it gets in place of the next one.
#[test]
fn a_birth_ends_the_former_instance_even_if_its_settings_are_invalid() {
    let demand = "DEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=2000000000 NPrompt=10";
    let born = format!("BATCH WallNs=5\n{BORN}\n{LIST}\nFLUSH\n");
    let reborn = "BORN Who=gateway-0 Nonce64=6 ProfileData={}";
    let input =
        format!("{born}BATCH WallNs=9\n{demand}\n{reborn}\nFLUSH\nBATCH WallNs=13\n{demand}\nFLUSH\n");
    let text = String::from_utf8(run(&input).stdout).unwrap();
    let replies: Vec<&str> = text.split_terminator("END\n").collect();
    assert!(replies[1].starts_with("BROKEN Who=gateway-0 ") && replies[1].lines().count() == 1, "{text}");
    assert_eq!(replies[2], "", "no instance runs");
}

/// A report of an error is an action of its instance as well. The log keeps it.
#[test]
fn an_error_of_a_killed_instance_is_only_logged() {
    let malformed = "DEMAND Who=gateway-0 Ref=7 Kind=0 LeftNs=soon";
    let output = run(&format!("BATCH WallNs=5\n{BORN}\n{LIST}\n{malformed}\nKILLED Who=gateway-0\nFLUSH\n"));
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "END\n");
    let log = String::from_utf8(output.stderr).unwrap();
    assert!(log.contains("gateway-0: line 5: DEMAND: LeftNs: not a number"), "{log}");
}
