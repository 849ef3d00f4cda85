//! Replicas that operators take out and put back.

use serde_json::Value;
use tallypin_test_support::park::{Does, List, Node};

use crate::fleet_rig::{answer, config, row, send, FleetProcesses};

const NODES: &str = " out-most 2\n out-zone 1\n nodes-out-most 1";

/// What the fleet says of a model node: its stage, whether it is clear, and who keeps it from being so.
fn said_of(fleet: &FleetProcesses, at: usize, node: &str) -> (String, bool, Value) {
    let said = fleet.order(at, "status");
    let entry = said["nodes"].as_array().and_then(|all| all.iter().find(|n| n["node"] == node)).cloned();
    let entry = entry.unwrap_or_default();
    (entry["stage"].as_str().unwrap_or("").into(), entry["clear"] == true, entry["first"].clone())
}

/// Requests through all routers, each with a whole answer. One that starves for processors may refuse some.
fn serves(fleet: &FleetProcesses, each: usize) {
    for r in 0..fleet.routers.len() {
        let answers: Vec<_> = (0..each).map(|_| answer(send(fleet.routers[r].front))).collect();
        assert!(answers.iter().all(|a| matches!(a, (200 | 503, true))), "through r{r}: {answers:?}");
    }
}

/// Taken out at one router, all send nothing new there, whatever becomes of the node's entry in the list and of routers;
/// it is clear when the last stream there has ended; and it comes back cold, so the next one waits.
#[test]
fn a_model_node_that_is_taken_out_is_out_for_all_until_it_is_put_back() {
    let nodes: Vec<Node> = (0..3).map(|_| Node::start("127.49.9.1")).collect();
    let rows = |first: &Node, started: u64| {
        vec![row("n0", first, started), row("n1", &nodes[1], 1), row("n2", &nodes[2], 1)]
    };
    let list = List::start("127.49.9.1", &rows(&nodes[0], 1));
    let fleet = FleetProcesses::with("nodes", 49, 3, 3, NODES, &config(&list));
    fleet.until("all serve", || (0..3).all(|r| answer(send(fleet.routers[r].front)) == (200, true)));
    nodes[0].does(Does::Holds);
    // One after the other, until one is held there.
    let held = loop {
        let before: Vec<usize> = nodes.iter().map(Node::served).collect();
        let stream = send(fleet.routers[1].front);
        fleet.until("it has come somewhere", || nodes.iter().zip(&before).any(|(n, b)| n.served() > *b));
        match nodes[0].served() > before[0] {
            true => break stream,
            false => drop(answer(stream)),
        }
    };
    let unknown = fleet.order(2, "take-out n7");
    assert!(unknown["code"] == 1 && unknown["why"].as_str().unwrap().contains("`n7`"), "{unknown}");
    assert_eq!(fleet.order(2, "take-out n0")["code"], 0);
    fleet.until("only r1, which has a stream there, keeps it", || {
        said_of(&fleet, 0, "n0") == ("out".into(), false, serde_json::json!(["r1"]))
    });
    let before = nodes[0].served();
    serves(&fleet, 10);
    // One may be out: another waits.
    assert_eq!(fleet.order(0, "take-out n1")["code"], 0);
    nodes[0].does(Does::Answers);
    assert_eq!(answer(held), (200, true), "what was open there ended as ever");
    fleet.until("it is clear", || said_of(&fleet, 1, "n0").1);
    // It starts again, elsewhere; a router starts anew; the list is told anew: it is still out.
    let elsewhere = Node::start("127.49.9.1");
    list.set(&rows(&elsewhere, 2));
    fleet.kill(0);
    fleet.start(0);
    fleet.until("r0 is back", || answer(send(fleet.routers[0].front)) == (200, true));
    serves(&fleet, 10);
    assert_eq!((nodes[0].served(), elsewhere.served()), (before, 0), "nothing new went there");
    assert_eq!(said_of(&fleet, 1, "n1").0, "wanted", "one is out, and one may be");
    assert_eq!(fleet.order(1, "put-back n0")["code"], 0);
    fleet.until("it serves again", || {
        serves(&fleet, 1);
        elsewhere.served() > 0
    });
    fleet.until("n0 is warm, and n1 goes", || {
        serves(&fleet, 1);
        said_of(&fleet, 1, "n1").0 == "out"
    });
    assert_eq!(fleet.order(1, "put-back n1")["code"], 0);
}

/// For a stated time: it comes back by itself, whoever of the council is dead.
#[test]
fn a_model_node_that_is_out_for_a_time_comes_back_without_an_order() {
    let nodes: Vec<Node> = (0..2).map(|_| Node::start("127.50.9.1")).collect();
    let rows = [row("n0", &nodes[0], 1), row("n1", &nodes[1], 1)];
    let list = List::start("127.50.9.1", &rows);
    let fleet = FleetProcesses::with("time", 50, 3, 3, NODES, &config(&list));
    fleet.until("the list is heard", || answer(send(fleet.routers[1].front)) == (200, true));
    fleet.until("n0 is known", || fleet.order(1, "take-out n0 for 2s")["code"] == 0);
    fleet.kill(0);
    fleet.until("it is out", || said_of(&fleet, 1, "n0").0 == "out");
    fleet.until("it is back", || said_of(&fleet, 2, "n0").0 == "back");
}
