//! Checks how many requests all routers of a large fleet together send to replicas that have just started.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tallypin::api::*;
use tallypin::name_hash;
use tallypin_router::core::{Core, Instruction, NewRequest};

const MS: Nanos = 1_000_000;
const START: Nanos = 1_700_000_000 * SECOND;
const REPLICAS: u32 = 20;
/// Number of replicas that restart.
const RESTARTED_NODES: u32 = 5;
/// Window of the overload rule in seconds.
const OVERLOAD_WINDOW_S: f64 = 2.0;
/// Multiple of its capacity that a replica can bear.
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Requests per second, half of the capacity of all replicas.
const REQUESTS_PER_S: f64 = 100.0;
const WARM_UP_S: f64 = 10.0;
const INITIAL_CAPACITY_SHARE: f64 = 0.2;

fn row(n: u32, last_start: Nanos) -> EndpointEntry {
    let replica = name_hash::replica_id(&format!("s-{n}"));
    EndpointEntry { replica, state: EndpointState::Ready, started_at: last_start, ..EndpointEntry::default() }
}

fn settings(cores: u32, own_index: u32) -> Settings {
    Settings {
        own_index: PeerId(own_index),
        router_count: cores,
        warm_up_time: (WARM_UP_S * SECOND as f64) as Nanos,
        initial_capacity_share: INITIAL_CAPACITY_SHARE,
        overload_window: (OVERLOAD_WINDOW_S * SECOND as f64) as Nanos,
        overload_multiple: OVERLOAD_MULTIPLE,
        idle_timeout: 5 * SECOND,
        // Tenant quotas are not tested here.
        tenants: Vec::new(),
        tenants_digest: TenantsDigest::default(),
        ..common::config().deployment.decision_settings
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstToken(usize, RequestId, u32),
    AttemptEnd(usize, RequestId, u32),
}

/// The router cores, and the pending events of the attempts at their replicas.
struct Fleet {
    cores: Vec<Core>,
    pending_events: BinaryHeap<Reverse<(Nanos, Event)>>,
    /// Time and replica of each attempt.
    sent: Vec<(Nanos, u32)>,
}

impl Fleet {
    fn new(cores: u32) -> Fleet {
        let cores = (0..cores).map(|own_index| Fleet::core(cores, own_index, START, 0)).collect();
        Fleet { cores, pending_events: BinaryHeap::new(), sent: Vec::new() }
    }

    /// Returns a core that has just started and knows the replicas.
    fn core(cores: u32, own_index: u32, now: Nanos, last_start: Nanos) -> Core {
        let mut core = Core::new(settings(cores, own_index), u64::from(own_index), 10 * MS).unwrap();
        let last_start_of = |n| if n < RESTARTED_NODES { last_start } else { 0 };
        core.endpoints_changed(
            now,
            ListUpdate::Cached,
            (0..REPLICAS).map(|n| row(n, last_start_of(n))).collect(),
        );
        core
    }

    /// Carries out the instructions of a core; replicas that have just started are idle and respond fast, the others
    /// are busy.
    fn carry_out(&mut self, now: Nanos, c: usize) {
        for instruction in self.cores[c].take_instructions() {
            if let Instruction::StartAttempt { request: id, attempt, replica, .. } = instruction {
                let n = (0..REPLICAS)
                    .find(|n| name_hash::replica_id(&format!("s-{n}")) == replica)
                    .expect("listed");
                let first_token_after = if n < RESTARTED_NODES { SECOND / 5 } else { SECOND };
                self.sent.push((now, n));
                self.pending_events
                    .push(Reverse((now + first_token_after, Event::FirstToken(c, id, attempt))));
            }
        }
    }

    fn step(&mut self, now: Nanos) {
        while self.pending_events.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, event))) = self.pending_events.pop() else { break };
            let c = match event {
                Event::FirstToken(c, id, attempt) => {
                    self.cores[c].first_event(at, id, attempt);
                    self.pending_events.push(Reverse((at + SECOND / 2, Event::AttemptEnd(c, id, attempt))));
                    c
                }
                Event::AttemptEnd(c, id, attempt) => {
                    self.cores[c].attempt_ended(at, id, attempt, Outcome::Completed.into());
                    c
                }
            };
            self.carry_out(now, c);
        }
        for c in 0..self.cores.len() {
            if self.cores[c].next_timer().is_some_and(|at| at <= now) {
                self.cores[c].run_timers(now);
                self.carry_out(now, c);
            }
        }
    }
}

