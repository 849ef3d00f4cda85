//! Hundreds of cores before one fleet: what all of them together send to nodes that have just started.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tallypin::api::*;
use tallypin::name_hash;
use tallypin_router::core::{Core, Instruction, NewRequest};

const MS: Nanos = 1_000_000;
const START: Nanos = 1_700_000_000 * SECOND;
const NODES: u32 = 20;
/// So many start anew.
const STARTED: u32 = 5;
/// The time of the rule, s; how much of its work a node can bear; requests a second, half of what the nodes can do.
const FALL_S: f64 = 2.0;
const FALL: f64 = 2.5;
const FLOW: f64 = 100.0;
const COLD_S: f64 = 10.0;
const COLD_SHARE: f64 = 0.2;

fn row(n: u32, last_start: Nanos) -> EndpointEntry {
    let replica = name_hash::replica_id(&format!("s-{n}"));
    EndpointEntry { replica, state: EndpointState::Ready, started_at: last_start, ..EndpointEntry::default() }
}

fn settings(cores: u32, me: u32) -> Settings {
    Settings {
        own_index: PeerId(me),
        router_count: cores,
        warm_up_time: (COLD_S * SECOND as f64) as Nanos,
        initial_capacity_share: COLD_SHARE,
        overload_window: (FALL_S * SECOND as f64) as Nanos,
        overload_multiple: FALL,
        idle_timeout: 5 * SECOND,
        // What is over a share is another test.s matter.
        tenants: Vec::new(),
        digest: TenantsDigest::default(),
        ..common::config().deployment.decisions
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    First(usize, RequestId, u32),
    End(usize, RequestId, u32),
}

/// The cores, and what their nodes owe.
struct Fleet {
    cores: Vec<Core>,
    due: BinaryHeap<Reverse<(Nanos, Due)>>,
    /// When which node got an attempt.
    sent: Vec<(Nanos, u32)>,
}

impl Fleet {
    fn new(cores: u32) -> Fleet {
        let cores = (0..cores).map(|me| Fleet::core(cores, me, START, 0)).collect();
        Fleet { cores, due: BinaryHeap::new(), sent: Vec::new() }
    }

    /// One that has just begun, and knows the nodes.
    fn core(cores: u32, me: u32, now: Nanos, last_start: Nanos) -> Core {
        let mut core = Core::new(settings(cores, me), u64::from(me), 10 * MS).unwrap();
        let start = |n| if n < STARTED { last_start } else { 0 };
        core.endpoints_changed(now, ListUpdate::Cached, (0..NODES).map(|n| row(n, start(n))).collect());
        core
    }

    /// Does what a core orders; nodes that have just started idle, the others are busy.
    fn carry_out(&mut self, now: Nanos, c: usize) {
        for order in self.cores[c].take_instructions() {
            if let Instruction::StartAttempt { request: id, attempt, replica: node, .. } = order {
                let n =
                    (0..NODES).find(|n| name_hash::replica_id(&format!("s-{n}")) == node).expect("listed");
                let first = if n < STARTED { SECOND / 5 } else { SECOND };
                self.sent.push((now, n));
                self.due.push(Reverse((now + first, Due::First(c, id, attempt))));
            }
        }
    }

    fn step(&mut self, now: Nanos) {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((at, due))) = self.due.pop() else { break };
            let c = match due {
                Due::First(c, id, attempt) => {
                    self.cores[c].first_event(at, id, attempt);
                    self.due.push(Reverse((at + SECOND / 2, Due::End(c, id, attempt))));
                    c
                }
                Due::End(c, id, attempt) => {
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

/// The most that a node got within the time of the rule, against what it allows; and how many it got in all.
fn play(cores: u32, restarts: bool, seed: u64) -> (f64, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(cores);
    // An exponential spread: some get several times the mean, many next to nothing.
    let weights: Vec<f64> = (0..cores).map(|_| -(1.0 - rng.f64()).ln()).collect();
    let all: f64 = weights.iter().sum();
    let told = START + 24 * SECOND;
    let last_start = told - SECOND;
    for step in 0..3_000u64 {
        let now = START + step * 10 * MS;
        if now == told {
            for core in &mut fleet.cores {
                core.endpoints_changed(
                    now,
                    ListUpdate::Delta,
                    (0..STARTED).map(|n| row(n, last_start)).collect(),
                );
            }
        }
        if restarts && now > told && step % (1200 / u64::from(cores)).max(1) == 0 {
            let c = rng.usize(..fleet.cores.len());
            fleet.cores[c] = Fleet::core(cores, c as u32, now, last_start);
            let gone = |due: &Due| matches!(due, Due::First(d, ..) | Due::End(d, ..) if *d == c);
            fleet.due.retain(|Reverse((_, due))| !gone(due));
        }
        fleet.step(now);
        let mut left = rng.f64() * all;
        let c = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        let c = c.unwrap_or(0);
        let ask = NewRequest { time_left: 4 * SECOND, prompt_tokens: 3000, ..NewRequest::default() };
        fleet.cores[c].accept(now, ask);
        fleet.carry_out(now, c);
    }
    let (mut worst, mut sent) = (0.0f64, 0);
    for n in 0..STARTED {
        let at: Vec<Nanos> = fleet.sent.iter().filter(|s| s.1 == n && s.0 >= told).map(|s| s.0).collect();
        sent += at.len();
        for (k, &t) in at.iter().enumerate() {
            let from = t.saturating_sub((FALL_S * SECOND as f64) as Nanos);
            let within = at[..=k].iter().filter(|a| **a > from).count() as f64;
            // What it can do in the middle of that time.
            let age = (t - SECOND - last_start.min(t - SECOND)) as f64 / SECOND as f64;
            let can = 2.0 * FLOW / f64::from(NODES)
                * (COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_S)
                * FALL
                * FALL_S;
            worst = worst.max(within / (can + 2.0 * can.sqrt() + 2.0));
        }
    }
    (worst, sent)
}

/// Guards against parts of the budget of a cold node that are right in one core and too much in hundreds.
#[test]
fn cores_together_send_a_cold_node_no_more_than_the_rule_allows() {
    for (cores, seeds) in [(1, 2), (30, 2), (300, 3)] {
        for restarts in [false, true] {
            for seed in 0..seeds {
                let (worst, sent) = play(cores, restarts, seed);
                println!("{cores}, restarts {restarts}, seed {seed}: {worst:.2} of what the rule allows, {sent} sent");
                assert!(
                    worst < 1.0,
                    "{cores}, restarts {restarts}, seed {seed}: {worst:.2} times what is allowed"
                );
                assert!(
                    sent > 50,
                    "{cores}, restarts {restarts}, seed {seed}: the budget is not used, {sent}"
                );
            }
        }
    }
}
