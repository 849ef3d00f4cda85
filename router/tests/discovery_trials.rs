//! Router processes before a discovery service that they reach with difficulty, while a replica drains.
#![allow(missing_docs)]

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tallypin_test_support::list_trial::{self, Plan, Report};
use tallypin_test_support::seeds;
use tallypin_test_support::shim::{Library, SocketFaults};

fn play(ip: &str, plan: &Plan) -> Report {
    list_trial::play(&seeds::program(env!("CARGO_BIN_EXE_tallypin")), ip, plan)
        .expect("the trial can be played")
}

fn tell(plan: &Plan, report: &Report) {
    println!(
        "seed {}: {} routers, {} requests, {} calls, {} of them failed, last notified {:?}, late from {:?}, lateness {:?}, late: {}",
        plan.seed, plan.routers, report.received, report.calls, report.failed_calls,
        report.last_notified(), report.late_from, report.lateness, report.late.len(),
    );
}

/// Plays a plan in which more than so many requests come to replicas; fails with what the first router at fault saw.
fn assert_kept(ip: &str, plan: &Plan, least: usize) {
    let report = play(ip, plan);
    tell(plan, &report);
    assert!(report.received > least, "too little was played");
    let first = report.late.first().map(|late| late.to_string()).unwrap_or_default();
    assert!(
        report.late.is_empty(),
        "{} requests sent to a draining replica late; the first:\n{first}",
        report.late.len()
    );
}

/// The incident of 2026-12-03.
///
/// Seen: a router sent to a replica 0.87 s after it counted as notified that the replica drains; 0.5 s are allowed.
/// How it came about: most of a fleet was restarted beside a release. Discovery had no room for all calls at once; the
/// router called late, was refused, waited, and had its list 6.7 s after the change.
/// Cause: the first call was spread over 30% of the polling interval, and each refusal made the wait for the next call
/// longer, whatever was left of the 6 s. Who had been refused most often called least often.
/// Proof: the log of a router at fault (first call 2.8 s after its start, refused within 2 ms, next call 0.87 s later)
/// beside discovery's, which answered 30 calls of others meanwhile; and this test, which plays nothing but refusals.
#[test]
fn routers_whose_calls_are_refused_are_notified_of_a_drain_in_time() {
    assert_kept("127.2.12.1", &Plan::refused_at_start(1), 500);
}

/// Seen: of 50 drawn series of changes one sent to a draining replica 0.25 s too late (seed 3039).
/// How it came about: a router that had been down while the replica began to drain called 1.9 s after its start, and got half
/// a list twice.
/// Cause: the 6 s of whatever a router has missed were counted from its start, as if it had known the list until then; and the
/// first call was spread over 2 s in fleets of any size, 5 routers here.
/// Proof: its log, started 3.4 s after the change, calls 1.9, 3.1 and 4.7 s after its start.
#[test]
fn a_list_that_changed_while_routers_were_down_is_heard_in_time() {
    assert_kept("127.2.12.2", &Plan::torn_after_restart(1), 500);
}

/// Seen: of 24 drawn trials with pushed lists, one sent to a draining replica 0.2 s too late (seed 4018).
/// How it came about: the router had just been started again. It took the request 0.7 ms after it had called its agent, and
/// 1.4 ms before the agent's list came.
/// Cause: a router listened first and called its agent then; until that had answered it went by the list of its
/// configuration, though what the agent has counts from the first moment of a process.
/// Proof: its log, "listens", then "watch opened"; the request at 5.5215 s, the call from 5.5208 to 5.5229 s.
#[test]
fn a_router_that_starts_goes_by_the_list_of_its_agent_from_its_first_request_on() {
    assert_kept("127.2.12.3", &Plan::pushed_restart(1), 300);
}

/// So many trials run side by side.
const AT_ONCE: u64 = 3;

