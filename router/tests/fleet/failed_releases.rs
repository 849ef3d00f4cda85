//! Releases that do not start, answer badly, or are lost by a disk.

use std::time::Duration;

use tallypin_test_support::park::{Does, List, Node};

use crate::fleet_rig::{answer, row, send};
use crate::release_rig::{installed, phase, prepare_release, released, reseeded, starts, WAVES};

/// A release that the program does not come up with: the router goes back by itself, and the release with it.
#[test]
fn what_does_not_start_goes_back_by_itself_and_stays_at_one_router() {
    let node = Node::start("127.53.9.1");
    let list = List::start("127.53.9.1", &[row("n0", &node, 1)]);
    let fleet = released("crash", 53, &list);
    let old = installed(&fleet, 0);
    // It parses, and the program ends at once: its peers' address is another's.
    let taken = std::net::UdpSocket::bind("127.53.9.1:0").unwrap();
    let at = taken.local_addr().unwrap();
    let crashes = |_: usize, text: &str| {
        let text =
            text.replace("\"peers\": [],", &format!("\"peers\": [\"{at}\"], \"peer_listen\": \"{at}\","));
        text.replace("\"Peers\": false", "\"Peers\": true")
    };
    let (order, digest) =
        prepare_release(&fleet, "configuration", crashes, &format!("{WAVES}\n on-failure back"));
    assert_eq!(fleet.order(2, &order)["code"], 0);
    fleet.until_within("it crashes again and again, and is undone", 2, || phase(&fleet, 1) == "undone");
    assert!(starts(&fleet)[3] > 3, "{:?}", starts(&fleet));
    assert_ne!(digest, old);
    assert!((0..5).all(|r| installed(&fleet, r) == old));
    assert_eq!([0, 1, 2, 4].map(|r| starts(&fleet)[r]), [1; 4], "nobody else went");
    fleet.until("all serve", || fleet.all_out().is_empty() && fleet.out(3) == Some(false));
}

/// A release that starts and answers 500: seen by its answers against those of the others, and halted.
#[test]
fn what_answers_badly_is_halted_after_the_first_router() {
    halted_by_its_answers("bad", 54, Does::Fails);
}

/// One that is slow only once there is load, and well at the checks.
#[test]
fn what_is_slow_only_under_load_is_halted_after_the_first_router() {
    halted_by_its_answers("slow", 59, Does::Waits(Duration::from_millis(2500)));
}

fn halted_by_its_answers(test: &str, net: u8, does: Does) {
    let ip = format!("127.{net}.9.1");
    let (good, bad) = (Node::start(&ip), Node::start(&ip));
    bad.does(does);
    let list = List::start(&ip, &[row("n0", &good, 1)]);
    let wrong = List::start(&ip, &[row("n0", &bad, 1)]);
    let fleet = released(test, net, &list);
    let elsewhere = |_: usize, text: &str| text.replace(&list.at.to_string(), &wrong.at.to_string());
    let plan = " wave r3\n wave rest\n watch 300ms\n ready 20s\n enough 20";
    let (order, digest) = prepare_release(&fleet, "configuration", elsewhere, plan);
    assert_eq!(fleet.order(2, &order)["code"], 0);
    let over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|s| {
        // Limit of them where it is released: what is slow answers seldom.
        for r in (0..5).chain([3; 10]) {
            let (fleet, over) = (&fleet, &over);
            s.spawn(move || {
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    answer(send(fleet.routers[r].front));
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
        let told = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            fleet.until_within("it is told by its answers", 2, || phase(&fleet, 1) == "failed");
        }));
        // Whatever came of it: the clients would go on for ever.
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        told.unwrap();
    });
    let said = fleet.order(4, "status");
    assert!(said["halted"].as_str().unwrap().contains("where it is released"), "{said}");
    assert_eq!([0, 1, 2, 4].map(|r| starts(&fleet)[r]), [1; 4], "nobody else went");
    assert_eq!(installed(&fleet, 3), digest);
    // The way back waits for whoever halted to let it go on.
    assert_eq!(fleet.order(0, "back")["code"], 0);
    fleet.until("r3 wants to", || fleet.stage(0, 3) == "wanted");
    assert_eq!(installed(&fleet, 3), digest);
    assert_eq!(fleet.order(0, "resume")["code"], 0);
    fleet.until_within("it is undone", 2, || phase(&fleet, 1) == "undone");
    assert_ne!(installed(&fleet, 3), digest);
    fleet.until("r3 serves well", || answer(send(fleet.routers[3].front)) == (200, true));
}

/// Disks that have lost or torn what is released, or can't be written: its wave fails before anybody drains, or the router
/// comes back as it was.
#[test]
fn what_a_disk_has_lost_or_torn_is_not_run() {
    let node = Node::start("127.55.9.1");
    let list = List::start("127.55.9.1", &[row("n0", &node, 1)]);
    let fleet = released("disk", 55, &list);
    let old = installed(&fleet, 0);
    let (order, digest) = prepare_release(&fleet, "configuration", reseeded, WAVES);
    let stored = fleet.routers[3].dir.join("store").join(&digest);
    let whole = std::fs::read(&stored).unwrap();
    let damage: [(&str, &dyn Fn()); 3] = [
        ("torn", &|| std::fs::write(&stored, &whole[..whole.len() / 2]).unwrap()),
        // Still a configuration, though not the one that was agreed on.
        ("flipped", &|| {
            let text =
                String::from_utf8(whole.clone()).unwrap().replace("8c1f30d27a5be965", "8c1f30d27a5be967");
            std::fs::write(&stored, text).unwrap();
        }),
        ("lost", &|| std::fs::remove_file(&stored).unwrap()),
    ];
    for (name, damage) in damage {
        damage();
        assert_eq!(fleet.order(2, &order)["code"], 0, "{name}");
        fleet.until_within("it fails", 0, || phase(&fleet, 1) == "failed");
        assert_eq!((installed(&fleet, 3), starts(&fleet)[3]), (old.clone(), 1), "{name}");
        assert_eq!(fleet.order(0, "resume")["code"], 0);
    }
    // What is to be put in place can't be, once it is out: it serves again, as it was.
    std::fs::write(&stored, &whole).unwrap();
    std::fs::create_dir(fleet.routers[3].dir.join("config.json.trial")).unwrap();
    assert_eq!(fleet.order(2, &order)["code"], 0);
    fleet.until_within("it fails", 2, || phase(&fleet, 1) == "failed");
    fleet.until("r3 serves again", || fleet.out(3) == Some(false) && fleet.stage(0, 3).is_empty());
    assert_eq!((installed(&fleet, 3), starts(&fleet)), (old, vec![1; 5]));
}
