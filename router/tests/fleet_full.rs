//! Tests with fleets of full size, outside CI: `FLEET=300 SEED=1 SEEDS=5 cargo test --release -p tallypin-router --test
//! fleet_full -- --ignored --nocapture`. `FLEET` is the number of routers, `SEED` the first seed and `SEEDS` the number of
//! seeds. A release runs in waves under load while a member is killed, a router is stopped, two members are cut off and
//! the fleet is halted; then it is rolled back. The tests print measurements.
#![allow(missing_docs)]

mod fleet_processes;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fleet_processes::{config, endpoint_entry, read_response, send_request, FleetProcesses};
use tallypin_test_support::mock_services::{MockEndpointList, MockReplica};
use tallypin_test_support::relay::Link;

const COUNCIL: usize = 5;

/// Returns a number from the environment.
fn env_number(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Returns the user and system time that all routers have used so far, in seconds.
fn cpu_seconds(fleet: &FleetProcesses) -> f64 {
    let router_seconds = |r: &fleet_processes::RouterProcess| -> Option<f64> {
        let id = r.child.lock().unwrap().as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some((fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?) / 100.0)
    };
    fleet.routers.iter().filter_map(router_seconds).sum()
}

/// Returns the packets and bytes that the loopback interface has received so far.
fn loopback_traffic() -> (f64, f64) {
    let dev = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = dev.lines().find(|l| l.trim_start().starts_with("lo:")).unwrap_or("");
    let fields: Vec<f64> = line.split_whitespace().skip(1).filter_map(|w| w.parse().ok()).collect();
    (fields.get(1).copied().unwrap_or(0.0), fields.first().copied().unwrap_or(0.0))
}

#[test]
#[ignore = "full size: minutes, hundreds of processes"]
fn a_release_keeps_to_the_limit_under_load_and_faults_at_full_size() {
    let n = env_number("FLEET", 300);
    let (first, last) = (env_number("SEED", 1), env_number("SEED", 1) + env_number("SEEDS", 1));
    (first..last).for_each(|seed| run_release(n, seed as u64));
}

/// Runs a release with faults that the seed picks in a fleet of `n` routers.
fn run_release(n: usize, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let replicas: Vec<MockReplica> = (0..4).map(|_| MockReplica::start("127.60.9.3")).collect();
    let entries: Vec<String> = replicas
        .iter()
        .enumerate()
        .map(|(i, replica)| endpoint_entry(&format!("n{i}"), replica, 1))
        .collect();
    let list = MockEndpointList::start("127.60.9.3", &entries);
    let (max_out, max_out_in_zone) = ((n / 10).max(2), (n / 15).max(1));
    let started_at = Instant::now();
    let limits = format!(" out-most {max_out}\n out-zone {max_out_in_zone}");
    // A member of the council holds a connection of each router.
    let config = config(&list).replace("\"sockets\": 1024", "\"sockets\": 4096");
    let fleet = FleetProcesses::resumed_with_config("full", 60, n, COUNCIL, &limits, &config);
    fleet.supervised.store(true, Ordering::SeqCst);
    println!(
        "seed {seed}: {n} routers, at most {max_out} out of service, {max_out_in_zone} in a zone; all in service after {:.1} s",
        started_at.elapsed().as_secs_f64()
    );

    // Measures the cost of agreement in an idle fleet.
    let (cpu, (packets, bytes), measured_from) = (cpu_seconds(&fleet), loopback_traffic(), Instant::now());
    std::thread::sleep(Duration::from_secs(10)); // The measured period.
    let (duration_s, router_count) = (measured_from.elapsed().as_secs_f64(), n as f64);
    let (packets_after, bytes_after) = loopback_traffic();
    println!(
        "  idle fleet, per router and second: {:.1} packets, {:.0} bytes, {:.2} ms of processor time",
        (packets_after - packets) / duration_s / router_count,
        (bytes_after - bytes) / duration_s / router_count,
        (cpu_seconds(&fleet) - cpu) / duration_s / router_count * 1000.0
    );

    let old = std::fs::read_to_string(fleet.routers[0].dir.join("config.json")).unwrap();
    let new = old.replace("8c1f30d27a5be964", "8c1f30d27a5be965");
    let digest = blake3::hash(new.as_bytes()).to_hex().to_string();
    fleet.routers.iter().for_each(|r| std::fs::write(r.dir.join("store").join(&digest), &new).unwrap());
    let plan = fleet.routers[0].dir.join("plan");
    let waves = format!(" wave r{}\n wave 5%\n wave rest\n watch 2s\n ready 60s\n enough 0", n - 1);
    std::fs::write(&plan, format!("release {{\n what configuration\n digest {digest}\n{waves}\n}}\n"))
        .unwrap();

    let is_over = AtomicBool::new(false);
    let (served, lost, refused, most_out) =
        (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    // Number of routers that the test has killed or stopped. They may be out in addition to the limit.
    let faults = AtomicUsize::new(0);
    std::thread::scope(|s| {
        for client in 0..4 {
            let (fleet, is_over, served, lost, refused) = (&fleet, &is_over, &served, &lost, &refused);
            let mut rng = fastrand::Rng::with_seed(seed * 100 + client);
            s.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    // Sends only to routers that report ready, as a balancer does.
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
            while !is_over.load(Ordering::SeqCst) {
                let (faults_before, unavailable) =
                    (faults.load(Ordering::SeqCst), fleet.unavailable_routers().len());
                let faults = faults_before.max(faults.load(Ordering::SeqCst));
                most_out.fetch_max(unavailable.saturating_sub(faults), Ordering::SeqCst);
            }
        });
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let release_started_at = Instant::now();
            assert_eq!(fleet.run_command(1, &format!("release {}", plan.display()))["code"], 0);
            let release = |queried: usize| fleet.run_command(queried, "status")["release"].clone();
            fleet.wait_until("the last wave runs", || release(1)["wave"] == 3);
            println!("  two waves complete after {:.1} s", release_started_at.elapsed().as_secs_f64());
            // Faults, one after the other: a member is killed, a router is stopped, two members are cut off.
            let member = rng.usize(2..COUNCIL);
            faults.fetch_add(1, Ordering::SeqCst);
            fleet.kill(member);
            fleet.start(member);
            let stopped = rng.usize(COUNCIL..n - 1);
            fleet.wait_until("the router to stop is in service", || fleet.is_out(stopped) == Some(false));
            faults.fetch_add(1, Ordering::SeqCst);
            fleet.signal(stopped, "-STOP");
            let joined = |fleet: &FleetProcesses| fleet.log(member).matches("joined the council").count();
            fleet.wait_until("the killed member has rejoined", || joined(&fleet) >= fleet.starts(member));
            println!("  a member was killed and has rejoined");
            fleet.wait_until("the killed member is in service", || fleet.is_out(member) == Some(false));
            faults.fetch_sub(1, Ordering::SeqCst);
            let halt_sent_at = Instant::now();
            let reply = fleet.run_command(1, "halt measured");
            println!(
                "  halt with one router stopped: {:.2} s, exit code {}",
                halt_sent_at.elapsed().as_secs_f64(),
                reply["code"]
            );
            assert_eq!(fleet.run_command(0, "resume")["code"], 0);
            fleet.signal(stopped, "-CONT");
            fleet.wait_until("the stopped router is in service", || fleet.is_out(stopped) == Some(false));
            faults.fetch_sub(1, Ordering::SeqCst);
            fleet.set_links(&[3, 4], &[0, 1, 2], Link::Cut);
            let halt_sent_at = Instant::now();
            let reply = fleet.run_command(0, "halt measured again");
            println!(
                "  halt with two of five members cut off: {:.2} s, exit code {}",
                halt_sent_at.elapsed().as_secs_f64(),
                reply["code"]
            );
            fleet.set_links(&[3, 4], &[0, 1, 2], Link::Open);
            assert_eq!(fleet.run_command(0, "resume")["code"], 0);
            fleet.wait_until("the release is complete", || release(1)["phase"] == "done");
            println!("  release complete after {:.1} s in all", release_started_at.elapsed().as_secs_f64());
            let roll_back_started_at = Instant::now();
            assert_eq!(fleet.run_command(1, "back")["code"], 0);
            fleet.wait_until("the release is rolled back", || release(1)["phase"] == "undone");
            println!("  roll-back complete after {:.1} s", roll_back_started_at.elapsed().as_secs_f64());
        }));
        is_over.store(true, Ordering::SeqCst);
        result.unwrap();
    });
    let get = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    println!(
        "  most routers out besides those killed or stopped: {} of {max_out}; requests: {} served, {} refused, {} lost",
        get(&most_out),
        get(&served),
        get(&refused),
        get(&lost)
    );
    assert!(get(&most_out) <= max_out, "more routers are out of service than the limit allows");
    assert!((0..n).all(|r| std::fs::read_to_string(fleet.routers[r].dir.join("config.json")).unwrap() == old));
}

