//! Replicas that fail, hang or refuse connections are left out, and get single half-open checks; slow ones
//! are not.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

fn plain(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}

/// Serves everything but what goes to `dead`, which answers nothing; returns what `dead` was sent.
fn serve_around(router: &mut TestRouter, dead: ReplicaId, ids: std::ops::Range<u64>) -> usize {
    let mut to_dead = 0;
    for n in ids {
        router.run_to(router.now + 20 * MS);
        let mut out = router.submit(plain(n));
        while let Some(to) = TestRouter::sent_to(&out) {
            let id = RequestId(n);
            let a = router.requests[&id].attempts.len() as u32 - 1;
            router.run_to(router.now + 20 * MS);
            if to == dead {
                to_dead += 1;
                router.run_to(router.now + 1200 * MS);
                out = router.end_attempt(id, a, Outcome::Cancelled);
            } else {
                router.first_token(id, a);
                out = router.end_attempt(id, a, Outcome::Completed);
            }
        }
    }
    to_dead
}

#[test]
fn a_hung_replica_is_ejected_and_gets_single_half_open_checks() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 8);
    let dead = ReplicaId(2);
    let first = serve_around(&mut router, dead, 0..200);
    let then = serve_around(&mut router, dead, 200..600);
    assert!((1..=8).contains(&first), "{first} until it was known");
    assert!(then <= 6, "{then} single trials later");
    // It answers again: the trial brings it back, slowly, as if cold.
    let mut back = 0;
    for n in 600..2600 {
        router.run_to(router.now + 20 * MS);
        let r = plain(n);
        if TestRouter::sent_to(&router.submit(r)) == Some(dead) {
            back += 1;
        }
        router.first_token(RequestId(n), 0);
        router.end_attempt(RequestId(n), 0, Outcome::Completed);
    }
    assert!(back > 50, "{back} once it answers");
}

#[test]
fn a_replica_that_fails_all_it_gets_is_ejected_and_one_that_fails_some_is_not() {
    for (every, bounds) in [(1, 3..=30), (4, 60..=400)] {
        let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 5);
        let failing = ReplicaId(2);
        let mut got = 0;
        for n in 0..1000 {
            router.run_to(router.now + 20 * MS);
            let mut out = router.submit(plain(n));
            while let Some(to) = TestRouter::sent_to(&out) {
                let id = RequestId(n);
                let a = router.requests[&id].attempts.len() as u32 - 1;
                got += u32::from(to == failing);
                if to == failing && got % every == 0 {
                    router.run_to(router.now + MS);
                    out = router.end_attempt(id, a, Outcome::ReplicaError);
                } else {
                    router.run_to(router.now + 20 * MS);
                    router.first_token(id, a);
                    out = router.end_attempt(id, a, Outcome::Completed);
                }
            }
        }
        assert!(bounds.contains(&got), "{got} of 1000 where one in {every} fails");
    }
}

#[test]
fn slowness_is_not_silence() {
    // A replica that answers others meanwhile is not called off, however long one prompt takes.
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 1);
    router.submit(plain(1));
    for n in 2..20 {
        router.run_to(router.now + 200 * MS);
        router.submit(plain(n));
        router.first_token(RequestId(n), 0);
    }
    assert!(!router.actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
    // One that says nothing to anyone is.
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 2);
    router.submit(plain(1));
    let out = router.run_to(router.now + 4 * SECOND);
    assert!(out.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
}

#[test]
fn a_refused_connection_ejects_at_once() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 4);
    let dead = TestRouter::sent_to(&router.submit(plain(1))).unwrap();
    assert_ne!(
        TestRouter::sent_to(&router.end_attempt(RequestId(1), 0, Outcome::ConnectionRefused)),
        Some(dead)
    );
    for n in 2..100 {
        assert_ne!(TestRouter::sent_to(&router.submit(plain(n))), Some(dead));
    }
}

#[test]
fn when_a_zone_is_lost_the_other_gets_the_work_and_the_lost_one_half_open_checks() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 8);
    let (mut lost, mut served) = (0, 0);
    for n in 0..1000 {
        router.run_to(router.now + 20 * MS);
        let (mut out, mut a) = (router.submit(request(n)), 0);
        while let Some(to) = TestRouter::sent_to(&out) {
            if router.entries[&to].zone == ZoneId(1) {
                router.first_token(RequestId(n), a);
                out = router.end_attempt(RequestId(n), a, Outcome::Completed);
                served += 1;
            } else {
                lost += 1;
                router.run_to(router.now + 250 * MS);
                out = router.end_attempt(RequestId(n), a, Outcome::ConnectionRefused);
            }
            a += 1;
        }
    }
    assert!(served > 990, "{served} of 1000: the first ones meet the lost before they are known");
    // Four of them, tried again 3, 6, 12, then 24 s later, over the 20 s and what the attempts took.
    assert!(lost <= 4 * 4, "{lost} attempts at replicas that are lost");
}

#[test]
fn if_most_look_bad_the_rest_are_not_overloaded() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 4);
    for n in 0..40 {
        router.run_to(router.now + 100 * MS);
        if TestRouter::sent_to(&router.submit(plain(n))).is_some() {
            let mut a = 0;
            while TestRouter::sent_to(&router.end_attempt(RequestId(n), a, Outcome::ConnectionRefused))
                .is_some()
            {
                a += 1;
            }
        }
    }
    router.run_to(router.now + 300 * MS); // the next tick counts the ejected
    assert!(
        TestRouter::sent_to(&router.submit(plain(99))).is_some(),
        "all look bad: suspect the own view, go on"
    );
}
