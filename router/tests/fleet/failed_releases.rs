//! Releases that do not start, give bad answers, or are damaged on disk.

use std::time::Duration;

use tallypin_test_support::mock_services::{MockEndpointList, MockReplica, ReplicaBehaviour};

use crate::fleet_processes::{endpoint_entry, read_response, send_request};
use crate::release_setup::{
    installed_digest, prepare_release, release_phase, start_counts, supervised_fleet, with_other_seed,
    TWO_WAVES,
};

/// A router that cannot start on the release returns to its former configuration by itself, and the release is rolled back.
#[test]
fn a_release_that_does_not_start_is_rolled_back_after_the_first_router() {
    let replica = MockReplica::start("127.53.9.1");
    let list = MockEndpointList::start("127.53.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("crash", 53, &list);
    let old = installed_digest(&fleet, 0);
    // The configuration is valid, but the program exits at once: its address for peers is in use.
    let socket = std::net::UdpSocket::bind("127.53.9.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    let crashes = |_: usize, text: &str| {
        let text =
            text.replace("\"peers\": [],", &format!("\"peers\": [\"{addr}\"], \"peer_listen\": \"{addr}\","));
        text.replace("\"Peers\": false", "\"Peers\": true")
    };
    let (release_command, digest) =
        prepare_release(&fleet, "configuration", crashes, &format!("{TWO_WAVES}\n on-failure back"));
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    fleet.wait_until_with_max_out("r3 has crashed several times and the release is rolled back", 2, || {
        release_phase(&fleet, 1) == "undone"
    });
    assert!(start_counts(&fleet)[3] > 3, "{:?}", start_counts(&fleet));
    assert_ne!(digest, old);
    assert!((0..5).all(|r| installed_digest(&fleet, r) == old));
    assert_eq!([0, 1, 2, 4].map(|r| start_counts(&fleet)[r]), [1; 4], "no other router restarts");
    fleet.wait_until("all routers are in service", || {
        fleet.routers_out().is_empty() && fleet.is_out(3) == Some(false)
    });
}

/// A release that starts but answers 500 is halted by a comparison with the answers of the other routers.
#[test]
fn a_release_with_failing_answers_is_halted_after_the_first_router() {
    release_is_halted_by_its_answers("bad", 54, ReplicaBehaviour::RespondWith500);
}

/// A release that passes its health checks but is slow under load is halted in the same way.
#[test]
fn a_release_that_is_slow_under_load_is_halted_after_the_first_router() {
    release_is_halted_by_its_answers("slow", 59, ReplicaBehaviour::RespondAfter(Duration::from_millis(2500)));
}

fn release_is_halted_by_its_answers(test: &str, net: u8, behavior: ReplicaBehaviour) {
    let ip = format!("127.{net}.9.1");
    let (good, bad) = (MockReplica::start(&ip), MockReplica::start(&ip));
    bad.set_behaviour(behavior);
    let list = MockEndpointList::start(&ip, &[endpoint_entry("n0", &good, 1)]);
    let bad_list = MockEndpointList::start(&ip, &[endpoint_entry("n0", &bad, 1)]);
    let fleet = supervised_fleet(test, net, &list);
    let with_bad_list =
        |_: usize, text: &str| text.replace(&list.addr.to_string(), &bad_list.addr.to_string());
    let plan = " wave r3\n wave rest\n watch 300ms\n ready 20s\n enough 20";
    let (release_command, digest) = prepare_release(&fleet, "configuration", with_bad_list, plan);
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    let is_over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|s| {
        // Ten more clients for the router with the release, since slow answers are few.
        for r in (0..5).chain([3; 10]) {
            let (fleet, is_over) = (&fleet, &is_over);
            s.spawn(move || {
                while !is_over.load(std::sync::atomic::Ordering::SeqCst) {
                    read_response(send_request(fleet.routers[r].front_addr));
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            fleet.wait_until_with_max_out("the release fails by its answers", 2, || {
                release_phase(&fleet, 1) == "failed"
            });
        }));
        // Also after a failure, since the clients would run for ever.
        is_over.store(true, std::sync::atomic::Ordering::SeqCst);
        result.unwrap();
    });
    let reply = fleet.run_command(4, "status");
    assert!(reply["halted"].as_str().unwrap().contains("where it is released"), "{reply}");
    assert_eq!([0, 1, 2, 4].map(|r| start_counts(&fleet)[r]), [1; 4], "no other router restarts");
    assert_eq!(installed_digest(&fleet, 3), digest);
    // The roll-back waits until an operator resumes the fleet.
    assert_eq!(fleet.run_command(0, "back")["code"], 0);
    fleet.wait_until("r3 has requested to drain", || fleet.stage(0, 3) == "wanted");
    assert_eq!(installed_digest(&fleet, 3), digest);
    assert_eq!(fleet.run_command(0, "resume")["code"], 0);
    fleet.wait_until_with_max_out("the release is rolled back", 2, || release_phase(&fleet, 1) == "undone");
    assert_ne!(installed_digest(&fleet, 3), digest);
    fleet.wait_until("r3 serves requests again", || {
        read_response(send_request(fleet.routers[3].front_addr)) == (200, true)
    });
}

/// If the released file is missing or damaged in the store, its wave fails before a router drains. If the file cannot be
/// installed, the router returns to service unchanged.
#[test]
fn a_release_that_is_missing_or_damaged_on_disk_is_not_installed() {
    let replica = MockReplica::start("127.55.9.1");
    let list = MockEndpointList::start("127.55.9.1", &[endpoint_entry("n0", &replica, 1)]);
    let fleet = supervised_fleet("disk", 55, &list);
    let old = installed_digest(&fleet, 0);
    let (release_command, digest) = prepare_release(&fleet, "configuration", with_other_seed, TWO_WAVES);
    let stored = fleet.routers[3].dir.join("store").join(&digest);
    let intact = std::fs::read(&stored).unwrap();
    let damage: [(&str, &dyn Fn()); 3] = [
        ("torn", &|| std::fs::write(&stored, &intact[..intact.len() / 2]).unwrap()),
        // A valid configuration, but not the one of the digest.
        ("flipped", &|| {
            let text =
                String::from_utf8(intact.clone()).unwrap().replace("8c1f30d27a5be965", "8c1f30d27a5be967");
            std::fs::write(&stored, text).unwrap();
        }),
        ("lost", &|| std::fs::remove_file(&stored).unwrap()),
    ];
    for (name, damage) in damage {
        damage();
        assert_eq!(fleet.run_command(2, &release_command)["code"], 0, "{name}");
        fleet.wait_until_with_max_out("the release fails", 0, || release_phase(&fleet, 1) == "failed");
        assert_eq!((installed_digest(&fleet, 3), start_counts(&fleet)[3]), (old.clone(), 1), "{name}");
        assert_eq!(fleet.run_command(0, "resume")["code"], 0);
    }
    // The installation fails after the drain, and the router returns to service with its former configuration.
    std::fs::write(&stored, &intact).unwrap();
    std::fs::create_dir(fleet.routers[3].dir.join("config.json.trial")).unwrap();
    assert_eq!(fleet.run_command(2, &release_command)["code"], 0);
    fleet.wait_until_with_max_out("the release fails", 2, || release_phase(&fleet, 1) == "failed");
    fleet.wait_until("r3 is in service again", || {
        fleet.is_out(3) == Some(false) && fleet.stage(0, 3).is_empty()
    });
    assert_eq!((installed_digest(&fleet, 3), start_counts(&fleet)), (old, vec![1; 5]));
}
