//! Where a session goes on, and what replicas that have just started are sent.
#![allow(missing_docs)]

mod common;

use common::{request, row, settings, World, MS};
use tallypin::api::*;

const SESSION: Option<SessionKey> = Some(SessionKey(11));

/// A whole turn of the session; where it went.
fn turn(w: &mut World, n: u64) -> ReplicaId {
    w.run_to(w.now + 50 * MS);
    let r = Request { session: SESSION, prefix: Some(PrefixKey(1)), ..request(n) };
    let to = World::sent_to(&w.submit(r)).expect("sent");
    w.run_to(w.now + 20 * MS);
    w.first_token(RequestId(n), 0);
    w.end_attempt(RequestId(n), 0, Outcome::Completed);
    to
}

/// As the list tells of a replica.
fn told(w: &mut World, id: ReplicaId, state: EndpointState, last_start: Nanos) {
    let rows = vec![EndpointEntry { state, started_at: last_start, ..row(id.0) }];
    w.update_list(ListUpdate::Delta, rows);
}

/// A session whose home was away for a while, and who it went to meanwhile.
fn moved() -> (World, ReplicaId, ReplicaId) {
    let mut w = World::with_replicas(settings(1, 0), 5, 6);
    let home = (0..20).map(|n| turn(&mut w, n)).last().expect("turns");
    told(&mut w, home, EndpointState::Draining, 0);
    let other = (20..30).map(|n| turn(&mut w, n)).last().expect("turns");
    assert_ne!(home, other);
    told(&mut w, home, EndpointState::Ready, 0);
    (w, home, other)
}

#[test]
fn a_session_goes_on_where_its_last_answer_began() {
    let (mut w, _, other) = moved();
    let stayed = (30..60).filter(|&n| turn(&mut w, n) == other).count();
    assert_eq!(stayed, 30, "its prompt is kept there, and no longer at its home");
}

