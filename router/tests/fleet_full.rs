//! Fleets of full size, outside CI: `FLEET=300 SEEDS=1-5 cargo test --release -p tallypin-router --test fleet_full --
//! --ignored --nocapture`. A release in waves under load, with a member killed, a router stopped and a zone of members cut
//! off from the others; a halt in the middle of it, and the way back. It prints figures; what must never be fails it.
#![allow(missing_docs)]

mod fleet_rig;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fleet_rig::{config, endpoint_entry, read_response, send_request, FleetProcesses};
use tallypin_test_support::park::{List, Node};
use tallypin_test_support::relay::Link;

const COUNCIL: usize = 5;

fn number(name: &str, otherwise: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
}

/// User and system time of all routers so far, s.
fn processor(fleet: &FleetProcesses) -> f64 {
    let one = |r: &fleet_rig::RouterProcess| -> Option<f64> {
        let id = r.child.lock().unwrap().as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let words: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some((words.get(11)?.parse::<f64>().ok()? + words.get(12)?.parse::<f64>().ok()?) / 100.0)
    };
    fleet.routers.iter().filter_map(one).sum()
}

/// Packets and bytes of the loopback so far.
fn loopback() -> (f64, f64) {
    let dev = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = dev.lines().find(|l| l.trim_start().starts_with("lo:")).unwrap_or("");
    let words: Vec<f64> = line.split_whitespace().skip(1).filter_map(|w| w.parse().ok()).collect();
    (words.get(1).copied().unwrap_or(0.0), words.first().copied().unwrap_or(0.0))
}

#[test]
#[ignore = "full size: minutes, hundreds of processes"]
fn a_release_under_load_and_faults_at_full_size() {
    let n = number("FLEET", 300);
    let (first, last) = (number("SEED", 1), number("SEED", 1) + number("SEEDS", 1));
    (first..last).for_each(|seed| one(n, seed as u64));
}