/// Plays the plans of these seeds on addresses of this net, which no other test uses, and tells of each; how many broke the
/// rule, and how many could not be judged.
fn soak(net: u8, seeds: Range<u64>, plan: impl Fn(u64) -> Plan + Sync) -> (usize, usize) {
    let (broken, unjudged) = (AtomicUsize::new(0), AtomicUsize::new(0));
    seeds::play_side_by_side(seeds, AT_ONCE, |lane, seed| {
        let plan = plan(seed);
        let report = play(&format!("127.2.{net}.{lane}"), &plan);
        tell(&plan, &report);
        if !report.on_time() {
            unjudged.fetch_add(1, Ordering::SeqCst);
        } else if let Some(late) = report.late.first() {
            println!("seed {seed}: {plan:?}\n{late}");
            broken.fetch_add(1, Ordering::SeqCst);
        }
    });
    (broken.into_inner(), unjudged.into_inner())
}

/// Plays the plans of the seeds that are asked for.
fn assert_asked_for_kept(net: u8, plan: impl Fn(u64) -> Plan + Sync) {
    let (broken, unjudged) = soak(net, seeds::asked_for(), plan);
    println!("trials in which the rule was broken: {broken}; not judged: {unjudged}");
    assert_eq!(broken, 0, "trials in which a draining replica was sent to");
}

/// Drawn troubles: discovery down, full, hanging, silent, its answers torn; routers that are killed and start again.
#[test]
fn drawn_troubles_leave_no_router_without_notice() {
    let (broken, unjudged) = soak(13, 1..10, Plan::drawn);
    assert_eq!(broken, 0, "trials in which a draining replica was sent to");
    assert!(unjudged < 9, "the machine was too busy for any verdict");
}

/// `TALLYPIN_SOAK=100..150 cargo test --release -p tallypin-router --test discovery_trials drawn -- --ignored --nocapture`
#[test]
#[ignore = "as many trials as asked for: minutes"]
fn drawn_troubles_of_these_seeds_leave_no_router_without_notice() {
    assert_asked_for_kept(15, Plan::drawn);
}

/// Series of drains, removals, restarts by signals, and new configurations that move discovery, beside drawn troubles.
#[test]
fn drawn_series_of_changes_and_signals_leave_no_router_without_notice() {
    let (broken, unjudged) = soak(19, 1..7, Plan::drawn_series);
    assert_eq!(broken, 0, "trials in which a draining replica was sent to");
    assert!(unjudged < 6, "the machine was too busy for any verdict");
}

#[test]
#[ignore = "as many trials as asked for: minutes"]
fn drawn_series_of_these_seeds_leave_no_router_without_notice() {
    assert_asked_for_kept(16, Plan::drawn_series);
}

/// Lists that are pushed to an agent of each router, which count as notification as soon as the agent has them.
#[test]
#[ignore = "as many trials as asked for: minutes"]
fn drawn_pushed_lists_of_these_seeds_leave_no_router_without_notice() {
    assert_asked_for_kept(20, Plan::drawn_pushed);
}

/// The wall clock is stepped within this time.
const STEP_WITHIN: Duration = Duration::from_secs(6);

/// The same while system calls of the routers fail or carry a part only, and their wall clock is stepped.
#[test]
#[ignore = "as many trials as asked for: minutes"]
fn drawn_series_under_failing_system_calls_leave_no_router_without_notice() {
    let dir = tempfile::tempdir().unwrap();
    let library = Library::Sockets.compile(dir.path()).expect("a C compiler");
    assert_asked_for_kept(17, |seed| Plan {
        faults: Some(SocketFaults::drawn(&library, seed, STEP_WITHIN)),
        ..Plan::drawn_series(seed)
    });
}

#[test]
#[ignore = "as many trials as asked for: minutes"]
fn crowded_restarts_of_these_seeds_leave_no_router_without_notice() {
    assert_asked_for_kept(18, Plan::crowded_restart);
}
