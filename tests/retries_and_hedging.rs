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
        let set = Settings { concurrent_attempts: true, ..settings(1, 0) };
        let mut w = World::with_replicas(set, 5, 4);
        for n in 0..200 {
            w.run_to(w.now + 20 * MS);
            w.submit(plain(n));
            w.run_to(w.now + after);
            let begun = w.requests[&RequestId(n)].attempts.len() as u32 - 1;
            w.first_token(RequestId(n), begun);
            w.end_attempt(RequestId(n), begun, Outcome::Completed);
        }
        w.run_to(w.now + MS);
        let id = RequestId(1000);
        let silent = World::sent_to(&w.submit(plain(1000))).expect("there is room");
        let out = w.run_to(w.now + 900 * MS);
        let second = World::sent_to(&out);
        assert_eq!(second.is_some(), copied, "where first tokens take {after} ns");
        if copied {
            assert_ne!(second, Some(silent));
            assert!(!out.iter().any(|a| matches!(a, Action::Cancel { .. })), "the first may still be faster");
            w.first_token(id, 1);
            w.end_attempt(id, 1, Outcome::Completed);
            w.end_attempt(id, 0, Outcome::Cancelled);
        }
    }
}

#[test]
fn an_attempt_is_cancelled_only_for_another() {
    let called_off = |replicas: u64, parallel_tries: bool, late_share: f64| {
        let mut set = Settings { concurrent_attempts: parallel_tries, ..settings(1, 0) };
        set.classes[0].late_value_share = late_share;
        let mut w = World::with_replicas(set, 5, replicas);
        w.submit(plain(1));
        let to = w.now + 4 * SECOND;
        let mut out = w.run_to(to);
        out.retain(|a| matches!(a, Action::Cancel { .. }));
        out.len()
    };
    assert_eq!((called_off(1, true, 0.2), called_off(2, true, 0.2)), (0, 1));
    assert_eq!(called_off(1, false, 0.2), 1, "where only one may be out nobody can tell");
    assert_eq!(called_off(1, true, 0.0), 1, "where late answers earn nothing there is nothing to wait for");
}

#[test]
fn retries_come_out_of_a_budget() {
    let mut w = World::with_replicas(settings(1, 0), 5, 30);
    let mut attempts = 0;
    for n in 0..200 {
        w.submit(plain(n));
        let mut a = 0;
        while World::sent_to(&w.end_attempt(RequestId(n), a, Outcome::Rejected)).is_some() {
            a += 1;
        }
        attempts += a;
    }
    assert!(attempts <= 20 + 200 / 5, "{attempts} further attempts of 200 requests that all fail");
}
