//! Affinity of sessions and prefixes to replicas, and what replicas are sent after a restart.
#![allow(missing_docs)]

mod common;

use common::{ready_entry, request, test_settings, TestRouter, MS};
use tallypin::api::*;

const SESSION: Option<SessionKey> = Some(SessionKey(11));

/// Runs one turn of the session to its end, and returns the replica it was sent to.
fn turn(router: &mut TestRouter, n: u64) -> ReplicaId {
    router.run_to(router.now + 50 * MS);
    let new_request = Request { session: SESSION, prefix: Some(PrefixKey(1)), ..request(n) };
    let to = TestRouter::sent_to(&router.submit(new_request)).expect("sent");
    router.run_to(router.now + 20 * MS);
    router.first_token(RequestId(n), 0);
    router.end_attempt(RequestId(n), 0, Outcome::Completed);
    to
}

/// Delivers a list change for one replica.
fn update_replica(router: &mut TestRouter, id: ReplicaId, state: EndpointState, started_at: Nanos) {
    let rows = vec![EndpointEntry { state, started_at, ..ready_entry(id.0) }];
    router.update_list(ListUpdate::Delta, rows);
}

/// A router whose session moved while its preferred replica drained: the preferred replica, and the one it moved to.
fn router_with_moved_session() -> (TestRouter, ReplicaId, ReplicaId) {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 6);
    let preferred = (0..20).map(|n| turn(&mut router, n)).last().expect("turns");
    update_replica(&mut router, preferred, EndpointState::Draining, 0);
    let other = (20..30).map(|n| turn(&mut router, n)).last().expect("turns");
    assert_ne!(preferred, other);
    update_replica(&mut router, preferred, EndpointState::Ready, 0);
    (router, preferred, other)
}

#[test]
fn a_session_stays_at_the_replica_that_served_its_last_turn() {
    let (mut router, _, other) = router_with_moved_session();
    let stayed = (30..60).filter(|&n| turn(&mut router, n) == other).count();
    assert_eq!(stayed, 30, "its prompt is cached there and no longer at the preferred replica");
}

