//! Router drains within the limits, halts, and commands that are sent twice.

use crate::fleet_processes::{FleetProcesses, ONE_OUT, THREE_OUT};
use serde_json::Value;

/// Two operators order drains of two routers in different zones at once. The drains run one after the other.
#[test]
fn concurrent_drains_by_two_operators_keep_to_the_limit() {
    let fleet = FleetProcesses::resumed("two", 41, 5, 3, ONE_OUT);
    std::thread::scope(|s| {
        let first = s.spawn(|| fleet.run_command(3, "drain r1"));
        let second = s.spawn(|| fleet.run_command(4, "drain r2"));
        for command in [first, second] {
            assert_eq!(command.join().unwrap()["code"], 0);
        }
    });
    fleet.wait_until_with_max_out("one of them is out of service", 1, || !fleet.routers_out().is_empty());
    let first = fleet.routers_out()[0];
    let second = 3 - first;
    // The waiting router repeats its request and is refused each time, because another one is out.
    fleet.wait_until_with_max_out("the other drain waits", 1, || {
        fleet.stage(0, second) == "wanted" && fleet.stage(0, first) == "out"
    });
    assert_eq!(fleet.run_command(4, &format!("put-back r{first}"))["code"], 0);
    fleet
        .wait_until_with_max_out("the other router is out of service", 1, || fleet.routers_out() == [second]);
    assert_eq!(fleet.run_command(2, &format!("put-back r{second}"))["code"], 0);
    fleet.wait_until_with_max_out("both routers are back in service", 1, || {
        fleet.routers_out().is_empty() && fleet.stage(0, second).is_empty()
    });
}

/// A failed router counts towards the limit like a drained one. Once it is back, the waiting drain starts.
#[test]
fn no_drain_starts_while_a_failed_router_uses_up_the_limit() {
    let fleet = FleetProcesses::resumed("fail", 42, 4, 3, ONE_OUT);
    fleet.kill(3);
    fleet.wait_until("r3 counts as out of service", || {
        fleet.run_command(0, "status")["out_here"] == serde_json::json!(["r3"])
    });
    assert_eq!(fleet.run_command(1, "drain r2")["code"], 0);
    fleet.wait_until_with_max_out("r2 has been refused at least twice", 0, || fleet.lease_refusals(2) >= 2);
    assert_eq!((fleet.is_out(2), fleet.stage(1, 2).as_str()), (Some(false), "wanted"));
    fleet.start(3);
    fleet.wait_until("r2 is drained", || fleet.is_out(2) == Some(true));
    assert_eq!(fleet.is_out(3), Some(false));
}

/// A router fails while drains use up the limit. No drain is ended by force, and no other drain starts until the failed and
/// the drained routers together are below the limit.
#[test]
fn a_failure_at_the_limit_ends_no_drain_and_starts_no_drain() {
    let fleet = FleetProcesses::resumed("above", 61, 6, 3, " out-most 2\n out-zone 2");
    assert_eq!(fleet.run_command(0, "drain r3 r4")["code"], 0);
    fleet.wait_until_with_max_out("r3 and r4 are out of service", 2, || fleet.routers_out() == [3, 4]);
    fleet.kill(5);
    let is_known_out = |out: Value| fleet.run_command(0, "status")["out_here"] == out;
    fleet.wait_until("r3, r4 and r5 count as out of service", || {
        is_known_out(serde_json::json!(["r3", "r4", "r5"]))
    });
    assert_eq!(fleet.run_command(1, "drain r2")["code"], 0);
    fleet.wait_until_with_max_out("r2 has been refused at least twice", 2, || fleet.lease_refusals(2) >= 2);
    assert_eq!(fleet.routers_out(), [3, 4], "the ordered drains stay");
    assert_eq!(fleet.run_command(2, "put-back r3")["code"], 0);
    let refusals_before = fleet.lease_refusals(2);
    fleet.wait_until_with_max_out("r3 is back and r2 is still refused", 2, || {
        fleet.is_out(3) == Some(false)
            && fleet.stage(0, 3).is_empty()
            && fleet.lease_refusals(2) >= refusals_before + 2
    });
    assert_eq!(fleet.is_out(2), Some(false));
    fleet.start(5);
    fleet.wait_until_with_max_out("r5 is back and r2 is drained", 2, || fleet.is_out(2) == Some(true));
    assert_eq!(fleet.is_out(5), Some(false));
}

/// A confirmed halt stays in force after the router that confirmed it is killed, and also for a router that was stopped then.
#[test]
fn a_confirmed_halt_stays_in_force_after_routers_are_killed_or_stopped() {
    let fleet = FleetProcesses::resumed("halt", 43, 5, 3, THREE_OUT);
    // r4 is stopped before it is notified of its drain, and continues only after the halt.
    fleet.signal(4, "-STOP");
    assert_eq!(fleet.run_command(0, "drain r4 r3")["code"], 0);
    fleet.wait_until("r3 is out of service", || fleet.is_out(3) == Some(true) && fleet.stage(0, 3) == "out");
    let halted = fleet.run_command(0, "halt late answers");
    assert!(halted["code"] == 0 && halted["halted"] == "late answers", "{halted}");
    fleet.kill(0);
    fleet.signal(4, "-CONT");
    assert_eq!(fleet.run_command(1, "drain r1")["code"], 0, "the drain is accepted, but does not start");
    fleet.wait_until("r4 knows of the halt", || fleet.run_command(4, "status")["halted"] == "late answers");
    (0..20).for_each(|_| assert_eq!((fleet.is_out(4), fleet.is_out(1)), (Some(false), Some(false))));
    assert_eq!(fleet.is_out(3), Some(true), "a drained router stays out during a halt");
    // Until the other members have missed enough heartbeats of r0, it counts as alive and two more routers may drain.
    let out = serde_json::json!(["r0", "r3"]);
    let r0_is_known_dead = |member: usize| fleet.run_command(member, "status")["out_here"] == out;
    fleet.wait_until("r1 and r2 know that r0 is dead", || r0_is_known_dead(1) && r0_is_known_dead(2));
    assert_eq!(fleet.run_command(2, "resume")["code"], 0);
    // r0 is dead and r3 is drained, so one more router may drain.
    fleet.wait_until_with_max_out("one more router is drained", 2, || fleet.routers_out().len() == 2);
}

/// A command that is sent twice with the same id takes effect once, at whichever router it arrives.
#[test]
fn a_command_with_a_repeated_id_takes_effect_once() {
    let fleet = FleetProcesses::resumed("twice", 46, 3, 3, ONE_OUT);
    assert_eq!(fleet.run_command(0, "--id tuesday drain r1")["code"], 0);
    fleet.wait_until("r1 is out of service", || fleet.is_out(1) == Some(true));
    assert_eq!(fleet.run_command(2, "put-back r1")["code"], 0);
    fleet.wait_until("r1 is back in service", || {
        fleet.is_out(1) == Some(false) && fleet.stage(0, 1).is_empty()
    });
    let again = fleet.run_command(2, "--id tuesday drain r1");
    assert!(again["code"] == 0 && again["entries"] == serde_json::json!([]), "{again}");
    let unknown = fleet.run_command(0, "drain r9");
    assert!(unknown["code"] == 1 && unknown["why"].as_str().unwrap().contains("no router `r9`"), "{unknown}");
}
