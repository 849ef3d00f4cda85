//! Members of the council that restart and remember nothing, or what they have stored.

use serde_json::Value;
use tallypin_test_support::park::{List, Node};

use crate::fleet_rig::{row, FleetProcesses, ONE};
use crate::release_rig::{installed, phase, prepare_release, released, reseeded, starts, WAVES};

/// A member that is killed and starts anew remembers nothing and takes part again; when all have, they begin halted.
#[test]
fn members_that_forget_join_again_and_a_fleet_that_forgets_begins_halted() {
    let fleet = FleetProcesses::begun("anew", 47, 3, 3, ONE);
    assert_eq!(fleet.order(0, "drain r2")["code"], 0);
    fleet.until("r2 is out", || fleet.stage(0, 2) == "out");
    for r in [0, 1] {
        fleet.kill(r);
        fleet.start(r);
        fleet.until("it takes part again", || fleet.log(r).matches("joined the council").count() == 2);
        assert_eq!(fleet.stage(r, 2), "out", "what was agreed on is kept");
    }
    // One that was out and starts anew serves: its entry ends.
    fleet.kill(2);
    fleet.start(2);
    fleet.until("r2 serves", || {
        fleet.out(2) == Some(false) && fleet.order(2, "status")["entries"] == serde_json::json!([])
    });
    assert_eq!(fleet.order(1, "status")["halted"], Value::Null);
    (0..3).for_each(|r| fleet.kill(r));
    // Nor do their disks remember: as where `store` names none.
    (0..3).for_each(|r| std::fs::remove_file(fleet.routers[r].dir.join("stored")).unwrap_or_default());
    (0..3).for_each(|r| fleet.start(r));
    fleet.until("they begin anew", || fleet.order(0, "status")["code"] == 0);
    assert_eq!(fleet.order(1, "status")["halted"], "the council's memory begins anew");
    assert_eq!(fleet.order(1, "drain r0")["code"], 0);
    (0..10).for_each(|_| assert_eq!(fleet.out(0), Some(false), "nothing begins before somebody says so"));
}

/// Two of three of the council are killed in the middle of a release, and forget: the third keeps what it knows, halted,
/// and the release goes on when an operator says so.
#[test]
fn a_release_outlives_a_majority_that_forgets() {
    let node = Node::start("127.56.9.1");
    let list = List::start("127.56.9.1", &[row("n0", &node, 1)]);
    let fleet = released("forget", 56, &list);
    let (order, digest) = prepare_release(&fleet, "configuration", reseeded, WAVES);
    assert_eq!(fleet.order(2, &order)["code"], 0);
    fleet.until_within("r3 is out", 2, || fleet.stage(2, 3) == "out");
    fleet.kill(0);
    fleet.kill(1);
    fleet.start(0);
    fleet.start(1);
    let lost = "most of the council's memory was lost, what was agreed on last may be";
    fleet.until("they begin on what one remembers", || fleet.order(1, "status")["halted"] == lost);
    let said = fleet.order(0, "status");
    assert_eq!(
        (&said["release"]["phase"], &said["release"]["digest"]),
        (&"running".into(), &digest.as_str().into())
    );
    let gone = starts(&fleet);
    (0..10).for_each(|_| assert_eq!(starts(&fleet), gone, "nothing begins"));
    assert_eq!(fleet.order(0, "resume")["code"], 0);
    fleet.until("all run it", || phase(&fleet, 4) == "done");
    assert!((0..5).all(|r| installed(&fleet, r) == digest));
}

/// All members are killed in the middle of a release. Of what they had stored one disk has lost all, one has an older file
/// back, one tells the truth: they begin on the newest, halted, and go on. With all three spoilt they begin with nothing.
#[test]
fn a_council_that_forgets_as_one_begins_on_what_it_has_stored() {
    let node = Node::start("127.58.9.1");
    let list = List::start("127.58.9.1", &[row("n0", &node, 1)]);
    let fleet = released("stored", 58, &list);
    let stored = |r: usize| fleet.routers[r].dir.join("stored");
    fleet.until("something is stored", || stored(1).exists());
    let older = std::fs::read(stored(1)).unwrap();
    let plan = " wave r3\n wave rest\n watch 60s\n ready 20s\n enough 0";
    let (order, digest) = prepare_release(&fleet, "configuration", reseeded, plan);
    assert_eq!(fleet.order(2, &order)["code"], 0);
    fleet.until_within("the first wave is back", 2, || {
        installed(&fleet, 3) == digest && fleet.stage(1, 3).is_empty()
    });
    let version = |r: usize| {
        let bytes = std::fs::read(stored(r)).unwrap_or_default();
        let body = bytes.iter().position(|b| *b == b'\n').map_or(&[][..], |at| &bytes[at + 1..]);
        serde_json::from_slice::<Value>(body).unwrap_or_default()["document"]["version"].clone()
    };
    fleet.until("all have stored it", || (0..3).all(|r| version(r) == fleet.order(r, "status")["version"]));
    let again = |spoil: &dyn Fn()| {
        (0..3).for_each(|r| fleet.kill(r));
        spoil();
        (0..3).for_each(|r| fleet.start(r));
    };
    again(&|| {
        std::fs::remove_file(stored(0)).unwrap();
        std::fs::write(stored(1), &older).unwrap();
    });
    let lost = "most of the council's memory was lost, what was agreed on last may be";
    fleet.until("they begin on the newest", || fleet.order(1, "status")["halted"] == lost);
    assert_eq!(fleet.order(0, "status")["release"]["digest"], digest.as_str());
    assert_eq!(fleet.order(0, "back")["code"], 0);
    assert_eq!(fleet.order(0, "resume")["code"], 0);
    fleet.until_within("it is undone", 3, || phase(&fleet, 1) == "undone");
    again(&|| {
        std::fs::write(stored(0), "").unwrap();
        std::fs::write(stored(1), "not that").unwrap();
        let whole = std::fs::read(stored(2)).unwrap();
        std::fs::write(stored(2), &whole[..whole.len() - 1]).unwrap();
    });
    fleet.until("they begin with nothing", || {
        fleet.order(1, "status")["halted"] == "the council's memory begins anew"
    });
    assert_eq!(fleet.order(2, "status")["release"], Value::Null);
}