/// Runs random traffic. Returns the largest number of requests that a replica got within the window, relative to what
/// the rule allows, and the number of requests sent to all restarted replicas.
fn simulate(cores: u32, restarts: bool, seed: u64) -> (f64, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(cores);
    // Exponentially distributed weights: some cores get several times the mean, many almost nothing.
    let weights: Vec<f64> = (0..cores).map(|_| -(1.0 - rng.f64()).ln()).collect();
    let total_weight: f64 = weights.iter().sum();
    let listed_at = START + 24 * SECOND;
    let last_start = listed_at - SECOND;
    for step in 0..3_000u64 {
        let now = START + step * 10 * MS;
        if now == listed_at {
            for core in &mut fleet.cores {
                core.endpoints_changed(
                    now,
                    ListUpdate::Delta,
                    (0..RESTARTED_NODES).map(|n| row(n, last_start)).collect(),
                );
            }
        }
        if restarts && now > listed_at && step % (1200 / u64::from(cores)).max(1) == 0 {
            let c = rng.usize(..fleet.cores.len());
            fleet.cores[c] = Fleet::core(cores, c as u32, now, last_start);
            let is_stale = |event: &Event| matches!(event, Event::FirstToken(d, ..) | Event::AttemptEnd(d, ..) if *d == c);
            fleet.pending_events.retain(|Reverse((_, event))| !is_stale(event));
        }
        fleet.step(now);
        let mut remaining = rng.f64() * total_weight;
        let c = weights.iter().position(|w| {
            remaining -= w;
            remaining < 0.0
        });
        let c = c.unwrap_or(0);
        let request = NewRequest { time_left: 4 * SECOND, prompt_tokens: 3000, ..NewRequest::default() };
        fleet.cores[c].accept(now, request);
        fleet.carry_out(now, c);
    }
    let (mut worst, mut sent) = (0.0f64, 0);
    for n in 0..RESTARTED_NODES {
        let at: Vec<Nanos> =
            fleet.sent.iter().filter(|s| s.1 == n && s.0 >= listed_at).map(|s| s.0).collect();
        sent += at.len();
        for (k, &t) in at.iter().enumerate() {
            let from = t.saturating_sub((OVERLOAD_WINDOW_S * SECOND as f64) as Nanos);
            let within = at[..=k].iter().filter(|a| **a > from).count() as f64;
            // Requests that the replica can serve in the middle of the window.
            let age = (t - SECOND - last_start.min(t - SECOND)) as f64 / SECOND as f64;
            let capacity = 2.0 * REQUESTS_PER_S / f64::from(REPLICAS)
                * (INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * age / WARM_UP_S)
                * OVERLOAD_MULTIPLE
                * OVERLOAD_WINDOW_S;
            worst = worst.max(within / (capacity + 2.0 * capacity.sqrt() + 2.0));
        }
    }
    (worst, sent)
}

/// Guards against shares of a warming-up replica's budget that suit a single core but add up to too much over
/// hundreds of cores.
#[test]
fn all_cores_together_stay_within_the_budget_of_a_restarted_node() {
    for (cores, seeds) in [(1, 2), (30, 2), (300, 3)] {
        for restarts in [false, true] {
            for seed in 0..seeds {
                let (worst, sent) = simulate(cores, restarts, seed);
                println!(
                    "{cores}, restarts {restarts}, seed {seed}: {worst:.2} of the allowed load, {sent} sent"
                );
                assert!(
                    worst < 1.0,
                    "{cores}, restarts {restarts}, seed {seed}: {worst:.2} times the allowed load"
                );
                assert!(
                    sent > 50,
                    "{cores}, restarts {restarts}, seed {seed}: the budget is not used, only {sent} sent"
                );
            }
        }
    }
}
