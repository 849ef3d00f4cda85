//! Links that are cut or stalled, and a clock that was set back.

use std::time::{Duration, Instant};

use crate::fleet_rig::{FleetProcesses, ONE, THREE};
use serde_json::Value;
use tallypin_test_support::relay::Link;
use tallypin_test_support::shim::Library;

/// Cut off from the others a minority starts nothing, says so, and serves on; the others go on. Healed, all say the same.
#[test]
fn a_minority_starts_nothing_and_the_majority_goes_on() {
    let fleet = FleetProcesses::begun("cut", 44, 6, 5, THREE);
    fleet.between(&[0, 1], &[2, 3, 4, 5], Link::Cut);
    let asked = Instant::now();
    let said = fleet.order(0, "drain r1");
    assert!(said["code"] == 1 && said["why"].as_str().unwrap().contains("no majority"), "{said}");
    assert!(asked.elapsed() < Duration::from_secs(10), "and said so in time");
    fleet.until("the others know who is cut off", || {
        fleet.order(2, "status")["out_here"] == serde_json::json!(["r0", "r1"])
    });
    // With another one out the council could lose what it remembers; r5 is not of it.
    assert_eq!(fleet.order(3, "drain r4 r5")["code"], 0);
    fleet.until("the third of three goes out", || fleet.out(5) == Some(true));
    assert_eq!((fleet.out(4), fleet.stage(3, 4).as_str()), (Some(false), "wanted"));
    assert_eq!((fleet.out(0), fleet.out(1)), (Some(false), Some(false)), "they serve on");
    fleet.between(&[0, 1], &[2, 3, 4, 5], Link::Whole);
    fleet.until("all say the same", || {
        let said: Vec<Value> = (0..6).map(|r| fleet.order(r, "status")).collect();
        said.iter().all(|s| s["code"] == 0 && s["entries"] == said[3]["entries"])
    });
}

/// A member that accepts and says nothing, and one whose answers don't come back: the others agree without them.
#[test]
fn silent_members_and_one_way_links_hold_nothing_up() {
    let fleet = FleetProcesses::begun("mute", 45, 5, 5, THREE);
    fleet.between(&[0], &[1, 2, 3, 4], Link::Stalled);
    fleet.between(&[1], &[2, 3, 4], Link::OneWay);
    let asked = Instant::now();
    assert_eq!(fleet.order(3, "halt")["code"], 0);
    assert!(asked.elapsed() < Duration::from_secs(10));
    assert_eq!(fleet.order(2, "status")["halted"], "ordered");
    fleet.between(&[0], &[1, 2, 3, 4], Link::Whole);
    fleet.until("the first has it too", || fleet.order(0, "status")["halted"] == "ordered");
}

/// Guards against a life that is taken from a clock which was set back: no member would hear of the router until the clock
/// has passed its former life.
#[test]
fn a_router_whose_clock_was_set_back_is_heard_after_its_restart() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let fleet = FleetProcesses::begun("clock", 64, 4, 3, ONE);
    // One that is no member of the council, and one that is.
    for restarted in [3, 1] {
        fleet.kill(restarted);
        let silent = serde_json::json!([format!("r{restarted}")]);
        fleet.until("its silence is known", || fleet.order(0, "status")["out_here"] == silent);
        let preloaded = ("LD_PRELOAD", library.to_str().unwrap());
        fleet.start_with(restarted, &[preloaded, ("FAULT_STEP_S", "-3600")]);
        fleet.until("it is heard again", || fleet.order(0, "status")["out_here"] == serde_json::json!([]));
        assert_eq!(fleet.out(restarted), Some(false));
    }
}
