//! When an attempt is cancelled, hedged or retried.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

fn plain(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}

#[test]
fn a_silent_replica_s_requests_are_hedged_where_others_answer_at_once() {
    for (after, copied) in [(20 * MS, true), (500 * MS, false)] {
        let settings = Settings { concurrent_attempts: true, ..test_settings(1, 0) };
        let mut router = TestRouter::with_replicas(settings, 5, 4);
        for n in 0..200 {
            router.run_to(router.now + 20 * MS);
            router.submit(plain(n));
            router.run_to(router.now + after);
            let begun = router.requests[&RequestId(n)].attempts.len() as u32 - 1;
            router.first_token(RequestId(n), begun);
            router.end_attempt(RequestId(n), begun, Outcome::Completed);
        }
        router.run_to(router.now + MS);
        let id = RequestId(1000);
        let silent = TestRouter::sent_to(&router.submit(plain(1000))).expect("there is room");
        let out = router.run_to(router.now + 900 * MS);
        let second = TestRouter::sent_to(&out);
        assert_eq!(second.is_some(), copied, "where first tokens take {after} ns");
        if copied {
            assert_ne!(second, Some(silent));
            assert!(!out.iter().any(|a| matches!(a, Action::Cancel { .. })), "the first may still be faster");
            router.first_token(id, 1);
            router.end_attempt(id, 1, Outcome::Completed);
            router.end_attempt(id, 0, Outcome::Cancelled);
        }
    }
}

#[test]
fn an_attempt_is_cancelled_only_for_another() {
    let called_off = |replicas: u64, parallel_tries: bool, late_share: f64| {
        let mut settings = Settings { concurrent_attempts: parallel_tries, ..test_settings(1, 0) };
        settings.classes[0].late_value_share = late_share;
        let mut router = TestRouter::with_replicas(settings, 5, replicas);
        router.submit(plain(1));
        let to = router.now + 4 * SECOND;
        let mut out = router.run_to(to);
        out.retain(|a| matches!(a, Action::Cancel { .. }));
        out.len()
    };
    assert_eq!((called_off(1, true, 0.2), called_off(2, true, 0.2)), (0, 1));
    assert_eq!(called_off(1, false, 0.2), 1, "where only one may be out nobody can tell");
    assert_eq!(called_off(1, true, 0.0), 1, "where late answers earn nothing there is nothing to wait for");
}

#[test]
fn retries_come_out_of_a_budget() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 30);
    let mut attempts = 0;
    for n in 0..200 {
        router.submit(plain(n));
        let mut a = 0;
        while TestRouter::sent_to(&router.end_attempt(RequestId(n), a, Outcome::Rejected)).is_some() {
            a += 1;
        }
        attempts += a;
    }
    assert!(attempts <= 20 + 200 / 5, "{attempts} further attempts of 200 requests that all fail");
}
