//! Times at which the endpoint list is polled.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

#[test]
fn a_polled_list_is_polled_within_the_interval_and_again_after_failures() {
    for seed in 0..50 {
        let mut settings = test_settings(4, 0);
        let max_poll_interval = 10 * SECOND;
        settings.list_mode = EndpointListMode::Polled { max_poll_interval };
        let mut router = TestRouter::with_replicas(settings, seed, 3);
        let start = router.now;
        router.run_to(start + max_poll_interval / 2);
        assert!(router.list_polls >= 1, "a poll within half of the interval");
        for failures in 1..6 {
            let polls_before = router.list_polls;
            router.update_list(ListUpdate::Failed, vec![]);
            assert_eq!(
                router.list_polls, polls_before,
                "no poll at once, because the service may be overloaded"
            );
            router.run_to(router.now + max_poll_interval / 2);
            assert!(router.list_polls > polls_before, "a poll after failure {failures}");
        }
        router.update_list(ListUpdate::Delta, vec![]);
        let polls_before = router.list_polls;
        router.run_to(router.now + 60 * SECOND);
        assert_eq!(router.list_polls, polls_before, "no poll while the list is watched");
        router.update_list(ListUpdate::Failed, vec![]);
        router.run_to(router.now + max_poll_interval / 2);
        assert!(router.list_polls > polls_before, "a poll after the watch is lost");
    }
}

fn polled_settings(router_count: u32) -> Settings {
    let mut settings = test_settings(4, 0);
    settings.list_mode = EndpointListMode::Polled { max_poll_interval: 14 * SECOND };
    (settings.has_peers, settings.router_count) = (false, router_count);
    settings
}

/// Interval at which a test checks for new polls.
const CHECK_INTERVAL: Nanos = SECOND / 100;

/// Times of the polls since the start, if each is refused at once.
fn refused_polls(router_count: u32, seed: u64, until: Nanos) -> Vec<Nanos> {
    let mut router = TestRouter::new(polled_settings(router_count), seed);
    router.update_list(ListUpdate::Cached, vec![EndpointEntry::default()]);
    let (start, mut polls) = (router.now, Vec::new());
    while router.now < start + until {
        let polls_before = router.list_polls;
        router.run_to(router.now + CHECK_INTERVAL);
        if router.list_polls > polls_before {
            polls.push(router.now - start);
            router.update_list(ListUpdate::Failed, vec![]);
        }
    }
    polls
}

/// Incident of 2026-12-03: each refusal prolonged the wait for the next poll, up to 3 s, when hardly 3 s were left until the
/// notification limit.
#[test]
fn a_refused_router_polls_more_often_near_the_notification_limit() {
    for seed in 0..50 {
        let polls = refused_polls(20, seed, 20 * SECOND);
        assert!(
            polls[0] <= 2 * SECOND + CHECK_INTERVAL,
            "the first poll comes early, because the cached list may be old: {polls:?}"
        );
        for pair in polls.windows(2) {
            let from_limit = pair[0].abs_diff(NOTIFICATION_LIMIT);
            let longest_wait = (from_limit * 2 / 3).clamp(SECOND * 4 / 5, 3 * SECOND);
            assert!(
                (longest_wait * 3 / 5 - CHECK_INTERVAL..=longest_wait + 2 * CHECK_INTERVAL)
                    .contains(&(pair[1] - pair[0])),
                "waits between polls within the bounds: {polls:?}"
            );
        }
        let near_limit = polls.iter().filter(|at| at.abs_diff(NOTIFICATION_LIMIT) <= SECOND);
        assert!(near_limit.count() >= 2, "some polls are close to the limit: {polls:?}");
    }
}

/// The service spends time on each poll that it refuses, so polls of hundreds of routers must not overload it.
#[test]
fn the_total_rate_of_refused_polls_does_not_grow_with_the_number_of_routers() {
    for router_count in [50, 100, 200] {
        let polls: usize = (0..u64::from(router_count))
            .map(|seed| refused_polls(router_count, seed, 6 * SECOND).len())
            .sum();
        assert!(polls <= 6 * 110, "{polls} polls of {router_count} routers in 6 s");
    }
}

/// Guards against a router that takes an operator override for a list update and stops polling.
#[test]
fn an_operator_override_does_not_count_as_a_list_update() {
    let mut router = TestRouter::with_replicas(polled_settings(1), 1, 3);
    let override_rows = vec![ready_entry(0)];
    router.update_list(ListUpdate::Failed, vec![]);
    router.update_list(ListUpdate::Override, override_rows);
    let polls_before = router.list_polls;
    router.run_to(router.now + 4 * SECOND);
    assert!(router.list_polls > polls_before, "the list is polled after the watch is lost");
}

/// Guards against waiting for the answer to a poll until after the notification limit.
#[test]
fn an_unanswered_poll_is_repeated_within_half_of_the_notification_limit() {
    let mut router = TestRouter::new(polled_settings(1), 1);
    router.update_list(ListUpdate::Cached, vec![EndpointEntry::default()]);
    router.run_to(router.now + 2 * SECOND);
    let polls = router.list_polls;
    assert!(polls >= 1);
    router.run_to(router.now + NOTIFICATION_LIMIT / 2);
    assert!(
        router.list_polls > polls,
        "another poll within half of the limit, although the settings allow 14 s between polls"
    );
}

/// The service can answer a few routers at once, so they need not spread their first polls over the allowed interval.
#[test]
fn the_first_poll_comes_sooner_in_a_small_fleet() {
    for seed in 0..50 {
        let first = |router_count| refused_polls(router_count, seed, 3 * SECOND)[0];
        assert!(first(1) <= SECOND / 20 + CHECK_INTERVAL);
        assert!(first(5) <= SECOND / 4 + CHECK_INTERVAL);
    }
    let latest = (0..50).map(|seed| refused_polls(300, seed, 3 * SECOND)[0]).max().unwrap();
    assert!(
        (SECOND..=2 * SECOND + CHECK_INTERVAL).contains(&latest),
        "first polls of a large fleet are spread: {latest}"
    );
}

