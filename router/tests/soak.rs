//! Shutdown of the router as a process: it gets SIGTERM under load and faults and SIGKILL at the earliest moment,
//! and is judged by what clients and replicas observed.
#![allow(missing_docs)]

use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tallypin_test_support::fault_injection::{Library, SocketFaults};
use tallypin_test_support::seeds;
use tallypin_test_support::shutdown_runs::{self, Report, Scenario};

fn run(ip: &str, scenario: &Scenario) -> Report {
    shutdown_runs::run_scenario(&seeds::program(env!("CARGO_BIN_EXE_tallypin")), ip, scenario)
        .expect("the scenario can be run")
}

/// Fails with the histories of the requests that violated rules.
fn assert_no_violations(report: &Report) {
    let violations: Vec<String> = report.violations.iter().map(|v| v.to_string()).collect();
    let shown = violations.iter().take(3).cloned().collect::<Vec<_>>().join("\n");
    assert!(violations.is_empty(), "{} violations; the first:\n{shown}", violations.len());
}

/// The incident of 2026-12-02: in the last step of a shutdown, the router rejected requests that were hanging at a
/// replica although they may have run.
#[test]
fn shutdown_does_not_reject_requests_that_hang_at_a_replica() {
    let report = run("127.2.9.1", &Scenario::hanging_replicas(1));
    assert!(report.cancelled_late > 5, "too few attempts were cancelled late: {report:?}");
    assert_no_violations(&report);
}

/// Clients that write their requests slowly into the shutdown: the router once forwarded those that became complete
/// too late, and the kill cut their streams.
#[test]
fn shutdown_does_not_begin_streams_that_the_kill_cuts() {
    let report = run("127.2.9.3", &Scenario::slow_writers(1));
    assert!(report.statuses.contains_key(&503), "no request was completed late: {report:?}");
    assert_no_violations(&report);
}

/// review/8: the same clients while a replica becomes slower than any recent stream. The router once forwarded requests whose
/// answers could have ended in time, and the kill cut their streams.
#[test]
fn shutdown_does_not_begin_streams_of_a_slow_replica_that_the_kill_cuts() {
    let report = run("127.2.9.4", &Scenario::slow_replica(1));
    assert_no_violations(&report);
    assert!(report.statuses.contains_key(&500), "no late answer was slow: {report:?}");
}

/// Number of runs in parallel.
const PARALLEL_RUNS: u64 = 4;

/// Runs the random scenarios of these seeds, each modified by `adjust`, and prints each result; returns the number
/// of runs with violations.
fn count_violating_runs(seeds: Range<u64>, adjust: impl Fn(&mut Scenario) + Sync) -> usize {
    let violating_runs = AtomicUsize::new(0);
    seeds::run_in_parallel(seeds, PARALLEL_RUNS, |lane, seed| {
        let mut scenario = Scenario::random(seed);
        adjust(&mut scenario);
        let report = run(&format!("127.2.10.{lane}"), &scenario);
        print_report(seed, &report);
        violating_runs.fetch_add(usize::from(!report.violations.is_empty()), Ordering::SeqCst);
    });
    violating_runs.into_inner()
}

fn print_report(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} requests, {} received, {} cancelled late, {} open at the kill, status codes {:?}, harness delay {:?}{}",
        report.requests,
        report.attempts_received,
        report.cancelled_late,
        report.open_at_kill,
        report.statuses,
        report.max_harness_delay,
        if report.timing_checked { "" } else { ", times not checked" },
    );
    for violation in report.violations.iter().take(3) {
        // tools/planted-defects reads the name of the violated rule after `breaks:`.
        println!("seed {seed}, {} breaks: {violation}", report.violations.len());
    }
}

#[test]
fn random_shutdowns_violate_no_rule() {
    assert_eq!(count_violating_runs(1..25, |_| {}), 0, "runs in which a rule was violated");
}

/// Number of writes to replicas, per thousand, before which the router is paused.
const PAUSES_PER_THOUSAND_WRITES: u32 = 3;
/// Time within which the wall clock is stepped, in some runs during the shutdown.
const STEP_WITHIN: Duration = Duration::from_secs(2);

/// Injects failing system calls, pauses before writes, and a step of the wall clock.
fn with_faults(library: &Path) -> impl Fn(&mut Scenario) + Sync {
    let library = library.to_path_buf();
    move |scenario| {
        let faults = SocketFaults::for_seed(&library, scenario.seed, STEP_WITHIN);
        scenario.socket_faults = Some(SocketFaults { pauses: PAUSES_PER_THOUSAND_WRITES, ..faults });
    }
}

/// Limits reads and writes to one byte each.
fn with_one_byte_transfers(library: &Path) -> impl Fn(&mut Scenario) + Sync {
    let socket_faults = SocketFaults { partial: 1000, max_partial_bytes: 1, ..SocketFaults::none(library) };
    move |scenario| {
        scenario.socket_faults = Some(socket_faults.clone());
        // Each byte needs a system call, so more than a few parallel requests would need more than one processor.
        (scenario.clients, scenario.idle_clients, scenario.max_sent_ahead) = (2, 0, 0);
    }
}

#[test]
fn random_shutdowns_under_failing_system_calls_violate_no_rule() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    assert_eq!(count_violating_runs(101..117, with_faults(&library)), 0, "runs in which a rule was violated");
}

#[test]
fn random_shutdowns_with_one_byte_transfers_violate_no_rule() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    assert_eq!(
        count_violating_runs(201..205, with_one_byte_transfers(&library)),
        0,
        "runs in which a rule was violated"
    );
}

/// Seed 104 of the runs above once gave a false violation: a replica was sent a deadline of 1.199 s by a router
/// that had received 1.2 s about 0.22 s before. The router had been paused before a write and, during that pause,
/// by a signal; it read the request when the second pause ended. No program can know how long a request stayed
/// unread, but the check allowed for only one pause of 0.15 s.
#[test]
fn a_request_unread_during_consecutive_pauses_is_no_violation() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let mut scenario = Scenario::hanging_replicas(2);
    scenario.socket_faults = Some(SocketFaults { pauses: 1000, ..SocketFaults::none(&library) });
    // The first write after the SIGSTOP pause is paused too: pauses before writes come at most once a second, the
    // first one at the first request.
    scenario.pauses = vec![(Duration::from_millis(550), Duration::from_millis(300))];
    scenario.replicas.iter_mut().for_each(|replica| replica.hangs_after = None);
    let report = run("127.2.9.2", &scenario);
    assert!(report.longest_pause > Duration::from_millis(280), "the two pauses did not merge: {report:?}");
    assert!(report.timing_checked, "times were not checked: {report:?}");
    assert_no_violations(&report);
}

/// `TALLYPIN_SOAK=100..150 cargo test --release -p tallypin-router --test soak -- --ignored --nocapture`
#[test]
#[ignore = "runs for minutes, depending on the requested seeds"]
fn requested_random_shutdowns_violate_no_rule() {
    let seeds = seeds::requested();
    let without_faults = count_violating_runs(seeds.clone(), |_| {});
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    let with_socket_faults = count_violating_runs(seeds, with_faults(&library));
    println!("runs in which a rule was violated: {without_faults} without socket faults, {with_socket_faults} with them");
    assert_eq!((without_faults, with_socket_faults), (0, 0), "runs in which a rule was violated");
}
