//! A start from a folder that an earlier version has left.

use tallypin_router::fleet::release_files;

use crate::command_line::{masked, order};
use crate::data::{read, same};
use crate::fleet_rig::{self, read_response, send_request, FleetProcesses, CONFIG};

/// All of a council start from what is recorded in `folder`, one with a release on trial that has never come to serve: they
/// begin on it and serve.
#[test]
fn routers_start_from_a_recorded_folder_and_serve() {
    let fleet = FleetProcesses::new("recorded-folder", 71, 3, 3, fleet_rig::ONE_OUT, CONFIG);
    let none = serde_json::json!([]);
    fleet.wait_until("all begin", || fleet.run_command(0, "status")["halted"].is_string());
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
    fleet.wait_until("they begin on it", || {
        fleet.run_command(0, "status")["version"].as_u64() >= Some(1_000_042)
    });
    assert_eq!(std::fs::read(dir.join("config.json")).unwrap(), old, "the trial is gone back from");
    assert!(!dir.join("config.json.trial").exists());
    let said = fleet.log(2);
    let rolled_back = format!(
        "released file {} did not reach service in 3 starts: rolled back to {digest}",
        release_files::digest(&new)
    );
    assert!(said.contains(&format!("tallypin: {rolled_back}\n")), "{said}");
    fleet.wait_until("all are heard", || (0..3).all(|r| fleet.run_command(r, "status")["out_here"] == none));
    fleet.wait_until("all have told what they do", || {
        let status = fleet.run_command(0, "status");
        status["council"].as_array().unwrap().len() == 3
            && status["nodes"][0]["clear"] == true
            && status["runs"] == serde_json::json!({ digest.as_str(): 3 })
    });
    let (code, text) = order(&fleet, 0, "status");
    same("folder/status.txt", &format!("exit {code}\n{}", masked(&fleet, &text)));
    for r in 0..3 {
        fleet.wait_until("it serves", || {
            read_response(send_request(fleet.routers[r].front_addr)) == (200, true)
        });
    }
    assert_eq!(fleet.run_command(1, "resume")["code"], 0);
    fleet.wait_until("what was ordered before goes on", || fleet.stage(0, 1) == "out");
}
