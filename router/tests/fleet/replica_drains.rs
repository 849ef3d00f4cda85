//! Drains of replicas that operators order and end.

use serde_json::Value;
use tallypin_test_support::mock_services::{MockEndpointList, MockReplica, ReplicaBehaviour};

use crate::fleet_processes::{config, endpoint_entry, read_response, send_request, FleetProcesses};

const LIMITS: &str = " out-most 2\n out-zone 1\n nodes-out-most 1";

/// Returns the stage of a replica's drain, whether the replica is free of requests, and which routers still use it.
fn replica_status(fleet: &FleetProcesses, queried: usize, replica: &str) -> (String, bool, Value) {
    let reply = fleet.run_command(queried, "status");
    let entry = reply["nodes"].as_array().and_then(|all| all.iter().find(|n| n["node"] == replica)).cloned();
    let entry = entry.unwrap_or_default();
    (entry["stage"].as_str().unwrap_or("").into(), entry["clear"] == true, entry["first"].clone())
}

/// Sends requests through each router and expects complete answers. A router short of processor time may refuse some.
fn check_requests(fleet: &FleetProcesses, requests_per_router: usize) {
    for r in 0..fleet.routers.len() {
        let answers: Vec<_> = (0..requests_per_router)
            .map(|_| read_response(send_request(fleet.routers[r].front_addr)))
            .collect();
        assert!(answers.iter().all(|a| matches!(a, (200 | 503, true))), "through r{r}: {answers:?}");
    }
}

/// A drain that is ordered at one router keeps all routers from sending new requests to the replica, also after the replica's
/// entry changes and after a router restarts. The replica is clear once its last stream ends. After the drain it has to warm
/// up, and the next drain waits until then.
#[test]
fn a_drained_replica_receives_no_new_requests_until_the_drain_is_ended() {
    let replicas: Vec<MockReplica> = (0..3).map(|_| MockReplica::start("127.49.9.1")).collect();
    let entries = |first: &MockReplica, started_ms: u64| {
        vec![
            endpoint_entry("n0", first, started_ms),
            endpoint_entry("n1", &replicas[1], 1),
            endpoint_entry("n2", &replicas[2], 1),
        ]
    };
    let list = MockEndpointList::start("127.49.9.1", &entries(&replicas[0], 1));
    let fleet = FleetProcesses::resumed_with_config("nodes", 49, 3, 3, LIMITS, &config(&list));
    fleet.wait_until("all routers serve requests", || {
        (0..3).all(|r| read_response(send_request(fleet.routers[r].front_addr)) == (200, true))
    });
    replicas[0].set_behaviour(ReplicaBehaviour::PauseMidStream);
    // Sends requests one after the other until n0 holds one.
    let held_request = loop {
        let before: Vec<usize> = replicas.iter().map(MockReplica::requests_received).collect();
        let stream = send_request(fleet.routers[1].front_addr);
        fleet.wait_until("a replica has received the request", || {
            replicas.iter().zip(&before).any(|(n, b)| n.requests_received() > *b)
        });
        match replicas[0].requests_received() > before[0] {
            true => break stream,
            false => drop(read_response(stream)),
        }
    };
    let unknown = fleet.run_command(2, "take-out n7");
    assert!(unknown["code"] == 1 && unknown["why"].as_str().unwrap().contains("`n7`"), "{unknown}");
    assert_eq!(fleet.run_command(2, "take-out n0")["code"], 0);
    fleet.wait_until("only r1, which has an open stream, still uses n0", || {
        replica_status(&fleet, 0, "n0") == ("out".into(), false, serde_json::json!(["r1"]))
    });
    let before = replicas[0].requests_received();
    check_requests(&fleet, 10);
    // Only one replica may be out, so the drain of n1 waits.
    assert_eq!(fleet.run_command(0, "take-out n1")["code"], 0);
    replicas[0].set_behaviour(ReplicaBehaviour::RespondAtOnce);
    assert_eq!(read_response(held_request), (200, true), "the open stream completes");
    fleet.wait_until("n0 is clear", || replica_status(&fleet, 1, "n0").1);
    // n0 stays drained after it restarts at another address, a router restarts and the list changes.
    let restarted_replica = MockReplica::start("127.49.9.1");
    list.publish(&entries(&restarted_replica, 2));
    fleet.kill(0);
    fleet.start(0);
    fleet.wait_until("r0 serves requests again", || {
        read_response(send_request(fleet.routers[0].front_addr)) == (200, true)
    });
    check_requests(&fleet, 10);
    assert_eq!(
        (replicas[0].requests_received(), restarted_replica.requests_received()),
        (before, 0),
        "n0 receives no new requests"
    );
    assert_eq!(
        replica_status(&fleet, 1, "n1").0,
        "wanted",
        "n1 waits, since one replica is out and one may be"
    );
    assert_eq!(fleet.run_command(1, "put-back n0")["code"], 0);
    fleet.wait_until("n0 receives requests again", || {
        check_requests(&fleet, 1);
        restarted_replica.requests_received() > 0
    });
    fleet.wait_until("n0 has warmed up and n1 is drained", || {
        check_requests(&fleet, 1);
        replica_status(&fleet, 1, "n1").0 == "out"
    });
    assert_eq!(fleet.run_command(1, "put-back n1")["code"], 0);
}

/// A drain with a duration ends by itself, also while a council member is dead.
#[test]
fn a_replica_drain_with_a_duration_ends_without_a_command() {
    let replicas: Vec<MockReplica> = (0..2).map(|_| MockReplica::start("127.50.9.1")).collect();
    let entries = [endpoint_entry("n0", &replicas[0], 1), endpoint_entry("n1", &replicas[1], 1)];
    let list = MockEndpointList::start("127.50.9.1", &entries);
    let fleet = FleetProcesses::resumed_with_config("time", 50, 3, 3, LIMITS, &config(&list));
    fleet.wait_until("r1 has received the endpoint list", || {
        read_response(send_request(fleet.routers[1].front_addr)) == (200, true)
    });
    fleet.wait_until("n0 can be drained", || fleet.run_command(1, "take-out n0 for 2s")["code"] == 0);
    fleet.kill(0);
    fleet.wait_until("n0 is out", || replica_status(&fleet, 1, "n0").0 == "out");
    fleet.wait_until("n0 is back", || replica_status(&fleet, 2, "n0").0 == "back");
}
