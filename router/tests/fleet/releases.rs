//! Releases in waves, their roll-back, and a change of keys meanwhile.

use tallypin_test_support::park::{List, Node};

use crate::fleet_rig::{answer, row, send};
use crate::release_rig::{installed, phase, prepare_release, released, reseeded, starts, WAVES};

/// In waves, one after the other, each router ends, starts with what is released and is seen ready; the one that asks for
/// the waves is killed meanwhile.
#[test]
fn a_release_goes_in_waves_though_the_member_that_conducts_it_is_killed() {
    let node = Node::start("127.51.9.1");
    let list = List::start("127.51.9.1", &[row("n0", &node, 1)]);
    let fleet = released("waves", 51, &list);
    let old = installed(&fleet, 0);
    let (order, digest) = prepare_release(&fleet, "configuration", reseeded, WAVES);
    let said = fleet.order(2, &format!("--id v2 {order}"));
    assert_eq!((&said["code"], &said["release"]["phase"]), (&0.into(), &"running".into()), "{said}");
    let busy = fleet.order(1, &order);
    assert!(busy["why"].as_str().unwrap().contains("release v2 is ongoing"), "{busy}");
    fleet.until_within("r3 is out", 2, || fleet.stage(1, 3) == "out");
    assert_eq!(starts(&fleet), [1, 1, 1, 1, 1], "r3 first, and alone");
    fleet.kill(0);
    fleet.until_within("the first wave is done", 2, || fleet.order(1, "status")["release"]["wave"] == 2);
    assert_eq!((installed(&fleet, 3), installed(&fleet, 4)), (digest.clone(), old));
    fleet.start(0);
    fleet.until_within("all run it", 2, || phase(&fleet, 1) == "done");
    assert!((0..5).all(|r| installed(&fleet, r) == digest));
    assert_eq!(starts(&fleet), [3, 2, 2, 2, 2]);
    assert_eq!(answer(send(fleet.routers[4].front)), (200, true));
    assert!((0..5).all(|r| !fleet.routers[r].dir.join("config.json.trial").exists()), "the trials are over");
}

/// From the middle of the second wave: all that ran it run again what they ran before, and nobody else went.
#[test]
fn a_release_is_undone_from_the_middle_of_a_wave() {
    let node = Node::start("127.52.9.1");
    let list = List::start("127.52.9.1", &[row("n0", &node, 1)]);
    let fleet = released("back", 52, &list);
    let old = installed(&fleet, 0);
    let (order, digest) = prepare_release(
        &fleet,
        "configuration",
        reseeded,
        " wave r3\n wave r4 r0\n wave rest\n watch 300ms\n enough 0",
    );
    assert_eq!(fleet.order(2, &order)["code"], 0);
    fleet.until_within("one of the second wave is out", 2, || {
        fleet.stage(1, 4) == "out" || fleet.stage(1, 0) == "out"
    });
    assert_eq!(installed(&fleet, 3), digest);
    let said = fleet.order(1, "back late answers");
    assert_eq!((&said["code"], &said["release"]["cause"]), (&0.into(), &"late answers".into()), "{said}");
    fleet.until_within("it is undone", 2, || phase(&fleet, 2) == "undone");
    assert!((0..5).all(|r| installed(&fleet, r) == old));
    assert_eq!((starts(&fleet)[1], starts(&fleet)[2]), (1, 1), "the third wave never went");
    fleet.until_within("all serve", 0, || fleet.all_out().is_empty());
}

/// Keys are changed at all routers in the middle of a release, without a restart; what is no key changes nothing; who signs
/// with the old one alone is not heard any more.
#[test]
fn keys_change_in_the_middle_of_a_release() {
    let node = Node::start("127.57.9.1");
    let list = List::start("127.57.9.1", &[row("n0", &node, 1)]);
    let fleet = released("keys", 57, &list);
    // The first wave is watched until an operator ends the release: in the middle of it all the time.
    let plan = " wave r3\n wave rest\n watch 60s\n ready 20s\n enough 0";
    let (order, digest) = prepare_release(&fleet, "configuration", reseeded, plan);
    assert_eq!(fleet.order(2, &order)["code"], 0);
    fleet.until_within("the first wave is back", 2, || {
        installed(&fleet, 3) == digest && fleet.stage(1, 3).is_empty()
    });
    let (old, new) = ("the key of this fleet of tests", "another key of this fleet, newer");
    // In one step: a router that reads half of a file says once more that it can't be used.
    let write = |r: usize, text: &str| {
        let dir = &fleet.routers[r].dir;
        std::fs::write(dir.join("key.new"), text).unwrap();
        std::fs::rename(dir.join("key.new"), dir.join("key")).unwrap();
    };
    let lines = |r: usize, line: &str| fleet.log(r).matches(line).count();
    for (step, text) in [format!("{old}\n{new}"), format!("{new}\n{old}"), new.to_string()].iter().enumerate()
    {
        (0..5).for_each(|r| write(r, text));
        fleet.until("all go by it", || (0..5).all(|r| lines(r, "fleet keys replaced") == step + 1));
        assert_eq!(fleet.order(step, "status")["release"]["phase"], "running");
    }
    (0..5).for_each(|r| write(r, "short"));
    fleet.until("all have read it", || (0..5).all(|r| lines(r, "fleet key file can't be used") == 1));
    assert_eq!(fleet.order(0, "back")["code"], 0, "they go on with the keys they have");
    // Before r3 starts anew: it would not by such a file.
    (0..5).for_each(|r| write(r, new));
    fleet.until_within("it is undone", 2, || phase(&fleet, 1) == "undone");
    // One that comes with the old key alone is a stranger.
    write(4, old);
    fleet.kill(4);
    fleet.start(4);
    fleet.until("it is not heard", || fleet.order(0, "status")["out_here"] == serde_json::json!(["r4"]));
    assert_eq!(fleet.order(4, "status")["code"], 1);
}