/// With hundreds of routers, each one sees little traffic: here 20 requests and first tokens of two kinds of replicas. Such
/// small samples of a prefix's share or a kind's speed must not give each router another preferred replica for a session.
#[test]
fn routers_with_little_traffic_agree_on_a_session_s_preferred_replica() {
    let entry_of_kind = |n| EndpointEntry { kind: (n % 2) as u32, ..ready_entry(n) };
    let mut rng = fastrand::Rng::with_seed(3);
    let mut choices_by_session: Vec<Vec<ReplicaId>> = vec![vec![]; 40];
    for own_index in 0..30 {
        let mut settings = test_settings(30, own_index);
        settings.cross_zone_cost = 0.0;
        settings.classes[0].late_value_share = 1.0;
        let mut router = TestRouter::new(settings, u64::from(own_index));
        router.update_list(ListUpdate::Cached, (0..60).map(entry_of_kind).collect());
        for n in 0..20 {
            router.run_to(router.now + 500 * MS);
            // A few prefixes have most of the traffic.
            let prefix = Some(PrefixKey(40u64.pow(2) / rng.u64(40..1600)));
            router.submit(Request { prefix, session: Some(SessionKey(rng.u64(..))), ..request(n) });
            router.run_to(router.now + rng.u64(10..200) * MS);
            router.first_token(RequestId(n), 0);
            router.run_to(router.now + rng.u64(100..4_000) * MS);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        for (session, choices) in choices_by_session.iter_mut().enumerate() {
            let (n, session) = (100 + session as u64, session as u64);
            let prefix = Some(PrefixKey(session % 20 + 1));
            // The prefill of this prompt takes 1 s.
            let long_request = Request { prompt_tokens: 10_000, prefix_tokens: 8_000, prefix, ..request(n) };
            choices.push(
                TestRouter::sent_to(
                    &router.submit(Request { session: Some(SessionKey(session)), ..long_request }),
                )
                .expect("sent"),
            );
            router.run_to(router.now + 1_000 * MS);
            router.first_token(RequestId(n), 0);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
    }
    let largest_agreement = |choices: &Vec<ReplicaId>| {
        choices.iter().map(|replica| choices.iter().filter(|other| *other == replica).count()).max()
    };
    let agreed: usize = choices_by_session.iter().filter_map(largest_agreement).sum();
    assert!(
        agreed > 30 * 40 * 9 / 10,
        "{agreed} of 1200 turns go to the replica that most routers choose for the session"
    );
}

/// With hundreds of routers, each one samples a given replica only once in a minute or two, but each kind of replicas often.
/// Guards against a queue at all replicas of one kind while those of another kind are idle.
#[test]
fn unsampled_replicas_of_a_kind_that_queues_are_avoided() {
    let entry_of_kind = |n| EndpointEntry { kind: (n % 2) as u32, ..ready_entry(n) };
    let mut settings = test_settings(300, 0);
    settings.cross_zone_cost = 0.0;
    let mut router = TestRouter::new(settings, 3);
    router.update_list(ListUpdate::Cached, (0..100).map(entry_of_kind).collect());
    let mut sent_to_idle_kind = 0;
    for n in 0..40 {
        router.run_to(router.now + 500 * MS);
        let session = Some(SessionKey(n * 31 + 7));
        let new_request =
            Request { session, prefix: Some(PrefixKey(n % 5)), prompt_tokens: 1_000, ..request(n) };
        let to = TestRouter::sent_to(&router.submit(new_request)).expect("sent");
        router.run_to(router.now + if to.0 % 2 == 0 { 800 } else { 20 } * MS);
        router.first_token(RequestId(n), 0);
        router.end_attempt(RequestId(n), 0, Outcome::Completed);
        sent_to_idle_kind += usize::from(n >= 20 && to.0 % 2 == 1);
    }
    assert!(
        sent_to_idle_kind >= 18,
        "{sent_to_idle_kind} of 20 sessions with different preferred replicas go to the idle kind"
    );
}

#[test]
fn a_restarted_replica_has_nothing_cached() {
    let (mut router, preferred, other) = router_with_moved_session();
    let now = router.now;
    update_replica(&mut router, other, EndpointState::Ready, now);
    assert_eq!(turn(&mut router, 30), preferred, "the restart cleared the cached prompt of the session");
}

/// Number of 400 requests at a steady rate that a replica gets which started `age` before the first of them.
fn sent_to_replica_of_age(age: Nanos) -> usize {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 3, 5);
    let now = router.now;
    // The first 400 requests give the router its mean rate per replica.
    let mut count = 0;
    for n in 0..800u64 {
        if n == 400 {
            let started_at = router.now - age;
            update_replica(&mut router, ReplicaId(4), EndpointState::Ready, started_at);
        }
        router.run_to(now + (n + 1) * 10 * MS);
        let to = TestRouter::sent_to(&router.submit(request(n)));
        count += usize::from(n >= 400 && to == Some(ReplicaId(4)));
        if n >= 20 {
            router.first_token(RequestId(n - 20), 0);
            router.end_attempt(RequestId(n - 20), 0, Outcome::Completed);
        }
    }
    count
}

#[test]
fn a_warming_replica_gets_more_requests_the_longer_ago_it_started() {
    let [young, older, nearly] = [0, 3, 6].map(|s| sent_to_replica_of_age(s * SECOND));
    assert!(young > 0, "a cold replica gets some requests, so that its prefix cache fills");
    assert!(
        young < older && older < nearly,
        "{young}, {older} and {nearly} of 400 requests after 0, 3 and 6 s"
    );
}

/// The balancer's snapshot of a replica.
fn snapshot(router: &TestRouter, id: ReplicaId) -> tallypin::replica_snapshot::ReplicaSnapshot {
    router
        .balancer
        .replica_snapshots(router.now)
        .into_iter()
        .find(|s| s.replica == id)
        .expect("the replica is ready")
}

#[test]
fn attempts_at_an_earlier_incarnation_do_not_affect_the_next() {
    for outcome in [
        Outcome::ConnectionReset,
        Outcome::TimedOut,
        Outcome::ReplicaError,
        Outcome::ConnectionRefused,
        Outcome::Completed,
    ] {
        let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 1);
        let id = ReplicaId(0);
        (0..8).for_each(|n| drop(router.submit(request(n))));
        (0..4).for_each(|n| drop(router.first_token(RequestId(n), 0)));
        assert!(snapshot(&router, id).wait_sample_age.is_some() && snapshot(&router, id).in_flight == 8);
        // The restart is in the endpoint list before the attempts end.
        let now = router.now;
        update_replica(&mut router, id, EndpointState::Ready, now);
        router.run_to(router.now + 100 * MS);
        if outcome == Outcome::Completed {
            router.first_token(RequestId(4), 0);
        }
        for n in 0..5 {
            router.end_attempt(RequestId(n), 0, outcome);
        }
        let after = snapshot(&router, id);
        assert_eq!((after.ejected_for, after.wait_sample_age), (0, None), "after {outcome:?}");
        assert_eq!(
            (after.decode_rate.factor, after.decode_rate.log_std_dev),
            (1.0, 0.5),
            "after {outcome:?}"
        );
    }
}

