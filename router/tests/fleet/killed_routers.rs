//! Commands of a killed router that are carried out only after it has started again under its name and address.

use tallypin_test_support::relay::Link;

use crate::fleet_processes::{FleetProcesses, ONE_OUT};

/// Limits as [`ONE_OUT`], with a silence limit that is longer than connections are held: an idle one is closed.
const ONE_OUT_LONG_SILENCE: &str = " out-most 1\n out-zone 1\n silent 6s";

/// Index of the router that is killed. It is no council member.
const KILLED: usize = 3;

/// Cuts the link to member 0, so that commands go to member 1.
fn cut_off_from_member_0(fleet: &FleetProcesses) {
    fleet.set_links(&[KILLED], &[0], Link::Cut);
    fleet.wait_until("member 0 is not reachable", || {
        fleet.run_command(KILLED, "status")["council"] == serde_json::json!(["r1", "r2"])
    });
}

/// Kills the router and starts it again. Its commands go to member 0 now. Returns when member 1 knows the next incarnation.
fn restart(fleet: &FleetProcesses) {
    fleet.kill(KILLED);
    fleet.set_links(&[KILLED], &[0], Link::Open);
    let link = fleet.relay(KILLED, 1);
    let replies = link.reply_count();
    fleet.start(KILLED);
    // Replies to the killed incarnation may still come, one on each of its two connections. The first to the next one is the
    // number that it asks for, which it uses from then on.
    fleet.wait_until("member 1 replies to the next incarnation", || link.reply_count() >= replies + 4);
}

fn rejected_messages(fleet: &FleetProcesses) -> u64 {
    fleet.run_command(1, "status")["spoilt"].as_u64().unwrap_or_default()
}

/// Guards against a command of a killed incarnation that is carried out when it arrives late: its lease was granted, which the
/// next incarnation took for its own drain before the restart, so that it ended the operator's order without draining.
#[test]
fn a_late_lease_request_of_a_killed_router_is_rejected_and_its_successor_drains() {
    let fleet = FleetProcesses::resumed("late", 65, 4, 3, ONE_OUT_LONG_SILENCE);
    assert_eq!(fleet.run_command(0, "drain r2")["code"], 0);
    fleet.wait_until("r2 is drained", || fleet.is_out(2) == Some(true) && fleet.stage(0, 2) == "out");
    // r2 uses up the limit, so the lease is refused and requested again and again.
    assert_eq!(fleet.run_command(0, "drain r3")["code"], 0);
    cut_off_from_member_0(&fleet);
    let refusals = fleet.lease_refusals(KILLED);
    fleet.wait_until("member 1 refuses the lease", || fleet.lease_refusals(KILLED) > refusals);
    let link = fleet.relay(KILLED, 1);
    link.hold_open_connections();
    fleet.wait_until("a heartbeat and a lease request are on their way to member 1", || {
        link.held_connections_with_data() == 2
    });
    restart(&fleet);
    // The next incarnation is paused while the limit gets room for its drain.
    fleet.signal(KILLED, "-STOP");
    assert_eq!(fleet.run_command(0, "put-back r2")["code"], 0);
    fleet.wait_until("r2 is back in service", || {
        fleet.is_out(2) == Some(false) && fleet.stage(0, 2).is_empty()
    });
    let rejected_before = rejected_messages(&fleet);
    link.release_held_connections();
    fleet.wait_until("the late messages are handled", || {
        fleet.stage(0, KILLED) != "wanted" || rejected_messages(&fleet) >= rejected_before + 2
    });
    let stage = fleet.stage(0, KILLED);
    fleet.signal(KILLED, "-CONT");
    assert_eq!(stage, "wanted", "the killed incarnation holds no lease");
    fleet.wait_until("the next incarnation drains by the order", || fleet.is_out(KILLED) == Some(true));
}

/// Guards against an order of a killed incarnation that waits at a member without a majority, and is carried out after the
/// restart: its operator got no answer, and may have given other orders since.
#[test]
fn an_order_that_waits_for_a_majority_is_not_carried_out_after_a_restart() {
    let fleet = FleetProcesses::resumed("queued", 66, 4, 3, ONE_OUT);
    cut_off_from_member_0(&fleet);
    // The order opens the connection for commands to member 1.
    assert_eq!(fleet.run_command(KILLED, "halt")["code"], 0);
    fleet.set_links(&[1], &[0, 2], Link::Cut);
    let link = fleet.relay(KILLED, 1);
    link.hold_open_connections();
    std::thread::scope(|scope| {
        scope.spawn(|| fleet.run_command(KILLED, "resume"));
        fleet.wait_until("a heartbeat and the order are on their way to member 1", || {
            link.held_connections_with_data() == 2
        });
        link.release_held_connections();
        restart(&fleet);
    });
    fleet.set_links(&[1], &[0, 2], Link::Open);
    // The order of member 1 is carried out after those that it was given before.
    fleet.wait_until("member 1 proposes", || fleet.run_command(1, "--id after drain r2")["done"] == true);
    assert_eq!(fleet.run_command(0, "status")["halted"], "ordered");
}
