//! A start from the stored files of an earlier version.

use tallypin_router::fleet::release_files;

use crate::bootstrap_rounds::{as_bootstrapped_in_one_round, skipped_versions};
use crate::command_line::{fleet_command, mask_varying_parts};
use crate::fleet_processes::{self, read_response, send_request, FleetProcesses, CONFIG};
use crate::recorded_files::{assert_as_recorded, read_recorded};

/// Version after the bootstrap from the recorded state, if it takes one round.
const FIRST_VERSION: u64 = 1_000_042;

/// Guards the formats of stored files: council members start from the files recorded in `folder` and serve. One of them
/// has a release on trial that never reached service, and rolls it back.
#[test]
fn routers_start_from_recorded_files_and_serve() {
    let fleet = FleetProcesses::new("recorded-folder", 71, 3, 3, fleet_processes::ONE_OUT, CONFIG);
    let nobody = serde_json::json!([]);
    fleet.wait_until("the council is bootstrapped", || fleet.run_command(0, "status")["halted"].is_string());
    (0..3).for_each(|r| fleet.kill(r));
    let old = std::fs::read(fleet.routers[2].dir.join("config.json")).unwrap();
    for r in 0..3 {
        std::fs::write(fleet.routers[r].dir.join("stored"), read_recorded("folder/stored")).unwrap();
    }
    let dir = &fleet.routers[2].dir;
    let (store, digest, new) =
        (dir.join("store"), release_files::digest(&old), read_recorded("folder/broken-configuration"));
    std::fs::write(store.join(&digest), &old).unwrap();
    std::fs::write(store.join(release_files::digest(&new)), &new).unwrap();
    std::fs::remove_file(dir.join("config.json")).unwrap();
    std::os::unix::fs::symlink(store.join(release_files::digest(&new)), dir.join("config.json")).unwrap();
    let trial = String::from_utf8(read_recorded("folder/config.json.trial")).unwrap();
    let trial = trial.trim_end().replace("STORE", store.to_str().unwrap()).replace("OLD", &digest);
    std::fs::write(dir.join("config.json.trial"), trial.replace("NEW", &release_files::digest(&new)))
        .unwrap();
    (0..3).for_each(|r| fleet.start(r));
    fleet.wait_until("the fleet has started from the recorded state", || {
        fleet.run_command(0, "status")["version"].as_u64() >= Some(FIRST_VERSION)
    });
    assert_eq!(std::fs::read(dir.join("config.json")).unwrap(), old, "the release on trial is rolled back");
    assert!(!dir.join("config.json.trial").exists());
    let log = fleet.log(2);
    let rolled_back = format!(
        "released file {} did not reach service in 3 starts: rolled back to {digest}",
        release_files::digest(&new)
    );
    assert!(log.contains(&format!("tallypin: {rolled_back}\n")), "{log}");
    fleet.wait_until("every member sees all routers in service", || {
        (0..3).all(|r| fleet.run_command(r, "status")["out_here"] == nobody)
    });
    fleet.wait_until("heartbeats have reported all routers and replicas", || {
        let status = fleet.run_command(0, "status");
        status["council"].as_array().unwrap().len() == 3
            && status["nodes"][0]["clear"] == true
            && status["runs"] == serde_json::json!({ digest.as_str(): 3 })
    });
    let skipped_versions = skipped_versions(&fleet, FIRST_VERSION);
    let (code, text) = fleet_command(&fleet, 0, "status");
    let text = as_bootstrapped_in_one_round(&mask_varying_parts(&fleet, &text), skipped_versions);
    assert_as_recorded("folder/status.txt", &format!("exit {code}\n{text}"));
    for r in 0..3 {
        fleet.wait_until("the router serves requests", || {
            read_response(send_request(fleet.routers[r].front_addr)) == (200, true)
        });
    }
    assert_eq!(fleet.run_command(1, "resume")["code"], 0);
    fleet.wait_until("the recorded drain of r1 goes on", || fleet.stage(0, 1) == "out");
}
