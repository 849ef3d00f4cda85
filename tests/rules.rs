//! Checks the four rules under random valid event orders, with all kinds of effects. The checks are in
//! `common::TestRouter`, which sees only the events and actions of the balancer.
#![allow(missing_docs)]

mod common;

use common::*;
use fastrand::Rng;
use tallypin::api::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Completed,
    Outcome::ReplicaError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectionRefused,
    Outcome::ConnectionReset,
    Outcome::NotSent,
];

/// A router with random settings and replicas.
fn random_router(rng: &mut Rng, case: u32) -> TestRouter {
    let mut settings = test_settings(4, case % 4);
    let effects = [
        Effect::Idempotent,
        Effect::NotIdempotent,
        Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, window: 2 * SECOND },
        Effect::IdempotentByKey { scope: DeduplicationScope::Zone, window: SECOND },
        Effect::IdempotentByKey { scope: DeduplicationScope::Cell, window: 300 * MS },
    ];
    let class = settings.classes[0].clone();
    settings.classes = effects.iter().map(|&effect| Class { effect, ..class.clone() }).collect();
    settings.concurrent_attempts = rng.bool();
    settings.can_cancel = rng.bool();
    settings.max_attempts = rng.u32(1..5);
    if rng.u8(..4) == 0 {
        settings.tenants.clear();
    } else if rng.bool() {
        settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 50.0 }];
    }
    TestRouter::with_replicas(settings, rng.u64(..), rng.u64(1..12))
}

/// Advances the time and delivers a random event.
fn step(router: &mut TestRouter, rng: &mut Rng, last_id: &mut u64) {
    router.run_to(router.now + rng.u64(..100) * MS);
    // Ends the attempts whose timeout has passed without a first token.
    let timed_out: Vec<(RequestId, u32)> = open_attempts(router)
        .into_iter()
        .filter(|&(id, attempt)| is_timed_out(router, id, attempt))
        .collect();
    for (id, attempt) in timed_out {
        router.end_attempt(id, attempt, Outcome::TimedOut);
    }
    match rng.u8(..10) {
        0..=3 => {
            let request = random_request(rng, last_id);
            router.submit(request);
        }
        4..=5 => {
            if let Some((id, attempt)) = random_waiting_attempt(router, rng) {
                router.first_token(id, attempt);
            }
        }
        6..=7 => {
            if let Some((id, attempt)) = random_waiting_attempt(router, rng) {
                let outcome = OUTCOMES[rng.usize(..OUTCOMES.len())];
                router.end_attempt(id, attempt, outcome);
            }
        }
        8 => {
            let mut entry = ready_entry(rng.u64(..14));
            entry.state =
                [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone][rng.usize(..3)];
            entry.started_at = if rng.bool() { router.now - rng.u64(..12) * SECOND } else { 0 };
            let kind = if rng.u8(..8) == 0 { ListUpdate::Full } else { ListUpdate::Delta };
            router.update_list(kind, vec![entry]);
        }
        _ => deliver_rare_event(router, rng, *last_id),
    }
}

/// A new request with random fields.
fn random_request(rng: &mut Rng, last_id: &mut u64) -> Request {
    *last_id += 1;
    let mut request = request(*last_id);
    request.class = ClassId(rng.u32(..6)); // class 5 is not in the settings
    request.tenant = TenantId(rng.u32(..3));
    request.time_left = rng.u64(..4) * SECOND + 1;
    request.resumes_stream = rng.u8(..10) == 0;
    if rng.u8(..5) == 0 {
        (request.prefix, request.session) = (None, None);
    }
    request
}