/// A truncated answer shows that the service has capacity, so the next poll comes sooner than after a refusal.
#[test]
fn a_truncated_answer_is_followed_by_an_early_poll() {
    let poll_timeout = 31 * SECOND / 30;
    for seed in 0..50 {
        let next_poll = |update, after| {
            let mut router = TestRouter::new(polled_settings(5), seed);
            router.update_list(ListUpdate::Cached, vec![EndpointEntry::default()]);
            router.run_to(router.now + SECOND / 4);
            let (polls, failed_at) = (router.list_polls, router.now + after);
            assert_eq!(polls, 1);
            router.run_to(failed_at);
            router.update_list(update, vec![]);
            while router.list_polls == polls {
                router.run_to(router.now + CHECK_INTERVAL);
            }
            router.now - failed_at
        };
        assert!(next_poll(ListUpdate::Truncated, poll_timeout) <= SECOND * 2 / 5 + CHECK_INTERVAL);
        assert!(
            next_poll(ListUpdate::Failed, poll_timeout) >= SECOND / 2,
            "the next poll after a refusal comes later"
        );
        let at_once = next_poll(ListUpdate::Truncated, 0);
        assert!(
            at_once >= SECOND / 5,
            "polls have a pause even if each answer is truncated at once: {at_once}"
        );
    }
}

/// Runs a router that fails a poll with `failure` each second, from the end of its watch on. Returns for how long after that
/// requests are sent to replicas, at most `until`.
fn time_of_use(settings: &Settings, failure: ListUpdate, until: Nanos) -> Nanos {
    let mut router = TestRouter::with_replicas(settings.clone(), 1, 3);
    router.update_list(ListUpdate::Full, (0..3).map(ready_entry).collect());
    router.run_to(router.now + 60 * SECOND);
    router.update_list(ListUpdate::Failed, vec![]);
    let ended_at = router.now;
    for step in 1.. {
        router.run_to(ended_at + step * SECOND / 20);
        if step % 20 == 0 {
            router.update_list(failure, vec![]);
        }
        let actions = router.submit(request(step));
        if TestRouter::sent_to(&actions).is_none() {
            let reason = RejectReason::NoCapacity;
            assert!(matches!(actions[..], [Action::Reject { reason: r, .. }] if r == reason), "{actions:?}");
            break;
        }
        router.end_attempt(RequestId(step), 0, Outcome::Completed);
        if router.now >= ended_at + until {
            break;
        }
    }
    let time_of_use = router.now - ended_at;
    router.update_list(ListUpdate::Full, (0..3).map(ready_entry).collect());
    let actions = router.submit(request(1_000_000));
    assert!(TestRouter::sent_to(&actions).is_some(), "a router that has the list again uses it");
    time_of_use
}

/// Guards against review/9: a crowd at the list service leaves a router without the list for longer than a change of it may stay
/// unknown. Requests are rejected then; a service that cannot be reached tells nobody, and the known list stays in use.
#[test]
fn the_list_is_used_past_the_notification_limit_only_if_its_service_cannot_be_reached() {
    let settings = Settings { drain_grace: SECOND * 3 / 4, ..polled_settings(30) };
    let until = 30 * SECOND;
    // The grace, less the time for which the router may be held up before it writes.
    let limit = NOTIFICATION_LIMIT + SECOND * 3 / 5;
    for failure in [ListUpdate::TurnedAway, ListUpdate::Truncated] {
        let time = time_of_use(&settings, failure, until);
        assert!((limit..limit + SECOND / 10).contains(&time), "{failure:?}: used for {time} ns");
    }
    assert_eq!(time_of_use(&settings, ListUpdate::Failed, until), until);
    let with_peers = Settings { has_peers: true, ..settings.clone() };
    assert_eq!(time_of_use(&with_peers, ListUpdate::TurnedAway, until), until, "peers report drains");
    let pushed = Settings { list_mode: EndpointListMode::Pushed, ..settings };
    assert_eq!(time_of_use(&pushed, ListUpdate::TurnedAway, until), until, "an agent has no crowd");
}

/// What a silent watch missed counts from the last sign of life; after an outage, changes count from its end.
#[test]
fn the_notification_limit_counts_from_the_last_time_without_missed_changes() {
    let settings = Settings { drain_grace: SECOND / 2, ..polled_settings(30) };
    let limit = NOTIFICATION_LIMIT + SECOND * 7 / 20;
    for (updates, expected) in [
        (&[ListUpdate::Silent, ListUpdate::TurnedAway][..], limit - 3 * SECOND),
        (&[ListUpdate::Failed, ListUpdate::TurnedAway], limit),
        (
            &[ListUpdate::Failed, ListUpdate::TurnedAway, ListUpdate::Failed, ListUpdate::TurnedAway],
            limit + SECOND,
        ),
    ] {
        let mut router = TestRouter::with_replicas(settings.clone(), 1, 3);
        router.update_list(ListUpdate::Full, (0..3).map(ready_entry).collect());
        router.run_to(router.now + 60 * SECOND);
        let lost_at = router.now;
        for (number, &update) in updates.iter().enumerate() {
            router.run_to(lost_at + number as Nanos / 2 * SECOND);
            router.update_list(update, vec![]);
        }
        for (at, is_usable) in [(expected - SECOND / 100, true), (expected, false)] {
            router.run_to(lost_at + at);
            assert_eq!(router.balancer.may_send_by_list(router.now), is_usable, "{updates:?}");
        }
    }
}
