//! Replicas that fail, hang or refuse connections are ejected and get single half-open checks. Slow replicas are not
//! ejected.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

/// A request without a session or a prefix.
fn request_without_affinity(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}

/// Serves all requests except those sent to `dead`, which does not answer; returns the number sent to `dead`.
fn serve_with_hung_replica(router: &mut TestRouter, dead: ReplicaId, ids: std::ops::Range<u64>) -> usize {
    let mut to_dead = 0;
    for n in ids {
        router.run_to(router.now + 20 * MS);
        let mut actions = router.submit(request_without_affinity(n));
        while let Some(replica) = TestRouter::sent_to(&actions) {
            let id = RequestId(n);
            let attempt = router.requests[&id].attempts.len() as u32 - 1;
            router.run_to(router.now + 20 * MS);
            if replica == dead {
                to_dead += 1;
                router.run_to(router.now + 1200 * MS);
                actions = router.end_attempt(id, attempt, Outcome::Cancelled);
            } else {
                router.first_token(id, attempt);
                actions = router.end_attempt(id, attempt, Outcome::Completed);
            }
        }
    }
    to_dead
}

#[test]
fn a_hung_replica_is_ejected_and_gets_single_half_open_checks() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 8);
    let dead = ReplicaId(2);
    let first_sends = serve_with_hung_replica(&mut router, dead, 0..200);
    let later_sends = serve_with_hung_replica(&mut router, dead, 200..600);
    assert!((1..=8).contains(&first_sends), "{first_sends} attempts until the replica is ejected");
    assert!(later_sends <= 6, "{later_sends} attempts at the ejected replica");
    // The replica answers again. A successful check ends the ejection, and the replica goes through slow start.
    let mut sent_after_recovery = 0;
    for n in 600..2600 {
        router.run_to(router.now + 20 * MS);
        let new_request = request_without_affinity(n);
        if TestRouter::sent_to(&router.submit(new_request)) == Some(dead) {
            sent_after_recovery += 1;
        }
        router.first_token(RequestId(n), 0);
        router.end_attempt(RequestId(n), 0, Outcome::Completed);
    }
    assert!(
        sent_after_recovery > 50,
        "{sent_after_recovery} requests sent to the replica after it answers again"
    );
}

#[test]
fn a_replica_that_fails_every_request_is_ejected_and_one_that_fails_some_is_not() {
    for (every, bounds) in [(1, 3..=30), (4, 60..=400)] {
        let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 5);
        let failing = ReplicaId(2);
        let mut sent_to_failing = 0;
        for n in 0..1000 {
            router.run_to(router.now + 20 * MS);
            let mut actions = router.submit(request_without_affinity(n));
            while let Some(replica) = TestRouter::sent_to(&actions) {
                let id = RequestId(n);
                let attempt = router.requests[&id].attempts.len() as u32 - 1;
                sent_to_failing += u32::from(replica == failing);
                if replica == failing && sent_to_failing % every == 0 {
                    router.run_to(router.now + MS);
                    actions = router.end_attempt(id, attempt, Outcome::ReplicaError);
                } else {
                    router.run_to(router.now + 20 * MS);
                    router.first_token(id, attempt);
                    actions = router.end_attempt(id, attempt, Outcome::Completed);
                }
            }
        }
        assert!(
            bounds.contains(&sent_to_failing),
            "{sent_to_failing} of 1000 requests sent to a replica where one in {every} fails"
        );
    }
}

#[test]
fn a_slow_replica_is_not_treated_as_silent() {
    // An attempt at a replica that answers other requests is not cancelled, however long its prompt takes.
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 1);
    router.submit(request_without_affinity(1));
    for n in 2..20 {
        router.run_to(router.now + 200 * MS);
        router.submit(request_without_affinity(n));
        router.first_token(RequestId(n), 0);
    }
    assert!(!router.actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    // An attempt at a replica that answers no request is cancelled.
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 2);
    router.submit(request_without_affinity(1));
    let actions = router.run_to(router.now + 4 * SECOND);
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
}

#[test]
fn a_refused_connection_ejects_at_once() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 4);
    let dead = TestRouter::sent_to(&router.submit(request_without_affinity(1))).unwrap();
    assert_ne!(
        TestRouter::sent_to(&router.end_attempt(RequestId(1), 0, Outcome::ConnectionRefused)),
        Some(dead)
    );
    for n in 2..100 {
        assert_ne!(TestRouter::sent_to(&router.submit(request_without_affinity(n))), Some(dead));
    }
}

#[test]
fn after_a_zone_fails_the_other_gets_the_requests_and_the_failed_one_half_open_checks() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 8);
    let (mut failed_attempts, mut served) = (0, 0);
    for n in 0..1000 {
        router.run_to(router.now + 20 * MS);
        let (mut actions, mut attempt) = (router.submit(request(n)), 0);
        while let Some(replica) = TestRouter::sent_to(&actions) {
            if router.entries[&replica].zone == ZoneId(1) {
                router.first_token(RequestId(n), attempt);
                actions = router.end_attempt(RequestId(n), attempt, Outcome::Completed);
                served += 1;
            } else {
                failed_attempts += 1;
                router.run_to(router.now + 250 * MS);
                actions = router.end_attempt(RequestId(n), attempt, Outcome::ConnectionRefused);
            }
            attempt += 1;
        }
    }
    assert!(served > 990, "{served} of 1000 served: a few fail before the failed replicas are ejected");
    // Each of the four failed replicas is checked at intervals of 3, 6, 12 and 24 s: at most four attempts in the 20 s of the
    // requests and the time of the failed attempts.
    assert!(failed_attempts <= 4 * 4, "{failed_attempts} attempts at failed replicas");
}

#[test]
fn if_all_replicas_look_failed_requests_are_still_sent() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 4);
    for n in 0..40 {
        router.run_to(router.now + 100 * MS);
        if TestRouter::sent_to(&router.submit(request_without_affinity(n))).is_some() {
            let mut attempt = 0;
            while TestRouter::sent_to(&router.end_attempt(RequestId(n), attempt, Outcome::ConnectionRefused))
                .is_some()
            {
                attempt += 1;
            }
        }
    }
    router.run_to(router.now + 300 * MS); // the next report period counts the ejected replicas
    assert!(
        TestRouter::sent_to(&router.submit(request_without_affinity(99))).is_some(),
        "if all replicas look failed, the router's own view is suspect"
    );
}
