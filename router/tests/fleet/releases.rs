//! Releases in waves, roll-backs, and a change of the fleet's keys during a release.

use tallypin_test_support::mock_services::{MockEndpointList, MockReplica};

use crate::fleet_processes::{endpoint_entry, read_response, send_request};
use crate::release_setup::{
    installed_digest, prepare_release, release_phase, start_counts, supervised_fleet, with_other_seed,
    TWO_WAVES,
};

/// Routers restart on the release one wave after the other, and each must become ready. The member that directs the
/// release is killed during the first wave.
#[test]
fn a_release_completes_in_waves_when_the_member_that_directs_it_is_killed() {
    let replica = MockReplica::start("127.51.9.1");
    let list = MockEndpointList::start("127.51.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("waves", 51, &list);
    let old = installed_digest(&fleet, 0);
    let (release_command, digest) = prepare_release(&fleet, "configuration", with_other_seed, TWO_WAVES);
    let reply = fleet.run_command(2, &format!("--id v2 {release_command}"));
    assert_eq!((&reply["code"], &reply["release"]["phase"]), (&0.into(), &"running".into()), "{reply}");
    let second_release = fleet.run_command(1, &release_command);
    assert!(second_release["why"].as_str().unwrap().contains("release v2 is ongoing"), "{second_release}");
    fleet.wait_until_with_max_out("r3 is out of service", 2, || fleet.stage(1, 3) == "out");
    assert_eq!(start_counts(&fleet), [1, 1, 1, 1, 1], "r3 drains first, and no router has restarted yet");
    fleet.kill(0);
    fleet.wait_until_with_max_out("the first wave is complete", 2, || {
        fleet.run_command(1, "status")["release"]["wave"] == 2
    });
    assert_eq!((installed_digest(&fleet, 3), installed_digest(&fleet, 4)), (digest.clone(), old));
    fleet.start(0);
    fleet.wait_until_with_max_out("all routers run the release", 2, || release_phase(&fleet, 1) == "done");
    assert!((0..5).all(|r| installed_digest(&fleet, r) == digest));
    assert_eq!(start_counts(&fleet), [3, 2, 2, 2, 2]);
    assert_eq!(read_response(send_request(fleet.routers[4].front_addr)), (200, true));
    assert!(
        (0..5).all(|r| !fleet.routers[r].dir.join("config.json.trial").exists()),
        "no release is on trial any more"
    );
}

/// A roll-back is ordered in the middle of the second wave. Routers on the release return to their former configuration, and
/// no router of the third wave restarts.
#[test]
fn a_release_is_rolled_back_in_the_middle_of_a_wave() {
    let replica = MockReplica::start("127.52.9.1");
    let list = MockEndpointList::start("127.52.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("back", 52, &list);
    let old = installed_digest(&fleet, 0);
    let (release_command, digest) = prepare_release(
        &fleet,
        "configuration",
        with_other_seed,
        " wave r3\n wave r4 r0\n wave rest\n watch 300ms\n enough 0",
    );
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    fleet.wait_until_with_max_out("a router of the second wave is out of service", 2, || {
        fleet.stage(1, 4) == "out" || fleet.stage(1, 0) == "out"
    });
    assert_eq!(installed_digest(&fleet, 3), digest);
    let reply = fleet.run_command(1, "back late answers");
    assert_eq!((&reply["code"], &reply["release"]["cause"]), (&0.into(), &"late answers".into()), "{reply}");
    fleet.wait_until_with_max_out("the release is rolled back", 2, || release_phase(&fleet, 2) == "undone");
    assert!((0..5).all(|r| installed_digest(&fleet, r) == old));
    assert_eq!(
        (start_counts(&fleet)[1], start_counts(&fleet)[2]),
        (1, 1),
        "no router of the third wave restarts"
    );
    fleet.wait_until_with_max_out("all routers are in service", 0, || fleet.routers_out().is_empty());
}

/// Keys are replaced at all routers during a release, without a restart. An invalid key file changes nothing, and messages
/// signed with the old key alone are rejected afterwards.
#[test]
fn keys_are_replaced_during_a_release() {
    let replica = MockReplica::start("127.57.9.1");
    let list = MockEndpointList::start("127.57.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("keys", 57, &list);
    // The first wave is watched for 60 s, so the release is running until an operator rolls it back.
    let plan = " wave r3\n wave rest\n watch 60s\n ready 20s\n enough 0";
    let (release_command, digest) = prepare_release(&fleet, "configuration", with_other_seed, plan);
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    fleet.wait_until_with_max_out("r3 is back in service on the release", 2, || {
        installed_digest(&fleet, 3) == digest && fleet.stage(1, 3).is_empty()
    });
    let (old, new) = ("the key of this fleet of tests", "another key of this fleet, newer");
    // Replaces the file atomically: a router that reads a part of it logs another unusable key file.
    let write_key = |r: usize, text: &str| {
        let dir = &fleet.routers[r].dir;
        std::fs::write(dir.join("key.new"), text).unwrap();
        std::fs::rename(dir.join("key.new"), dir.join("key")).unwrap();
    };
    let log_count = |r: usize, message: &str| fleet.log(r).matches(message).count();
    for (step, text) in [format!("{old}\n{new}"), format!("{new}\n{old}"), new.to_string()].iter().enumerate()
    {
        (0..5).for_each(|r| write_key(r, text));
        fleet.wait_until("all routers have the new keys", || {
            (0..5).all(|r| log_count(r, "fleet keys replaced") == step + 1)
        });
        assert_eq!(fleet.run_command(step, "status")["release"]["phase"], "running");
    }
    (0..5).for_each(|r| write_key(r, "short"));
    fleet.wait_until("all routers have read the invalid key file", || {
        (0..5).all(|r| log_count(r, "fleet key file can't be used") == 1)
    });
    assert_eq!(fleet.run_command(0, "back")["code"], 0, "routers keep their keys after an invalid key file");
    // r3 could not restart with the invalid key file.
    (0..5).for_each(|r| write_key(r, new));
    fleet.wait_until_with_max_out("the release is rolled back", 2, || release_phase(&fleet, 1) == "undone");
    // The messages of a router with the old key alone are rejected.
    write_key(4, old);
    fleet.kill(4);
    fleet.start(4);
    fleet.wait_until("r4 counts as out of service", || {
        fleet.run_command(0, "status")["out_here"] == serde_json::json!(["r4"])
    });
    assert_eq!(fleet.run_command(4, "status")["code"], 1);
}