/// Delivers a rare event: a client that leaves, a random message of a peer, or events of unknown requests and timers.
fn deliver_rare_event(router: &mut TestRouter, rng: &mut Rng, last_id: u64) {
    match rng.u8(..3) {
        0 => {
            // The request may be over or unknown.
            let id = RequestId(rng.u64(..last_id + 2));
            if let Some(tracked) = router.requests.get_mut(&id) {
                tracked.is_over = true;
                tracked.answers = tracked.answers.max(1);
            }
            router.handle(Event::ClientLeft(id));
        }
        1 => {
            let bytes = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
            router.handle(Event::PeerMessage { from: PeerId(rng.u32(..6)), bytes });
        }
        _ => {
            // Events of an unknown request and of a random timer.
            let request = RequestId(u64::MAX);
            router.handle(Event::FirstToken { request, attempt: 9, elapsed: 1 });
            router.handle(Event::Timer(rng.u64(..9)));
        }
    }
}

/// Attempts that have not ended.
fn open_attempts(router: &TestRouter) -> Vec<(RequestId, u32)> {
    let mut open = vec![];
    for (id, tracked) in &router.requests {
        for (index, attempt) in tracked.attempts.iter().enumerate() {
            if attempt.outcome.is_none() {
                open.push((*id, index as u32));
            }
        }
    }
    open
}

/// Whether the timeout of an attempt has passed without a first token.
fn is_timed_out(router: &TestRouter, id: RequestId, attempt: u32) -> bool {
    let sent = &router.requests[&id].attempts[attempt as usize];
    !sent.has_first_token && router.now >= sent.sent_at + sent.timeout
}

/// A random open attempt without a first token.
fn random_waiting_attempt(router: &TestRouter, rng: &mut Rng) -> Option<(RequestId, u32)> {
    let waiting: Vec<_> = open_attempts(router)
        .into_iter()
        .filter(|&(id, attempt)| !router.requests[&id].attempts[attempt as usize].has_first_token)
        .collect();
    if waiting.is_empty() {
        return None;
    }
    Some(waiting[rng.usize(..waiting.len())])
}

#[test]
fn random_event_orders_keep_the_rules() {
    for case in 0..200 {
        let mut rng = Rng::with_seed(u64::from(case));
        let mut router = random_router(&mut rng, case);
        let mut last_id = 0;
        for _ in 0..400 {
            step(&mut router, &mut rng, &mut last_id);
        }
        // Ends all open attempts. Afterwards every request must have had exactly one answer.
        for _ in 0..10 {
            for (id, attempt) in open_attempts(&router) {
                let outcome = if router.requests[&id].attempts[attempt as usize].has_first_token {
                    Outcome::Completed
                } else {
                    Outcome::TimedOut
                };
                router.end_attempt(id, attempt, outcome);
            }
        }
        for (id, tracked) in &router.requests {
            let stream_broke = tracked
                .attempts
                .iter()
                .any(|sent| sent.has_first_token && sent.outcome != Some(Outcome::Completed));
            assert!(
                tracked.answers == 1 || (stream_broke && tracked.is_over),
                "case {case}: {id:?} has {} answers",
                tracked.answers
            );
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rng = Rng::with_seed(7);
        let mut router = random_router(&mut rng, 1);
        let mut last_id = 0;
        for _ in 0..600 {
            step(&mut router, &mut rng, &mut last_id);
        }
        router.actions
    };
    assert!(run() == run());
}

#[test]
fn an_effect_that_may_have_run_is_neither_repeated_nor_rejected() {
    let mut settings = test_settings(1, 0);
    settings.classes[0].effect = Effect::NotIdempotent;
    let mut router = TestRouter::with_replicas(settings, 1, 4);
    router.submit(request(1));
    let actions = router.end_attempt(RequestId(1), 0, Outcome::TimedOut);
    assert_eq!(actions, vec![Action::Fail(RequestId(1))]);
    // A rejected attempt has never run, so the request gets another attempt.
    router.submit(request(2));
    assert!(TestRouter::sent_to(&router.end_attempt(RequestId(2), 0, Outcome::Rejected)).is_some());
}

/// Guards against a repeat that is sent within the deduplication window and arrives after it.
#[test]
fn a_repeat_leaves_time_for_its_write_within_the_window() {
    for (end, repeats) in [(840 * MS, true), (860 * MS, false)] {
        let mut settings = test_settings(1, 0);
        settings.classes[0].effect =
            Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, window: SECOND };
        let mut router = TestRouter::with_replicas(settings, 1, 4);
        router.submit(Request { time_left: 4 * SECOND, ..request(1) });
        router.run_to(router.now + end);
        let actions = router.end_attempt(RequestId(1), 0, Outcome::ConnectionReset);
        assert_eq!(
            TestRouter::sent_to(&actions).is_some(),
            repeats,
            "{} ms after the send: {actions:?}",
            end / MS
        );
    }
}

