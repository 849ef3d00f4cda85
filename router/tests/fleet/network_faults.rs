//! Links that are cut or stalled, and a clock that is set back.

use std::time::{Duration, Instant};

use crate::fleet_processes::{FleetProcesses, ONE_OUT, THREE_OUT};
use serde_json::Value;
use tallypin_test_support::fault_injection::Library;
use tallypin_test_support::relay::Link;

/// A minority of the council that is cut off rejects drains and continues to serve, while the majority still orders drains.
/// After the links are restored, all routers report the same drains.
#[test]
fn a_minority_rejects_drains_while_the_majority_accepts_them() {
    let fleet = FleetProcesses::resumed("cut", 44, 6, 5, THREE_OUT);
    fleet.set_links(&[0, 1], &[2, 3, 4, 5], Link::Cut);
    let sent_at = Instant::now();
    let reply = fleet.run_command(0, "drain r1");
    assert!(reply["code"] == 1 && reply["why"].as_str().unwrap().contains("no majority"), "{reply}");
    assert!(sent_at.elapsed() < Duration::from_secs(10), "the rejection arrives in time");
    fleet.wait_until("the majority counts r0 and r1 as out of service", || {
        fleet.run_command(2, "status")["out_here"] == serde_json::json!(["r0", "r1"])
    });
    // With another member out of service, the council could lose its state. r5 is no member, so it may go.
    assert_eq!(fleet.run_command(3, "drain r4 r5")["code"], 0);
    fleet.wait_until("r5 is out of service as the third of three", || fleet.is_out(5) == Some(true));
    assert_eq!((fleet.is_out(4), fleet.stage(3, 4).as_str()), (Some(false), "wanted"));
    assert_eq!(
        (fleet.is_out(0), fleet.is_out(1)),
        (Some(false), Some(false)),
        "the minority stays in service"
    );
    fleet.set_links(&[0, 1], &[2, 3, 4, 5], Link::Open);
    fleet.wait_until("all routers report the same drains", || {
        let statuses: Vec<Value> = (0..6).map(|r| fleet.run_command(r, "status")).collect();
        statuses.iter().all(|s| s["code"] == 0 && s["entries"] == statuses[3]["entries"])
    });
}

/// The council reaches agreement while one member accepts connections without answering and the answers of another are lost.
#[test]
fn silent_members_and_one_way_links_do_not_block_agreement() {
    let fleet = FleetProcesses::resumed("mute", 45, 5, 5, THREE_OUT);
    fleet.set_links(&[0], &[1, 2, 3, 4], Link::Stalled);
    fleet.set_links(&[1], &[2, 3, 4], Link::OneWay);
    let sent_at = Instant::now();
    assert_eq!(fleet.run_command(3, "halt")["code"], 0);
    assert!(sent_at.elapsed() < Duration::from_secs(10));
    assert_eq!(fleet.run_command(2, "status")["halted"], "ordered");
    fleet.set_links(&[0], &[1, 2, 3, 4], Link::Open);
    fleet.wait_until("r0 knows of the halt", || fleet.run_command(0, "status")["halted"] == "ordered");
}

/// Guards against an incarnation that is taken from a clock which was set back: members would ignore the router until the
/// clock has passed the former incarnation.
#[test]
fn a_router_whose_clock_was_set_back_rejoins_after_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let fleet = FleetProcesses::resumed("clock", 64, 4, 3, ONE_OUT);
    // r3 is no member of the council, r1 is.
    for restarted in [3, 1] {
        fleet.kill(restarted);
        let silent = serde_json::json!([format!("r{restarted}")]);
        fleet.wait_until("the killed router counts as out of service", || {
            fleet.run_command(0, "status")["out_here"] == silent
        });
        let preloaded = ("LD_PRELOAD", library.to_str().unwrap());
        fleet.start_with_env(restarted, &[preloaded, ("FAULT_STEP_S", "-3600")]);
        fleet.wait_until("the restarted router counts as in service", || {
            fleet.run_command(0, "status")["out_here"] == serde_json::json!([])
        });
        assert_eq!(fleet.is_out(restarted), Some(false));
    }
}
