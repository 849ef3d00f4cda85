//! Outages of the endpoint list service, simulated in virtual time without sockets. The tests check how soon each router
//! receives the list after an outage and how many calls the routers make.
#![allow(missing_docs)]

mod common;

use std::collections::VecDeque;

use proptest::prelude::*;
use tallypin::api::{EndpointEntry, EndpointListMode, ListUpdate, Nanos, PeerId, SECOND};
use tallypin_router::core::{Core, Instruction};
use tallypin_router::endpoint_list::watch_clock::{WatchClock, WatchStep, WatchTimeouts};
use tallypin_router::limits::Limits;

const MS: Nanos = SECOND / 1000;
/// Time after the end of an outage at which every router counts as notified of the list's changes.
const NOTIFICATION_DEADLINE: Nanos = 6 * SECOND;

/// How the service treats calls during an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OutageKind {
    /// Calls are refused at once.
    Refuses,
    /// Calls are answered with an error after 1 s.
    Fails,
    /// Calls are never answered.
    Hangs,
}

/// List service of all routers. It answers calls one after the other and fails calls that have waited for 2 s.
struct Service {
    /// Time that one answer takes.
    answer_time: Nanos,
    free_at: Nanos,
    /// Index of each calling router and time of its call.
    queue: VecDeque<(usize, Nanos)>,
}

struct SimulatedRouter {
    core: Core,
    clock: WatchClock,
    /// When the router last received the complete list; `None` without a watch.
    notified_at: Option<Nanos>,
}

fn simulated_router(index: u32, router_count: u32, limits: &Limits) -> SimulatedRouter {
    let mut settings = common::config().deployment.decision_settings;
    (settings.own_index, settings.router_count) = (PeerId(index), router_count);
    settings.list_mode = EndpointListMode::Polled { max_poll_interval: 10 * SECOND };
    let timeouts = WatchTimeouts {
        answer: limits.list_response_timeout,
        stall: limits.list_message_stall_timeout,
        silence: limits.watch_silence_timeout,
        reconnect: None,
    };
    let mut core = Core::new(settings, 1000 + u64::from(index), 0).expect("the settings are valid");
    core.endpoints_changed(0, ListUpdate::Cached, vec![EndpointEntry::default()]);
    SimulatedRouter { core, clock: WatchClock::new(timeouts), notified_at: None }
}

/// Simulates routers that start together and an outage with a start, an end and a kind. Every watch is lost when the outage
/// starts. Returns when each router received the list after the outage, and the number of calls in each second.
fn simulate_outage(
    router_count: u32,
    outage: (Nanos, Nanos, OutageKind),
    answer_time: Nanos,
    end: Nanos,
) -> (Vec<Option<Nanos>>, Vec<u32>) {
    let limits = common::config().limits;
    let mut routers: Vec<SimulatedRouter> =
        (0..router_count).map(|index| simulated_router(index, router_count, &limits)).collect();
    let mut service = Service { answer_time, free_at: 0, queue: VecDeque::new() };
    let mut calls = vec![0; (end / SECOND) as usize + 1];
    let is_outage = |time: Nanos| (outage.0..outage.1).contains(&time);
    for now in (0..end).step_by(5 * MS as usize) {
        for (index, router) in routers.iter_mut().enumerate() {
            router.core.run_timers(now);
            if is_outage(now) && router.notified_at.take().is_some() {
                router.clock.watch_lost(now, 0.0);
                router.core.endpoints_changed(now, ListUpdate::Failed, Vec::new());
            }
            if router.core.take_instructions().contains(&Instruction::WatchEndpoints) {
                router.clock.request_watch(now);
            }
            match router.clock.next_step(now) {
                WatchStep::Open => {
                    router.clock.watch_opened(now);
                    calls[(now / SECOND) as usize] += 1;
                    service.queue.push_back((index, now));
                }
                WatchStep::Abandon if router.notified_at.is_none() => {
                    service.queue.retain(|(caller, _)| *caller != index);
                    router.clock.watch_lost(now, 0.0);
                    router.core.endpoints_changed(now, ListUpdate::Failed, Vec::new());
                }
                _ => {}
            }
            if router.notified_at.is_some() {
                router.clock.record_activity(now);
            }
        }
        let mut failed = Vec::new();
        service.queue.retain(|&(caller, called_at)| {
            let is_failed = match outage.2 {
                _ if !is_outage(now) => now - called_at >= 2 * SECOND,
                OutageKind::Refuses => true,
                OutageKind::Fails => now - called_at >= SECOND,
                OutageKind::Hangs => false,
            };
            if is_failed {
                failed.push(caller);
            }
            !is_failed
        });
        for caller in failed {
            routers[caller].clock.watch_lost(now, 0.0);
            routers[caller].core.endpoints_changed(now, ListUpdate::Failed, Vec::new());
        }
        while !is_outage(now) && service.free_at <= now {
            // Calls from the time of the outage stay unanswered, as their connections hang.
            let position = service.queue.iter().position(|(_, called_at)| !is_outage(*called_at));
            let Some((caller, _)) = position.and_then(|at| service.queue.remove(at)) else { break };
            service.free_at = service.free_at.max(now) + service.answer_time;
            routers[caller].clock.record_activity(now);
            routers[caller].core.endpoints_changed(now, ListUpdate::Full, vec![EndpointEntry::default()]);
            routers[caller].notified_at = Some(now);
        }
    }
    (routers.iter().map(|router| router.notified_at).collect(), calls)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    /// Guards against a router that backs off, or waits for a hanging call, past the time at which it counts as notified.
    #[test]
    fn routers_receive_the_list_before_the_notification_deadline_after_any_outage(
        start_ms in 0u64..8_000, duration_ms in 1u64..20_000,
        kind in prop::sample::select(vec![OutageKind::Refuses, OutageKind::Fails, OutageKind::Hangs]),
        router_count in 1u32..7,
    ) {
        let outage_end = (start_ms + duration_ms) * MS;
        let (notified, _) = simulate_outage(
            router_count, (start_ms * MS, outage_end, kind), 5 * MS, outage_end + NOTIFICATION_DEADLINE
        );
        for notified_at in notified {
            let delay = notified_at.expect("every router receives the list").saturating_sub(outage_end);
            prop_assert!(
                delay <= NOTIFICATION_DEADLINE - 700 * MS,
                "a router received the list only {} ms after the outage",
                delay / MS
            );
        }
    }
}

/// Guards against a thundering herd of calls that overloads the service after an outage: 300 routers call a service that can
/// answer 28 calls per second.
#[test]
fn hundreds_of_routers_receive_the_list_about_as_fast_as_the_service_can_answer() {
    for kind in [OutageKind::Refuses, OutageKind::Hangs] {
        let outage_end = 20 * SECOND;
        let (notified, calls) = simulate_outage(300, (0, outage_end, kind), 35 * MS, 60 * SECOND);
        let mut delays: Vec<Nanos> =
            notified.into_iter().map(|t| t.expect("every router receives the list") - outage_end).collect();
        delays.sort_unstable();
        let most_calls = calls[8..20].iter().max().expect("the range is not empty");
        let (half_ms, last_ms) = (delays[150] / MS, delays[299] / MS);
        println!(
            "{kind:?}: at most {most_calls} calls/s in the outage; half notified after {half_ms} ms, all after {last_ms} ms"
        );
        assert!(*most_calls <= 150, "too many calls in one second, {most_calls}: {calls:?}");
        assert!(
            last_ms <= 15_000,
            "the last router was notified after {last_ms} ms, 10,500 ms are the minimum"
        );
    }
}
