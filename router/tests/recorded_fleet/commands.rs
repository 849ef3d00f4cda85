//! Answers of a running fleet to the commands of `tallypin fleet`.

use std::fmt::Write as _;
use std::process::{Command, Stdio};

use crate::bootstrap_rounds::{as_bootstrapped_in_one_round, skipped_versions};
use crate::command_line::{fleet_command, mask_varying_parts};
use crate::fleet_processes::{read_response, send_request, FleetProcesses};
use crate::recorded_files::assert_as_recorded;

/// Version after the first state and the `resume` command, if one round bootstraps the fleet.
const FIRST_VERSION: u64 = 1_000_001;

/// The fleet is halted, so drains and releases wait and the answers do not depend on timing.
#[test]
fn commands_to_a_running_fleet_are_answered_as_recorded() {
    let limits = " out-most 1\n out-zone 1\n nodes-out-most 1";
    let fleet = FleetProcesses::resumed("recorded-orders", 72, 3, 3, limits);
    fleet.wait_until("r1 has received the endpoint list", || {
        read_response(send_request(fleet.routers[1].front_addr)) == (200, true)
    });
    let skipped_versions = skipped_versions(&fleet, FIRST_VERSION);
    let write_plan = |name: &str, text: &str| std::fs::write(fleet.routers[0].dir.join(name), text).unwrap();
    let digest = "ab".repeat(32);
    write_plan(
        "plan",
        &format!("release {{\n what configuration\n digest {digest}\n wave r2\n wave rest\n}}\n"),
    );
    write_plan("nobody", &format!("release {{\n what configuration\n digest {digest}\n wave r9\n}}\n"));
    write_plan(
        "no-zone",
        &format!("release {{\n what configuration\n digest {digest}\n wave zone mars\n}}\n"),
    );
    write_plan(
        "twice",
        &format!("release {{\n what configuration\n digest {digest}\n wave r1\n wave r1\n}}\n"),
    );
    write_plan("share", &format!("release {{\n what configuration\n digest {digest}\n wave 0%\n}}\n"));
    let mut got = String::new();
    let all_members = serde_json::json!(["r0", "r1", "r2"]);
    let mut record_run = |command: &str| {
        fleet.wait_until("r0 reaches all council members", || {
            fleet.run_command(0, "status")["council"] == all_members
        });
        let (code, text) = fleet_command(&fleet, 0, command);
        writeln!(got, "$ fleet {command}\nexit {code}\n{}", mask_varying_parts(&fleet, &text)).unwrap();
    };
    for command in [
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
        record_run(command);
    }
    // `watch` prints the status until the release ends. Its first line is from before the roll-back.
    let socket = fleet.routers[0].dir.join("ctl");
    let mut watch = Command::new(env!("CARGO_BIN_EXE_tallypin"));
    watch.env_clear().args(["fleet", "--socket", socket.to_str().unwrap(), "watch"]);
    let mut watch = watch.stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(watch.stdout.take().unwrap()));
    let first = lines.next().unwrap().unwrap();
    record_run("--id v7 back late answers");
    record_run("--id v8 back");
    assert!(lines.last().unwrap().unwrap().contains("\"undone\""));
    let code = watch.wait().unwrap().code().unwrap();
    writeln!(got, "$ fleet watch\n{}\nexit {code}\n", mask_varying_parts(&fleet, &first)).unwrap();
    let (code, text) = fleet_command(&fleet, 0, "--id r1 resume");
    writeln!(got, "$ fleet --id r1 resume\nexit {code}\n{}", mask_varying_parts(&fleet, &text)).unwrap();
    let replica_status = |stage: &'static str| {
        let replica_field = |key: &str| fleet.run_command(0, "status")["nodes"][0][key].clone();
        fleet.wait_until("the replica has reached the stage", || {
            replica_field("stage") == stage && replica_field("clear") != false
        });
        let (code, text) = fleet_command(&fleet, 0, "status");
        format!(
            "$ fleet status, of a node that is {stage}\nexit {code}\n{}\n",
            mask_varying_parts(&fleet, &text)
        )
    };
    assert_eq!(fleet.run_command(0, "--id t6 take-out n0 for 2h")["code"], 0);
    got += &replica_status("out");
    assert_eq!(fleet.run_command(0, "--id t7 put-back n0")["code"], 0);
    got += &replica_status("back");
    let status = fleet.run_command(0, "status");
    assert_eq!(status["runs"][status["release"]["runs_here"].as_str().unwrap()], 3);
    assert_as_recorded("orders.txt", &as_bootstrapped_in_one_round(&got, skipped_versions));
}
