//! Drains of routers under the limits, halts, and orders that come twice.

use crate::fleet_rig::{FleetProcesses, ONE, THREE};
use serde_json::Value;

/// Two operators at two routers want two of different zones out: one after the other goes, and never both.
#[test]
fn two_operators_order_drains_at_once_and_the_bound_holds() {
    let fleet = FleetProcesses::begun("two", 41, 5, 3, ONE);
    std::thread::scope(|s| {
        let first = s.spawn(|| fleet.order(3, "drain r1"));
        let second = s.spawn(|| fleet.order(4, "drain r2"));
        for order in [first, second] {
            assert_eq!(order.join().unwrap()["code"], 0);
        }
    });
    fleet.until_within("one of them goes out", 1, || !fleet.all_out().is_empty());
    let first = fleet.all_out()[0];
    let second = 3 - first;
    // Asked again in the meantime by the one that waits: refused each time, as one is out.
    fleet.until_within("the other waits", 1, || {
        fleet.stage(0, second) == "wanted" && fleet.stage(0, first) == "out"
    });
    assert_eq!(fleet.order(4, &format!("put-back r{first}"))["code"], 0);
    fleet.until_within("the other goes out", 1, || fleet.all_out() == [second]);
    assert_eq!(fleet.order(2, &format!("put-back r{second}"))["code"], 0);
    fleet
        .until_within("both are back", 1, || fleet.all_out().is_empty() && fleet.stage(0, second).is_empty());
}

/// What fails fills the bound like what is planned; when it is back there is room again.
#[test]
fn no_planned_drain_begins_while_a_failure_fills_the_bound() {
    let fleet = FleetProcesses::begun("fail", 42, 4, 3, ONE);
    fleet.kill(3);
    fleet.until("its silence is known", || fleet.order(0, "status")["out_here"] == serde_json::json!(["r3"]));
    assert_eq!(fleet.order(1, "drain r2")["code"], 0);
    fleet.until_within("r2 asks, and is refused again", 0, || fleet.refused(2) >= 2);
    assert_eq!((fleet.out(2), fleet.stage(1, 2).as_str()), (Some(false), "wanted"));
    fleet.start(3);
    fleet.until("there is room", || fleet.out(2) == Some(true));
    assert_eq!(fleet.out(3), Some(false));
}

/// Failures on top of planned outs that fill the bound: nobody is brought back by force, and nobody goes until there is
/// room for one more than both.
#[test]
fn a_failure_at_the_bound_brings_nobody_back_and_lets_nobody_go() {
    let fleet = FleetProcesses::begun("above", 61, 6, 3, " out-most 2\n out-zone 2");
    assert_eq!(fleet.order(0, "drain r3 r4")["code"], 0);
    fleet.until_within("both are out", 2, || fleet.all_out() == [3, 4]);
    fleet.kill(5);
    let known = |out: Value| fleet.order(0, "status")["out_here"] == out;
    fleet.until("three are known to be out", || known(serde_json::json!(["r3", "r4", "r5"])));
    assert_eq!(fleet.order(1, "drain r2")["code"], 0);
    fleet.until_within("r2 asks, and is refused again", 2, || fleet.refused(2) >= 2);
    assert_eq!(fleet.all_out(), [3, 4], "they stay as ordered");
    assert_eq!(fleet.order(2, "put-back r3")["code"], 0);
    let so_far = fleet.refused(2);
    fleet.until_within("r3 is back, and there is no room yet", 2, || {
        fleet.out(3) == Some(false) && fleet.stage(0, 3).is_empty() && fleet.refused(2) >= so_far + 2
    });
    assert_eq!(fleet.out(2), Some(false));
    fleet.start(5);
    fleet.until_within("r5 is back, and r2 goes", 2, || fleet.out(2) == Some(true));
    assert_eq!(fleet.out(5), Some(false));
}

/// A halt that was answered outlives the router that answered it, and a router that was stopped meanwhile.
#[test]
fn a_halt_that_was_answered_holds_whoever_is_killed_or_stopped() {
    let fleet = FleetProcesses::begun("halt", 43, 5, 3, THREE);
    // Stopped before it hears of its order: it wakes up to a halt.
    fleet.signal(4, "-STOP");
    assert_eq!(fleet.order(0, "drain r4 r3")["code"], 0);
    fleet.until("r3 goes out", || fleet.out(3) == Some(true) && fleet.stage(0, 3) == "out");
    let halted = fleet.order(0, "halt late answers");
    assert!(halted["code"] == 0 && halted["halted"] == "late answers", "{halted}");
    fleet.kill(0);
    fleet.signal(4, "-CONT");
    assert_eq!(fleet.order(1, "drain r1")["code"], 0, "ordered, but not begun");
    fleet.until("r4 has heard of it", || fleet.order(4, "status")["halted"] == "late answers");
    (0..20).for_each(|_| assert_eq!((fleet.out(4), fleet.out(1)), (Some(false), Some(false))));
    assert_eq!(fleet.out(3), Some(true), "what was out stays out");
    // Until the members that are left have missed enough heartbeats of r0 it counts as alive, and two more may go.
    let out = serde_json::json!(["r0", "r3"]);
    let known = |member: usize| fleet.order(member, "status")["out_here"] == out;
    fleet.until("the death of r0 is known", || known(1) && known(2));
    assert_eq!(fleet.order(2, "resume")["code"], 0);
    // r0 is dead, r3 is out: one more may go.
    fleet.until_within("one goes on", 2, || fleet.all_out().len() == 2);
}

/// The same order under one id runs once, wherever it is sent.
#[test]
fn an_order_that_is_sent_twice_runs_once() {
    let fleet = FleetProcesses::begun("twice", 46, 3, 3, ONE);
    assert_eq!(fleet.order(0, "--id tuesday drain r1")["code"], 0);
    fleet.until("it goes out", || fleet.out(1) == Some(true));
    assert_eq!(fleet.order(2, "put-back r1")["code"], 0);
    fleet.until("it is back", || fleet.out(1) == Some(false) && fleet.stage(0, 1).is_empty());
    let again = fleet.order(2, "--id tuesday drain r1");
    assert!(again["code"] == 0 && again["entries"] == serde_json::json!([]), "{again}");
    let unknown = fleet.order(0, "drain r9");
    assert!(unknown["code"] == 1 && unknown["why"].as_str().unwrap().contains("no router `r9`"), "{unknown}");
}
