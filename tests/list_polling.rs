//! When the endpoint list is polled.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

#[test]
fn a_polled_list_is_watched_in_time_and_again_after_failures() {
    for seed in 0..50 {
        let mut settings = test_settings(4, 0);
        let must_ask_in = 10 * SECOND;
        settings.list_mode = EndpointListMode::Polled { max_poll_interval: must_ask_in };
        let mut router = TestRouter::with_replicas(settings, seed, 3);
        let start = router.now;
        router.run_to(start + must_ask_in / 2);
        assert!(router.list_polls >= 1, "asked well inside the time");
        for failures in 1..6 {
            let before = router.list_polls;
            router.update_list(ListUpdate::Failed, vec![]);
            assert_eq!(router.list_polls, before, "not at once: the list may be overrun");
            router.run_to(router.now + must_ask_in / 2);
            assert!(router.list_polls > before, "again after failure {failures}");
        }
        router.update_list(ListUpdate::Delta, vec![]);
        let before = router.list_polls;
        router.run_to(router.now + 60 * SECOND);
        assert_eq!(router.list_polls, before, "subscribed: nothing more to ask");
        router.update_list(ListUpdate::Failed, vec![]);
        router.run_to(router.now + must_ask_in / 2);
        assert!(router.list_polls > before, "the subscription dropped: asked for again");
    }
}

fn polled(router_count: u32) -> Settings {
    let mut settings = test_settings(4, 0);
    settings.list_mode = EndpointListMode::Polled { max_poll_interval: 14 * SECOND };
    (settings.has_peers, settings.router_count) = (false, router_count);
    settings
}

/// Polls are looked for so often.
const STEP: Nanos = SECOND / 100;

/// The times of polls that are all refused at once, since the start.
fn refused_polls(router_count: u32, seed: u64, until: Nanos) -> Vec<Nanos> {
    let mut router = TestRouter::new(polled(router_count), seed);
    router.update_list(ListUpdate::Cached, vec![EndpointEntry::default()]);
    let (start, mut polls) = (router.now, Vec::new());
    while router.now < start + until {
        let before = router.list_polls;
        router.run_to(router.now + STEP);
        if router.list_polls > before {
            polls.push(router.now - start);
            router.update_list(ListUpdate::Failed, vec![]);
        }
    }
    polls
}

/// The incident of 2026-12-03: each refusal made the wait for the next call longer, up to 3 s when hardly as much was left.
#[test]
fn a_router_that_is_refused_calls_the_sooner_the_less_time_is_left() {
    for seed in 0..50 {
        let polls = refused_polls(20, seed, 20 * SECOND);
        assert!(polls[0] <= 2 * SECOND + STEP, "the list it starts with may be old: {polls:?}");
        for pair in polls.windows(2) {
            let from_limit = pair[0].abs_diff(NOTIFICATION_LIMIT);
            let most = (from_limit * 2 / 3).clamp(SECOND * 4 / 5, 3 * SECOND);
            assert!((most * 3 / 5 - STEP..=most + 2 * STEP).contains(&(pair[1] - pair[0])), "{polls:?}");
        }
        let around = polls.iter().filter(|at| at.abs_diff(NOTIFICATION_LIMIT) <= SECOND);
        assert!(around.count() >= 2, "some shortly before and behind the limit: {polls:?}");
    }
}

/// Refusing calls takes the service time: hundreds of routers must not hinder it by haste.
#[test]
fn routers_of_a_fleet_call_no_more_often_together_however_many_they_are() {
    for router_count in [50, 100, 200] {
        let calls: usize = (0..u64::from(router_count))
            .map(|seed| refused_polls(router_count, seed, 6 * SECOND).len())
            .sum();
        assert!(calls <= 6 * 110, "{calls} calls of {router_count} routers in 6 s");
    }
}

/// Guards against a router that takes an operator's order for a sign of the list, and never calls for it again.
#[test]
fn an_operators_order_is_no_sign_of_the_list() {
    let mut router = TestRouter::with_replicas(polled(1), 1, 3);
    let row = vec![ready_entry(0)];
    router.update_list(ListUpdate::Failed, vec![]);
    router.update_list(ListUpdate::Override, row);
    let before = router.list_polls;
    router.run_to(router.now + 4 * SECOND);
    assert!(router.list_polls > before, "the lost watch is asked for");
}

/// Guards against a call without any answer that is waited for past the time from which the router counts as notified.
#[test]
fn a_call_that_is_never_answered_is_followed_by_another_within_half_of_the_time() {
    let mut router = TestRouter::new(polled(1), 1);
    router.update_list(ListUpdate::Cached, vec![EndpointEntry::default()]);
    router.run_to(router.now + 2 * SECOND);
    let polls = router.list_polls;
    assert!(polls >= 1);
    router.run_to(router.now + NOTIFICATION_LIMIT / 2);
    assert!(
        router.list_polls > polls,
        "a further call within 3 s, where the settings allow 14 s between calls"
    );
}

/// A fleet of a few routers can be answered at once, whatever the settings allow.
#[test]
fn the_first_poll_of_a_small_fleet_comes_soon() {
    for seed in 0..50 {
        let first = |router_count| refused_polls(router_count, seed, 3 * SECOND)[0];
        assert!(first(1) <= SECOND / 20 + STEP);
        assert!(first(5) <= SECOND / 4 + STEP);
    }
    let latest = (0..50).map(|seed| refused_polls(300, seed, 3 * SECOND)[0]).max().unwrap();
    assert!((SECOND..=2 * SECOND + STEP).contains(&latest), "those of a large one are spread: {latest}");
}

/// An answer that stops in its middle shows that the service has room: the next poll does not wait as behind a refusal.
#[test]
fn a_truncated_answer_is_followed_soon() {
    let given_up_after = 31 * SECOND / 30;
    for seed in 0..50 {
        let next_poll = |update, after| {
            let mut router = TestRouter::new(polled(5), seed);
            router.update_list(ListUpdate::Cached, vec![EndpointEntry::default()]);
            router.run_to(router.now + SECOND / 4);
            let (polls, failed_at) = (router.list_polls, router.now + after);
            assert_eq!(polls, 1);
            router.run_to(failed_at);
            router.update_list(update, vec![]);
            while router.list_polls == polls {
                router.run_to(router.now + STEP);
            }
            router.now - failed_at
        };
        assert!(next_poll(ListUpdate::Truncated, given_up_after) <= SECOND * 2 / 5 + STEP);
        assert!(next_poll(ListUpdate::Failed, given_up_after) >= SECOND / 2, "a refused one waits");
        let at_once = next_poll(ListUpdate::Truncated, 0);
        assert!(
            at_once >= SECOND / 5,
            "a service that cuts each answer off at once is not called without a pause: {at_once}"
        );
    }
}