/// Number of replicas that serve 300 sessions with one prefix, one turn each and without other traffic, and the largest
/// number of concurrent streams at one replica. A stream takes 400 ms, so that 40 are in flight.
fn replicas_serving_one_prefix(replicas: u64) -> (usize, usize) {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 9, replicas);
    let mut serving = std::collections::BTreeMap::new();
    let (mut in_flight, mut most_at_once) = (std::collections::VecDeque::new(), 0);
    // The first 100 requests give the router the prefix's share of the traffic.
    for n in 0..400 {
        router.run_to(router.now + 5 * MS);
        let session = Some(SessionKey(n * 31 + 7));
        let new_request = Request { session, prefix: Some(PrefixKey(1)), ..request(n) };
        let to = TestRouter::sent_to(&router.submit(new_request)).expect("sent");
        router.run_to(router.now + 5 * MS);
        router.first_token(RequestId(n), 0);
        in_flight.push_back(to);
        if in_flight.len() > 40 {
            router.end_attempt(RequestId(n - 40), 0, Outcome::Completed);
            in_flight.pop_front();
        }
        if n >= 100 {
            *serving.entry(to).or_insert(0) += 1;
            most_at_once = most_at_once.max(in_flight.iter().filter(|replica| **replica == to).count());
        }
    }
    (serving.len(), most_at_once)
}

#[test]
fn a_hot_prefix_is_spread_over_more_replicas_in_a_larger_fleet() {
    let ((small, _), (large, most_at_once)) =
        (replicas_serving_one_prefix(10), replicas_serving_one_prefix(1_000));
    println!(
        "{small} of 10 replicas, {large} of 1000 serve 300 sessions, at most {most_at_once} streams at once"
    );
    assert!(
        small <= 10 && large > 80 && most_at_once <= 3,
        "{small} of 10 replicas, {large} of 1000, {most_at_once} streams at once"
    );
}

#[test]
fn routers_agree_on_the_preferred_replica_of_a_session() {
    // The routers exchange no messages, and each gets different traffic.
    let mut agree = 0;
    let mut a = TestRouter::with_replicas(test_settings(2, 0), 1, 12);
    let mut b = TestRouter::with_replicas(test_settings(2, 1), 2, 12);
    for n in 0..300 {
        a.serve(request(n));
        b.serve(request(n * 3 + 1000));
    }
    for n in 5000..5200 {
        let (x, y) = (TestRouter::sent_to(&a.submit(request(n))), TestRouter::sent_to(&b.submit(request(n))));
        agree += u32::from(x == y);
        for router in [&mut a, &mut b] {
            router.first_token(RequestId(n), 0);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
    }
    assert!(agree > 160, "{agree} of 200 sessions are sent to the same replica");
}

#[test]
fn sessions_leave_a_preferred_replica_that_becomes_slow() {
    // In rolling deployments with slow replicas, the cached prompt once outweighed any wait for the preferred replica.
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 6);
    let session = Some(SessionKey(11));
    let mut turn = |n: u64, slow: Option<ReplicaId>| {
        // Requests of other sessions keep the waits of all replicas sampled.
        let of_others = (1..8).map(|k| request_without_affinity(1000 * k + n));
        let new_request = Request { session, prompt_tokens: 900, prefix_tokens: 200, ..request(n) };
        let mut to = None;
        for new_request in of_others.chain([Request { prefix: Some(PrefixKey(1)), ..new_request }]) {
            router.run_to(router.now + 5 * MS);
            let id = new_request.id;
            to = TestRouter::sent_to(&router.submit(new_request));
            router.run_to(router.now + if to == slow { 500 } else { 20 } * MS);
            router.first_token(id, 0);
            router.end_attempt(id, 0, Outcome::Completed);
        }
        to.expect("sent")
    };
    let first: Vec<ReplicaId> = (0..60).map(|n| turn(n, None)).collect();
    let preferred = first[59];
    assert!(first[20..].iter().all(|to| *to == preferred), "a session stays where its prompt is cached");
    let later = (60..160).map(|n| turn(n, Some(preferred))).filter(|to| *to == preferred).count();
    assert!(later < 30, "{later} of 100 turns still go to the slow replica");
}

/// A request without a session or a prefix.
fn request_without_affinity(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}