#[test]
fn draining_and_removed_replicas_get_no_requests_after_the_list_update() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 1, 3);
    let draining = |n| EndpointEntry { state: EndpointState::Draining, ..ready_entry(n) };
    router.update_list(ListUpdate::Delta, vec![draining(0)]);
    router.update_list(ListUpdate::Full, vec![ready_entry(1), draining(0)]); // replica 2 is missing, so it is removed
    for n in 0..50 {
        assert_eq!(TestRouter::sent_to(&router.submit(request(n))), Some(ReplicaId(1)));
    }
    router.update_list(ListUpdate::Full, vec![]);
    assert!(
        TestRouter::retry_after_of(&router.submit(request(99))).is_some(),
        "a request is rejected if the list is empty"
    );
}

#[test]
fn warming_replicas_get_no_more_than_their_share_from_all_routers_together() {
    // 20 routers with uneven traffic: the first has ten times the traffic of the others.
    let router_count = 20;
    let (replicas, initial_capacity_share) = (10, 0.2);
    let mut routers: Vec<TestRouter> = (0..router_count)
        .map(|index| {
            TestRouter::with_replicas(test_settings(router_count, index), u64::from(index), replicas)
        })
        .collect();
    let mut id = 0;
    let mut sends_in = |routers: &mut Vec<TestRouter>, from: Nanos, duration_ms: u64| {
        let (mut sent_to_cold, mut sent) = (0.0, 0.0);
        for step in 0..duration_ms / 10 {
            for (index, router) in routers.iter_mut().enumerate() {
                router.run_to(from + step * 10 * MS);
                let count = if index == 0 { 10 } else { u64::from(step % 10 == index as u64 % 10) * 10 };
                for _ in 0..count {
                    id += 1;
                    // The requests have no affinity, so the cold replica ranks like any other.
                    let new_request =
                        Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) };
                    if let Some(replica) = TestRouter::sent_to(&router.submit(new_request)) {
                        sent += 1.0;
                        sent_to_cold += f64::from(u8::from(replica == ReplicaId(4)));
                        router.first_token(RequestId(id), 0);
                        router.end_attempt(RequestId(id), 0, Outcome::Completed);
                    }
                }
            }
        }
        (sent_to_cold, sent)
    };
    let start = SECOND * 1000;
    sends_in(&mut routers, start, 6000);
    let restart_known_at = start + 6 * SECOND;
    for router in &mut routers {
        router.run_to(restart_known_at);
        router.update_list(
            ListUpdate::Delta,
            vec![EndpointEntry { started_at: restart_known_at - SECOND, ..ready_entry(4) }],
        );
    }
    let (sent_to_cold, sent) = sends_in(&mut routers, restart_known_at, 2000);
    // The allowed multiple of the mean rate per replica, times the mean capacity share in these 2 s, with a margin for chance.
    // The mean rate is only a part of the capacity of a warm replica.
    let capacity_share = initial_capacity_share + (1.0 - initial_capacity_share) * 0.2;
    let allowed = sent / replicas as f64 * capacity_share * 2.5 + f64::from(router_count);
    assert!(
        sent_to_cold > 0.0 && sent_to_cold < allowed,
        "{sent_to_cold} of {sent} requests sent to the cold replica, {allowed} allowed"
    );
}
