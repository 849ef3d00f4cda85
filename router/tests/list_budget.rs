//! When the node list is asked for, by module and clock together, before a service that is away for a while: how soon
//! each router is told afterwards, and how many calls that takes. In virtual time, without sockets.
#![allow(missing_docs)]

mod common;

use std::collections::VecDeque;

use proptest::prelude::*;
use tallypin::api::{EndpointEntry, EndpointListMode, ListUpdate, Nanos, PeerId, SECOND};
use tallypin_router::core::{Core, Instruction};
use tallypin_router::endpoint_list::watch_clock::{WatchClock, WatchStep, WatchTimeouts};
use tallypin_router::limits::Limits;

const MS: Nanos = SECOND / 1000;
/// What the list has to tell counts as told so long after it can be reached.
const TOLD: Nanos = 6 * SECOND;

/// How the service is away.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Away {
    /// Calls are refused at once.
    Refuses,
    /// They are answered after a second, with an error.
    Fails,
    /// They are never answered.
    Hangs,
}

/// One service for all: it takes calls in turn, `cost` each, and fails those that have waited 2 s.
struct Service {
    cost: Nanos,
    free_at: Nanos,
    /// Who called when.
    queue: VecDeque<(usize, Nanos)>,
}

struct Asker {
    core: Core,
    clock: WatchClock,
    told: Option<Nanos>,
}

fn asker(n: u32, of: u32, limits: &Limits) -> Asker {
    let mut settings = common::config().deployment.decisions;
    (settings.own_index, settings.router_count) = (PeerId(n), of);
    settings.list_mode = EndpointListMode::Polled { max_poll_interval: 10 * SECOND };
    let terms = WatchTimeouts {
        answer: limits.list_response_timeout,
        stall: limits.list_message_stall_timeout,
        silence: limits.watch_silence_timeout,
        reconnect: None,
    };
    let mut core = Core::new(settings, 1000 + u64::from(n), 0).expect("settings to go by");
    core.endpoints_changed(0, ListUpdate::Cached, vec![EndpointEntry::default()]);
    Asker { core, clock: WatchClock::new(terms), told: None }
}

/// Routers that start together before a service that is away from `from` to `to`; each watch ends when it goes. Gives
/// when each was told after that, and how many calls were made in each second.
fn play(of: u32, away: (Nanos, Nanos, Away), cost: Nanos, end: Nanos) -> (Vec<Option<Nanos>>, Vec<u32>) {
    let limits = common::config().limits;
    let mut all: Vec<Asker> = (0..of).map(|n| asker(n, of, &limits)).collect();
    let mut service = Service { cost, free_at: 0, queue: VecDeque::new() };
    let mut calls = vec![0; (end / SECOND) as usize + 1];
    let is_away = |t: Nanos| (away.0..away.1).contains(&t);
    for t in (0..end).step_by(5 * MS as usize) {
        for (i, a) in all.iter_mut().enumerate() {
            a.core.run_timers(t);
            if is_away(t) && a.told.take().is_some() {
                a.clock.watch_lost(t, 0.0);
                a.core.endpoints_changed(t, ListUpdate::Failed, Vec::new());
            }
            if a.core.take_instructions().contains(&Instruction::WatchEndpoints) {
                a.clock.request_watch(t);
            }
            match a.clock.next_step(t) {
                WatchStep::Open => {
                    a.clock.watch_opened(t);
                    calls[(t / SECOND) as usize] += 1;
                    service.queue.push_back((i, t));
                }
                WatchStep::Abandon if a.told.is_none() => {
                    service.queue.retain(|(who, _)| *who != i);
                    a.clock.watch_lost(t, 0.0);
                    a.core.endpoints_changed(t, ListUpdate::Failed, Vec::new());
                }
                _ => {}
            }
            if a.told.is_some() {
                a.clock.record_activity(t);
            }
        }
        let mut failed = Vec::new();
        service.queue.retain(|&(who, since)| {
            let over = match away.2 {
                _ if !is_away(t) => t - since >= 2 * SECOND,
                Away::Refuses => true,
                Away::Fails => t - since >= SECOND,
                Away::Hangs => false,
            };
            if over {
                failed.push(who);
            }
            !over
        });
        for who in failed {
            all[who].clock.watch_lost(t, 0.0);
            all[who].core.endpoints_changed(t, ListUpdate::Failed, Vec::new());
        }
        while !is_away(t) && service.free_at <= t {
            // What hung when it came back hangs on: only later calls are answered.
            let at = service.queue.iter().position(|(_, since)| !is_away(*since));
            let Some((who, _)) = at.and_then(|at| service.queue.remove(at)) else { break };
            service.free_at = service.free_at.max(t) + service.cost;
            all[who].clock.record_activity(t);
            all[who].core.endpoints_changed(t, ListUpdate::Full, vec![EndpointEntry::default()]);
            all[who].told = Some(t);
        }
    }
    (all.iter().map(|a| a.told).collect(), calls)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    /// Guards against a router that sleeps, or waits for a call that hangs, past the moment from which it counts as told.
    #[test]
    fn whatever_the_outage_all_are_told_well_before_it_counts(
        from in 0u64..8_000, long in 1u64..20_000,
        how in prop::sample::select(vec![Away::Refuses, Away::Fails, Away::Hangs]), of in 1u32..7,
    ) {
        let back = (from + long) * MS;
        let (told, _) = play(of, (from * MS, back, how), 5 * MS, back + TOLD);
        for told in told {
            let after = told.expect("told by then").saturating_sub(back);
            prop_assert!(after <= TOLD - 700 * MS, "{} ms after it could be reached", after / MS);
        }
    }
}

/// Guards against a herd that keeps the service down once it is back: three hundred routers at a service that can answer
/// 28 of them in a second.
#[test]
fn hundreds_of_routers_are_told_about_as_fast_as_the_service_can() {
    for how in [Away::Refuses, Away::Hangs] {
        let back = 20 * SECOND;
        let (told, calls) = play(300, (0, back, how), 35 * MS, 60 * SECOND);
        let mut told: Vec<Nanos> = told.into_iter().map(|t| t.expect("told") - back).collect();
        told.sort_unstable();
        let settled = calls[8..20].iter().max().expect("some");
        let (half, last) = (told[150] / MS, told[299] / MS);
        println!("{how:?}: {settled} calls a second at the most while away; half told after {half} ms, all {last} ms");
        assert!(*settled <= 150, "{settled} calls in a second: {calls:?}");
        assert!(last <= 15_000, "the least possible is 10,500 ms, it took {last}");
    }
}