/// Measures what agreement costs a request. One client sends requests one after the other, by turns through a council
/// member, a router outside the council and a router whose settings have no section `fleet`.
#[test]
#[ignore = "full size: minutes, hundreds of processes"]
fn measures_request_latency_with_and_without_a_fleet_section() {
    let n = env_number("FLEET", 300);
    let replica = MockReplica::start("127.60.9.3");
    let list = MockEndpointList::start("127.60.9.3", &[endpoint_entry("n0", &replica, 1)]);
    let config = config(&list).replace("\"sockets\": 1024", "\"sockets\": 4096");
    let fleet = FleetProcesses::resumed_with_config(
        "cost",
        60,
        n,
        COUNCIL,
        &format!(" out-most {}\n out-zone 1", (n / 10).max(1)),
        &config,
    );
    let without_fleet = n - 1;
    let path = fleet.routers[without_fleet].dir.join("t.conf");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &text[..text.find("fleet {\n").unwrap()]).unwrap();
    fleet.kill(without_fleet);
    fleet.start(without_fleet);
    fleet.wait_until("the router without a fleet section serves requests", || {
        read_response(send_request(fleet.routers[without_fleet].front_addr)) == (200, true)
    });
    let targets = [("member", 0), ("router", n - 2), ("without", without_fleet)];
    let mut times_us: [Vec<u64>; 3] = Default::default();
    for round in 0..env_number("ROUNDS", 20) {
        for turn in 0..3 {
            // Each round starts with another target.
            let target = (turn + round) % 3;
            let front_addr = fleet.routers[targets[target].1].front_addr;
            for _ in 0..200 {
                let sent_at = Instant::now();
                assert_eq!(read_response(send_request(front_addr)), (200, true));
                times_us[target].push(sent_at.elapsed().as_micros() as u64);
            }
        }
    }
    for ((label, _), mut times) in targets.into_iter().zip(times_us) {
        times.sort_unstable();
        let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!(
            "{label}, fleet of {n}: {} requests, median {} us, 99% {} us, maximum {} us",
            times.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
}
