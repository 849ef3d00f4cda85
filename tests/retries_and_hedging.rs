//! Conditions under which an attempt is cancelled, hedged or retried.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

/// A request without a session or a prefix.
fn request_without_affinity(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}

#[test]
fn a_request_at_a_silent_replica_is_hedged_if_others_answer_at_once() {
    for (first_token_time, hedged) in [(20 * MS, true), (500 * MS, false)] {
        let settings = Settings { concurrent_attempts: true, ..test_settings(1, 0) };
        let mut router = TestRouter::with_replicas(settings, 5, 4);
        for n in 0..200 {
            router.run_to(router.now + 20 * MS);
            router.submit(request_without_affinity(n));
            router.run_to(router.now + first_token_time);
            let attempt = router.requests[&RequestId(n)].attempts.len() as u32 - 1;
            router.first_token(RequestId(n), attempt);
            router.end_attempt(RequestId(n), attempt, Outcome::Completed);
        }
        router.run_to(router.now + MS);
        let id = RequestId(1000);
        let silent_replica = TestRouter::sent_to(&router.submit(request_without_affinity(1000)))
            .expect("the fleet has capacity");
        let actions = router.run_to(router.now + 900 * MS);
        let second = TestRouter::sent_to(&actions);
        assert_eq!(second.is_some(), hedged, "hedged or not if first tokens take {first_token_time} ns");
        if hedged {
            assert_ne!(second, Some(silent_replica));
            assert!(
                !actions.iter().any(|action| matches!(action, Action::Cancel { .. })),
                "the first attempt goes on, because it may still be faster"
            );
            router.first_token(id, 1);
            router.end_attempt(id, 1, Outcome::Completed);
            router.end_attempt(id, 0, Outcome::Cancelled);
        }
    }
}

#[test]
fn an_attempt_is_cancelled_only_if_another_can_replace_it() {
    let cancellations = |replicas: u64, concurrent_attempts: bool, late_value_share: f64| {
        let mut settings = Settings { concurrent_attempts, ..test_settings(1, 0) };
        settings.classes[0].late_value_share = late_value_share;
        let mut router = TestRouter::with_replicas(settings, 5, replicas);
        router.submit(request_without_affinity(1));
        let end = router.now + 4 * SECOND;
        let mut actions = router.run_to(end);
        actions.retain(|action| matches!(action, Action::Cancel { .. }));
        actions.len()
    };
    assert_eq!((cancellations(1, true, 0.2), cancellations(2, true, 0.2)), (0, 1));
    assert_eq!(cancellations(1, false, 0.2), 1, "cancelled where only one attempt at a time is allowed");
    assert_eq!(cancellations(1, true, 0.0), 1, "cancelled where a late answer has no value");
}

#[test]
fn retries_are_limited_by_a_budget() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 30);
    let mut retries = 0;
    for n in 0..200 {
        router.submit(request_without_affinity(n));
        let mut attempt = 0;
        while TestRouter::sent_to(&router.end_attempt(RequestId(n), attempt, Outcome::Rejected)).is_some() {
            attempt += 1;
        }
        retries += attempt;
    }
    assert!(retries <= 20 + 200 / 5, "{retries} retries of 200 requests that all fail");
}