fn one(n: usize, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let nodes: Vec<Node> = (0..4).map(|_| Node::start("127.60.9.3")).collect();
    let rows: Vec<String> =
        nodes.iter().enumerate().map(|(i, node)| endpoint_entry(&format!("n{i}"), node, 1)).collect();
    let list = List::start("127.60.9.3", &rows);
    let (all, zone) = ((n / 10).max(2), (n / 15).max(1));
    let begun = Instant::now();
    let bounds = format!(" out-most {all}\n out-zone {zone}");
    // A member has connections of all routers.
    let config = config(&list).replace("\"sockets\": 1024", "\"sockets\": 4096");
    let fleet = FleetProcesses::resumed_with_config("full", 60, n, COUNCIL, &bounds, &config);
    fleet.supervised.store(true, Ordering::SeqCst);
    println!(
        "seed {seed}: {n} routers, {all} may be out, {zone} of a zone; all serve after {:.1} s",
        begun.elapsed().as_secs_f64()
    );

    // Nothing going on: what agreement costs by itself.
    let (cpu, (packets, bytes), at) = (processor(&fleet), loopback(), Instant::now());
    std::thread::sleep(Duration::from_secs(10)); // A span that is measured, nothing that is waited for.
    let (took, each) = (at.elapsed().as_secs_f64(), n as f64);
    let (p, b) = loopback();
    println!(
        "  at rest, a router a second: {:.1} packets, {:.0} bytes, {:.2} ms of processor",
        (p - packets) / took / each,
        (b - bytes) / took / each,
        (processor(&fleet) - cpu) / took / each * 1000.0
    );

    let text = std::fs::read_to_string(fleet.routers[0].dir.join("config.json")).unwrap();
    let new = text.replace("8c1f30d27a5be964", "8c1f30d27a5be965");
    let digest = blake3::hash(new.as_bytes()).to_hex().to_string();
    fleet.routers.iter().for_each(|r| std::fs::write(r.dir.join("store").join(&digest), &new).unwrap());
    let plan = fleet.routers[0].dir.join("plan");
    let waves = format!(" wave r{}\n wave 5%\n wave rest\n watch 2s\n ready 60s\n enough 0", n - 1);
    std::fs::write(&plan, format!("release {{\n what configuration\n digest {digest}\n{waves}\n}}\n"))
        .unwrap();

    let over = AtomicBool::new(false);
    let (served, lost, refused, most) =
        (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    // Those that were killed or stopped here count besides what was planned.
    let faults = AtomicUsize::new(0);
    std::thread::scope(|s| {
        for client in 0..4 {
            let (fleet, over, served, lost, refused) = (&fleet, &over, &served, &lost, &refused);
            let mut rng = fastrand::Rng::with_seed(seed * 100 + client);
            s.spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    // As a balancer does: only to one that says it is ready, and to another if it does not connect.
                    let r = rng.usize(..n);
                    if fleet.is_out(r) != Some(false) {
                        continue;
                    }
                    match read_response(send_request(fleet.routers[r].front_addr)) {
                        (200, true) => served,
                        (503, true) => refused,
                        _ => lost,
                    }
                    .fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        s.spawn(|| {
            while !over.load(Ordering::SeqCst) {
                let (before, gone) = (faults.load(Ordering::SeqCst), fleet.unavailable_routers().len());
                let faults = before.max(faults.load(Ordering::SeqCst));
                most.fetch_max(gone.saturating_sub(faults), Ordering::SeqCst);
            }
        });
        let tried = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let at = Instant::now();
            assert_eq!(fleet.run_command(1, &format!("release {}", plan.display()))["code"], 0);
            let release = |at: usize| fleet.run_command(at, "status")["release"].clone();
            fleet.wait_until("the last wave", || release(1)["wave"] == 3);
            println!("  two waves after {:.1} s", at.elapsed().as_secs_f64());
            // Faults, one after the other: a member is killed, a router is stopped, two members are cut off.
            let member = rng.usize(2..COUNCIL);
            faults.fetch_add(1, Ordering::SeqCst);
            fleet.kill(member);
            fleet.start(member);
            let stopped = rng.usize(COUNCIL..n - 1);
            fleet.wait_until("one to stop", || fleet.is_out(stopped) == Some(false));
            faults.fetch_add(1, Ordering::SeqCst);
            fleet.signal(stopped, "-STOP");
            let part = |fleet: &FleetProcesses| fleet.log(member).matches("joined the council").count();
            fleet.wait_until("the killed member takes part again", || part(&fleet) >= fleet.starts(member));
            println!("  a member killed, and part of it again");
            fleet.wait_until("it serves", || fleet.is_out(member) == Some(false));
            faults.fetch_sub(1, Ordering::SeqCst);
            let halted = Instant::now();
            let said = fleet.run_command(1, "halt measured");
            println!(
                "  halt, one router stopped: {:.2} s, code {}",
                halted.elapsed().as_secs_f64(),
                said["code"]
            );
            assert_eq!(fleet.run_command(0, "resume")["code"], 0);
            fleet.signal(stopped, "-CONT");
            fleet.wait_until("the stopped one serves", || fleet.is_out(stopped) == Some(false));
            faults.fetch_sub(1, Ordering::SeqCst);
            fleet.set_links(&[3, 4], &[0, 1, 2], Link::Cut);
            let halted = Instant::now();
            let said = fleet.run_command(0, "halt measured again");
            println!(
                "  halt, two of five members cut off: {:.2} s, code {}",
                halted.elapsed().as_secs_f64(),
                said["code"]
            );
            fleet.set_links(&[3, 4], &[0, 1, 2], Link::Whole);
            assert_eq!(fleet.run_command(0, "resume")["code"], 0);
            fleet.wait_until("it is done", || release(1)["phase"] == "done");
            println!("  released after {:.1} s in all", at.elapsed().as_secs_f64());
            let at = Instant::now();
            assert_eq!(fleet.run_command(1, "back")["code"], 0);
            fleet.wait_until("it is undone", || release(1)["phase"] == "undone");
            println!("  undone after {:.1} s", at.elapsed().as_secs_f64());
        }));
        over.store(true, Ordering::SeqCst);
        tried.unwrap();
    });
    let get = |of: &AtomicUsize| of.load(Ordering::SeqCst);
    println!(
        "  most out beside those killed or stopped at the time: {} of {all}; requests: {} served, {} refused, {} lost",
        get(&most),
        get(&served),
        get(&refused),
        get(&lost)
    );
    assert!(get(&most) <= all, "more out than may be");
    assert!(
        (0..n).all(|r| std::fs::read_to_string(fleet.routers[r].dir.join("config.json")).unwrap() == text)
    );
}

/// What agreement costs a request: by turns through a member of the council, a router that is none, and one whose settings
/// have no section `fleet`, each alone with a client that sends one after the other.
#[test]
#[ignore = "full size: minutes, hundreds of processes"]
fn what_agreement_costs_a_request() {
    let n = number("FLEET", 300);
    let node = Node::start("127.60.9.3");
    let list = List::start("127.60.9.3", &[endpoint_entry("n0", &node, 1)]);
    let config = config(&list).replace("\"sockets\": 1024", "\"sockets\": 4096");
    let fleet = FleetProcesses::resumed_with_config(
        "cost",
        60,
        n,
        COUNCIL,
        &format!(" out-most {}\n out-zone 1", (n / 10).max(1)),
        &config,
    );
    let without = n - 1;
    let path = fleet.routers[without].dir.join("t.conf");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &text[..text.find("fleet {\n").unwrap()]).unwrap();
    fleet.kill(without);
    fleet.start(without);
    fleet.wait_until("it serves", || {
        read_response(send_request(fleet.routers[without].front_addr)) == (200, true)
    });
    let kinds = [("member", 0), ("router", n - 2), ("without", without)];
    let mut all: [Vec<u64>; 3] = Default::default();
    for round in 0..number("ROUNDS", 20) {
        for k in 0..3 {
            // Another one begins each time.
            let k = (k + round) % 3;
            let front = fleet.routers[kinds[k].1].front_addr;
            for _ in 0..200 {
                let at = Instant::now();
                assert_eq!(read_response(send_request(front)), (200, true));
                all[k].push(at.elapsed().as_micros() as u64);
            }
        }
    }
    for ((kind, _), mut times) in kinds.into_iter().zip(all) {
        times.sort_unstable();
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!(
            "{kind}, of {n}: {} requests, median {} us, 99% {} us, most {} us",
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}
