//! Council members that restart without their state, or with the state that they have stored.

use serde_json::Value;
use tallypin_test_support::mock_services::{MockEndpointList, MockReplica};

use crate::fleet_processes::{endpoint_entry, FleetProcesses, ONE_OUT};
use crate::release_setup::{
    installed_digest, prepare_release, release_phase, start_counts, supervised_fleet, with_other_seed,
    TWO_WAVES,
};

/// A member that restarts without its state rejoins the council. If all members do, the fleet starts halted and without its
/// former state.
#[test]
fn members_without_state_rejoin_and_a_fleet_without_state_starts_halted() {
    let fleet = FleetProcesses::resumed("anew", 47, 3, 3, ONE_OUT);
    assert_eq!(fleet.run_command(0, "drain r2")["code"], 0);
    fleet.wait_until("r2 is out of service", || fleet.stage(0, 2) == "out");
    for r in [0, 1] {
        fleet.kill(r);
        fleet.start(r);
        fleet.wait_until("the restarted member has rejoined", || {
            fleet.log(r).matches("joined the council").count() == 2
        });
        assert_eq!(fleet.stage(r, 2), "out", "the ordered drain is kept");
    }
    // The drain of a router ends when the router restarts.
    fleet.kill(2);
    fleet.start(2);
    fleet.wait_until("r2 is in service without a drain", || {
        fleet.is_out(2) == Some(false) && fleet.run_command(2, "status")["entries"] == serde_json::json!([])
    });
    assert_eq!(fleet.run_command(1, "status")["halted"], Value::Null);
    (0..3).for_each(|r| fleet.kill(r));
    // Removes the stored state too, as if the setting `store` named no file.
    (0..3).for_each(|r| std::fs::remove_file(fleet.routers[r].dir.join("stored")).unwrap_or_default());
    (0..3).for_each(|r| fleet.start(r));
    fleet.wait_until("the fleet has started without its former state", || {
        fleet.run_command(0, "status")["code"] == 0
    });
    assert_eq!(fleet.run_command(1, "status")["halted"], "the council's memory begins anew");
    assert_eq!(fleet.run_command(1, "drain r0")["code"], 0);
    (0..10).for_each(|_| {
        assert_eq!(fleet.is_out(0), Some(false), "no drain starts before an operator resumes the fleet")
    });
}

/// Two of three council members are killed during a release and lose their state. The fleet continues from the state of the
/// third one, halted, and the release goes on once an operator resumes it.
#[test]
fn a_release_survives_a_majority_that_loses_its_state() {
    let replica = MockReplica::start("127.56.9.1");
    let list = MockEndpointList::start("127.56.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("forget", 56, &list);
    let (release_command, digest) = prepare_release(&fleet, "configuration", with_other_seed, TWO_WAVES);
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    fleet.wait_until_with_max_out("r3 is out of service", 2, || fleet.stage(2, 3) == "out");
    fleet.kill(0);
    fleet.kill(1);
    fleet.start(0);
    fleet.start(1);
    let state_lost = "most of the council's memory was lost, what was agreed on last may be";
    fleet.wait_until("the fleet has started from the state of one member", || {
        fleet.run_command(1, "status")["halted"] == state_lost
    });
    let reply = fleet.run_command(0, "status");
    assert_eq!(
        (&reply["release"]["phase"], &reply["release"]["digest"]),
        (&"running".into(), &digest.as_str().into())
    );
    let starts_before = start_counts(&fleet);
    (0..10)
        .for_each(|_| assert_eq!(start_counts(&fleet), starts_before, "no router restarts during the halt"));
    assert_eq!(fleet.run_command(0, "resume")["code"], 0);
    fleet.wait_until("all routers run the release", || release_phase(&fleet, 4) == "done");
    assert!((0..5).all(|r| installed_digest(&fleet, r) == digest));
}

/// All members are killed during a release. One stored state is lost, one is replaced with an older one, and one is intact:
/// the fleet starts halted from the newest state and continues. With all three damaged it starts without any state.
#[test]
fn a_council_that_restarts_together_continues_from_the_newest_stored_state() {
    let replica = MockReplica::start("127.58.9.1");
    let list = MockEndpointList::start("127.58.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("stored", 58, &list);
    let stored = |r: usize| fleet.routers[r].dir.join("stored");
    fleet.wait_until("r1 has stored its state", || stored(1).exists());
    let older = std::fs::read(stored(1)).unwrap();
    let plan = " wave r3\n wave rest\n watch 60s\n ready 20s\n enough 0";
    let (release_command, digest) = prepare_release(&fleet, "configuration", with_other_seed, plan);
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    fleet.wait_until_with_max_out("r3 is back in service on the release", 2, || {
        installed_digest(&fleet, 3) == digest && fleet.stage(1, 3).is_empty()
    });
    let stored_version = |r: usize| {
        let bytes = std::fs::read(stored(r)).unwrap_or_default();
        let body = bytes.iter().position(|b| *b == b'\n').map_or(&[][..], |at| &bytes[at + 1..]);
        serde_json::from_slice::<Value>(body).unwrap_or_default()["document"]["version"].clone()
    };
    fleet.wait_until("all members have stored the current version", || {
        (0..3).all(|r| stored_version(r) == fleet.run_command(r, "status")["version"])
    });
    let restart_with_damage = |damage_stored: &dyn Fn()| {
        (0..3).for_each(|r| fleet.kill(r));
        damage_stored();
        (0..3).for_each(|r| fleet.start(r));
    };
    restart_with_damage(&|| {
        std::fs::remove_file(stored(0)).unwrap();
        std::fs::write(stored(1), &older).unwrap();
    });
    let state_lost = "most of the council's memory was lost, what was agreed on last may be";
    fleet.wait_until("the fleet has started from the newest state", || {
        fleet.run_command(1, "status")["halted"] == state_lost
    });
    assert_eq!(fleet.run_command(0, "status")["release"]["digest"], digest.as_str());
    assert_eq!(fleet.run_command(0, "back")["code"], 0);
    assert_eq!(fleet.run_command(0, "resume")["code"], 0);
    fleet.wait_until_with_max_out("the release is rolled back", 3, || release_phase(&fleet, 1) == "undone");
    restart_with_damage(&|| {
        std::fs::write(stored(0), "").unwrap();
        std::fs::write(stored(1), "not that").unwrap();
        let intact = std::fs::read(stored(2)).unwrap();
        std::fs::write(stored(2), &intact[..intact.len() - 1]).unwrap();
    });
    fleet.wait_until("the fleet has started without any state", || {
        fleet.run_command(1, "status")["halted"] == "the council's memory begins anew"
    });
    assert_eq!(fleet.run_command(2, "status")["release"], Value::Null);
}