/// Guards against hundreds of routers that each have a home of their own for a session: what each has seen, some
/// twenty requests and first tokens of two kinds of machines, says little of a beginning's share or a kind's speed.
#[test]
fn routers_that_have_seen_little_agree_on_a_session_s_preferred_replica() {
    let kinds = |n| EndpointEntry { kind: (n % 2) as u32, ..row(n) };
    let mut rng = fastrand::Rng::with_seed(3);
    let mut homes: Vec<Vec<ReplicaId>> = vec![vec![]; 40];
    for me in 0..30 {
        let mut set = settings(30, me);
        set.cross_zone_cost = 0.0;
        set.classes[0].late_value_share = 1.0;
        let mut w = World::new(set, u64::from(me));
        w.update_list(ListUpdate::Cached, (0..60).map(kinds).collect());
        for n in 0..20 {
            w.run_to(w.now + 500 * MS);
            // Few beginnings have most of the traffic.
            let prefix = Some(PrefixKey(40u64.pow(2) / rng.u64(40..1600)));
            w.submit(Request { prefix, session: Some(SessionKey(rng.u64(..))), ..request(n) });
            w.run_to(w.now + rng.u64(10..200) * MS);
            w.first_token(RequestId(n), 0);
            w.run_to(w.now + rng.u64(100..4_000) * MS);
            w.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        for (session, homes) in homes.iter_mut().enumerate() {
            let (n, session) = (100 + session as u64, session as u64);
            let prefix = Some(PrefixKey(session % 20 + 1));
            // It takes 1 s to read.
            let asked = Request { prompt_tokens: 10_000, prefix_tokens: 8_000, prefix, ..request(n) };
            homes.push(
                World::sent_to(&w.submit(Request { session: Some(SessionKey(session)), ..asked }))
                    .expect("sent"),
            );
            w.run_to(w.now + 1_000 * MS);
            w.first_token(RequestId(n), 0);
            w.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
    }
    let most = |homes: &Vec<ReplicaId>| homes.iter().map(|h| homes.iter().filter(|o| *o == h).count()).max();
    let agreed: usize = homes.iter().filter_map(most).sum();
    assert!(agreed > 30 * 40 * 9 / 10, "{agreed} of 1200 turns go where most of the session's would go");
}

/// Guards against kinds that run over beside others that idle: of hundreds of routers each meets a given node once in a
/// minute or two, but a kind of them often enough.
#[test]
fn a_kind_that_queues_is_passed_over_at_replicas_not_sampled_yet() {
    let kinds = |n| EndpointEntry { kind: (n % 2) as u32, ..row(n) };
    let mut set = settings(300, 0);
    set.cross_zone_cost = 0.0;
    let mut w = World::new(set, 3);
    w.update_list(ListUpdate::Cached, (0..100).map(kinds).collect());
    let mut idle = 0;
    for n in 0..40 {
        w.run_to(w.now + 500 * MS);
        let session = Some(SessionKey(n * 31 + 7));
        let r = Request { session, prefix: Some(PrefixKey(n % 5)), prompt_tokens: 1_000, ..request(n) };
        let to = World::sent_to(&w.submit(r)).expect("sent");
        w.run_to(w.now + if to.0 % 2 == 0 { 800 } else { 20 } * MS);
        w.first_token(RequestId(n), 0);
        w.end_attempt(RequestId(n), 0, Outcome::Completed);
        idle += usize::from(n >= 20 && to.0 % 2 == 1);
    }
    assert!(idle >= 18, "{idle} of 20 sessions, each with a home of its own, go to the kind that idles");
}

#[test]
fn a_replica_that_started_again_has_nothing_cached() {
    let (mut w, home, other) = moved();
    let now = w.now;
    told(&mut w, other, EndpointState::Ready, now);
    assert_eq!(turn(&mut w, 30), home, "the life that had read its prompt is over");
}

/// Of 400 requests at a steady rate, how many a replica gets whose age at the first is so much.
fn sent_to_one_of_age(age: Nanos) -> usize {
    let mut w = World::with_replicas(settings(1, 0), 3, 5);
    let now = w.now;
    // The mean flow is known before.
    let mut count = 0;
    for n in 0..800u64 {
        if n == 400 {
            let start = w.now - age;
            told(&mut w, ReplicaId(4), EndpointState::Ready, start);
        }
        w.run_to(now + (n + 1) * 10 * MS);
        let to = World::sent_to(&w.submit(request(n)));
        count += usize::from(n >= 400 && to == Some(ReplicaId(4)));
        if n >= 20 {
            w.first_token(RequestId(n - 20), 0);
            w.end_attempt(RequestId(n - 20), 0, Outcome::Completed);
        }
    }
    count
}

#[test]
fn a_replica_takes_more_the_longer_ago_it_started() {
    let [young, older, nearly] = [0, 3, 6].map(|s| sent_to_one_of_age(s * SECOND));
    assert!(young > 0, "not left out, or nobody would ever bring a beginning there");
    assert!(young < older && older < nearly, "{young}, {older}, {nearly} of 400");
}

/// The module's view of a replica.
fn seen(w: &World, id: ReplicaId) -> tallypin::replica_snapshot::ReplicaSnapshot {
    w.balancer.replica_snapshots(w.now).into_iter().find(|s| s.replica == id).expect("listed as ready")
}

#[test]
fn attempts_of_an_earlier_incarnation_are_not_held_against_the_next() {
    for outcome in [
        Outcome::ConnectionReset,
        Outcome::TimedOut,
        Outcome::ReplicaError,
        Outcome::ConnectionRefused,
        Outcome::Completed,
    ] {
        let mut w = World::with_replicas(settings(1, 0), 5, 1);
        let id = ReplicaId(0);
        (0..8).for_each(|n| drop(w.submit(request(n))));
        (0..4).for_each(|n| drop(w.first_token(RequestId(n), 0)));
        assert!(seen(&w, id).wait_sample_age.is_some() && seen(&w, id).in_flight == 8);
        // The list tells of the restart before the attempts end.
        let now = w.now;
        told(&mut w, id, EndpointState::Ready, now);
        w.run_to(w.now + 100 * MS);
        if outcome == Outcome::Completed {
            w.first_token(RequestId(4), 0);
        }
        for n in 0..5 {
            w.end_attempt(RequestId(n), 0, outcome);
        }
        let after = seen(&w, id);
        assert_eq!((after.ejected_for, after.wait_sample_age), (0, None), "after {outcome:?}");
        assert_eq!(
            (after.decode_rate.factor, after.decode_rate.log_std_dev),
            (1.0, 0.5),
            "after {outcome:?}"
        );
    }
}

/// How many replicas of a fleet so large serve 300 sessions of one beginning, one turn each, nothing else going on, and the
/// most streams that one of them has at once. Streams take 400 ms, so that 40 are under way.
fn serving_one_prefix(replicas: u64) -> (usize, usize) {
    let mut w = World::with_replicas(settings(1, 0), 9, replicas);
    let mut serving = std::collections::BTreeMap::new();
    let (mut under_way, mut most) = (std::collections::VecDeque::new(), 0);
    // The share of the beginning in the traffic is known by then.
    for n in 0..400 {
        w.run_to(w.now + 5 * MS);
        let session = Some(SessionKey(n * 31 + 7));
        let r = Request { session, prefix: Some(PrefixKey(1)), ..request(n) };
        let to = World::sent_to(&w.submit(r)).expect("sent");
        w.run_to(w.now + 5 * MS);
        w.first_token(RequestId(n), 0);
        under_way.push_back(to);
        if under_way.len() > 40 {
            w.end_attempt(RequestId(n - 40), 0, Outcome::Completed);
            under_way.pop_front();
        }
        if n >= 100 {
            *serving.entry(to).or_insert(0) += 1;
            most = most.max(under_way.iter().filter(|r| **r == to).count());
        }
    }
    (serving.len(), most)
}

#[test]
fn a_prefix_too_hot_for_its_preferred_replicas_is_spread_over_more_of_them() {
    let ((small, _), (large, most)) = (serving_one_prefix(10), serving_one_prefix(1_000));
    println!("{small} of 10, {large} of 1000 for 300 sessions, at most {most} streams at once");
    assert!(small <= 10 && large > 80 && most <= 3, "{small} of 10, {large} of 1000, {most} at once");
}

#[test]
fn routers_agree_on_the_preferred_replica_of_a_session() {
    // No word passes between them; each has seen different traffic.
    let mut agree = 0;
    let mut a = World::with_replicas(settings(2, 0), 1, 12);
    let mut b = World::with_replicas(settings(2, 1), 2, 12);
    for n in 0..300 {
        a.serve(request(n));
        b.serve(request(n * 3 + 1000));
    }
    for n in 5000..5200 {
        let (x, y) = (World::sent_to(&a.submit(request(n))), World::sent_to(&b.submit(request(n))));
        agree += u32::from(x == y);
        for w in [&mut a, &mut b] {
            w.first_token(RequestId(n), 0);
            w.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
    }
    assert!(agree > 160, "{agree} of 200 sessions at the same replica");
}

#[test]
fn a_preferred_replica_that_turns_slow_does_not_hold_its_sessions() {
    // Met in rolling deploys with slow replicas: what a home had kept outweighed any wait for it.
    let mut w = World::with_replicas(settings(1, 0), 5, 6);
    let session = Some(SessionKey(11));
    let mut turn = |n: u64, slow: Option<ReplicaId>| {
        // Others' requests keep the waits of all replicas known.
        let of_others = (1..8).map(|k| plain(1000 * k + n));
        let r = Request { session, prompt_tokens: 900, prefix_tokens: 200, ..request(n) };
        let mut to = None;
        for r in of_others.chain([Request { prefix: Some(PrefixKey(1)), ..r }]) {
            w.run_to(w.now + 5 * MS);
            let id = r.id;
            to = World::sent_to(&w.submit(r));
            w.run_to(w.now + if to == slow { 500 } else { 20 } * MS);
            w.first_token(id, 0);
            w.end_attempt(id, 0, Outcome::Completed);
        }
        to.expect("sent")
    };
    let first: Vec<ReplicaId> = (0..60).map(|n| turn(n, None)).collect();
    let home = first[59];
    assert!(first[20..].iter().all(|to| *to == home), "a session stays where its prompt is kept");
    let later = (60..160).map(|n| turn(n, Some(home))).filter(|to| *to == home).count();
    assert!(later < 30, "{later} of 100 still go to the slow home");
}

fn plain(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}
