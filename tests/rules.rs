//! The four rules under random legal event orders, with all kinds of effects. The checks stand in
//! `common::World`, which knows only what the outside sees.
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

fn step(router: &mut TestRouter, rng: &mut Rng, next: &mut u64) {
    router.run_to(router.now + rng.u64(..100) * MS);
    // Attempts past their time end as the world ends them.
    let late: Vec<(RequestId, u32)> =
        open(router).into_iter().filter(|&(id, a)| due(router, id, a)).collect();
    for (id, a) in late {
        router.end_attempt(id, a, Outcome::TimedOut);
    }
    match rng.u8(..10) {
        0..=3 => {
            let request = any_request(rng, next);
            router.submit(request);
        }
        4..=5 => {
            if let Some((id, a)) = any(router, rng) {
                router.first_token(id, a);
            }
        }
        6..=7 => {
            if let Some((id, a)) = any(router, rng) {
                let outcome = OUTCOMES[rng.usize(..OUTCOMES.len())];
                router.end_attempt(id, a, outcome);
            }
        }
        8 => {
            let mut r = ready_entry(rng.u64(..14));
            r.state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone][rng.usize(..3)];
            r.started_at = if rng.bool() { router.now - rng.u64(..12) * SECOND } else { 0 };
            let kind = if rng.u8(..8) == 0 { ListUpdate::Full } else { ListUpdate::Delta };
            router.update_list(kind, vec![r]);
        }
        _ => step_oddly(router, rng, *next),
    }
}

/// A new request of any kind.
fn any_request(rng: &mut Rng, next: &mut u64) -> Request {
    *next += 1;
    let mut r = request(*next);
    r.class = ClassId(rng.u32(..6)); // one of them out of range
    r.tenant = TenantId(rng.u32(..3));
    r.time_left = rng.u64(..4) * SECOND + 1;
    r.resumes_stream = rng.u8(..10) == 0;
    if rng.u8(..5) == 0 {
        (r.prefix, r.session) = (None, None);
    }
    r
}

/// What is rare: a client that leaves, a message, nonsense.
fn step_oddly(router: &mut TestRouter, rng: &mut Rng, next: u64) {
    match rng.u8(..3) {
        0 => {
            // The client leaves; also for requests long over, and for ones never seen.
            let id = RequestId(rng.u64(..next + 2));
            if let Some(k) = router.requests.get_mut(&id) {
                k.is_over = true;
                k.answers = k.answers.max(1);
            }
            router.handle(Event::ClientLeft(id));
        }
        1 => {
            let bytes = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
            router.handle(Event::PeerMessage { from: PeerId(rng.u32(..6)), bytes });
        }
        _ => {
            // Nonsense about a request that never was.
            let request = RequestId(u64::MAX);
            router.handle(Event::FirstToken { request, attempt: 9, elapsed: 1 });
            router.handle(Event::Timer(rng.u64(..9)));
        }
    }
}

fn open(router: &TestRouter) -> Vec<(RequestId, u32)> {
    let mut all = vec![];
    for (id, k) in &router.requests {
        for (a, s) in k.attempts.iter().enumerate() {
            if s.outcome.is_none() {
                all.push((*id, a as u32));
            }
        }
    }
    all
}

fn due(router: &TestRouter, id: RequestId, a: u32) -> bool {
    let s = &router.requests[&id].attempts[a as usize];
    !s.has_first_token && router.now >= s.sent_at + s.timeout
}

fn any(router: &TestRouter, rng: &mut Rng) -> Option<(RequestId, u32)> {
    let all: Vec<_> = open(router)
        .into_iter()
        .filter(|&(id, a)| !router.requests[&id].attempts[a as usize].has_first_token)
        .collect();
    if all.is_empty() {
        return None;
    }
    Some(all[rng.usize(..all.len())])
}

#[test]
fn random_orders_keep_the_rules() {
    for case in 0..200 {
        let mut rng = Rng::with_seed(u64::from(case));
        let mut router = random_router(&mut rng, case);
        let mut next = 0;
        for _ in 0..400 {
            step(&mut router, &mut rng, &mut next);
        }
        // Everything out ends; then every request must have had its one answer.
        for _ in 0..10 {
            for (id, a) in open(&router) {
                let outcome = if router.requests[&id].attempts[a as usize].has_first_token {
                    Outcome::Completed
                } else {
                    Outcome::TimedOut
                };
                router.end_attempt(id, a, outcome);
            }
        }
        for (id, k) in &router.requests {
            let broken =
                k.attempts.iter().any(|s| s.has_first_token && s.outcome != Some(Outcome::Completed));
            assert!(k.answers == 1 || (broken && k.is_over), "case {case}: {id:?} has {} answers", k.answers);
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rng = Rng::with_seed(7);
        let mut router = random_router(&mut rng, 1);
        let mut next = 0;
        for _ in 0..600 {
            step(&mut router, &mut rng, &mut next);
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
    let out = router.end_attempt(RequestId(1), 0, Outcome::TimedOut);
    assert_eq!(out, vec![Action::Fail(RequestId(1))]);
    // Proved never to have run: another attempt.
    router.submit(request(2));
    assert!(TestRouter::sent_to(&router.end_attempt(RequestId(2), 0, Outcome::Rejected)).is_some());
}

/// Guards against a repeat that is decided on within the window and arrives after it.
#[test]
fn a_repeat_leaves_time_for_its_write_within_the_window() {
    for (end, repeats) in [(840 * MS, true), (860 * MS, false)] {
        let mut settings = test_settings(1, 0);
        settings.classes[0].effect =
            Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, window: SECOND };
        let mut router = TestRouter::with_replicas(settings, 1, 4);
        router.submit(Request { time_left: 4 * SECOND, ..request(1) });
        router.run_to(router.now + end);
        let out = router.end_attempt(RequestId(1), 0, Outcome::ConnectionReset);
        assert_eq!(TestRouter::sent_to(&out).is_some(), repeats, "{} ms after the send: {out:?}", end / MS);
    }
}

#[test]
fn draining_and_gone_replicas_get_nothing_from_the_list_update_on() {
    let mut router = TestRouter::with_replicas(test_settings(1, 0), 1, 3);
    let draining = |n| EndpointEntry { state: EndpointState::Draining, ..ready_entry(n) };
    router.update_list(ListUpdate::Delta, vec![draining(0)]);
    router.update_list(ListUpdate::Full, vec![ready_entry(1), draining(0)]); // 2 is absent: gone
    for n in 0..50 {
        assert_eq!(TestRouter::sent_to(&router.submit(request(n))), Some(ReplicaId(1)));
    }
    router.update_list(ListUpdate::Full, vec![]);
    assert!(TestRouter::retry_after_of(&router.submit(request(99))).is_some(), "an empty list is answered");
}

#[test]
fn warming_replicas_get_no_more_than_their_share_from_all_routers_together() {
    // 20 routers, very uneven: the first has ten times the traffic of the others.
    let n = 20;
    let (replicas, cold_share) = (10, 0.2);
    let mut routers: Vec<TestRouter> =
        (0..n).map(|g| TestRouter::with_replicas(test_settings(n, g), u64::from(g), replicas)).collect();
    let mut id = 0;
    let mut sends_in = |routers: &mut Vec<TestRouter>, from: Nanos, ms: u64| {
        let (mut cold, mut all) = (0.0, 0.0);
        for t in 0..ms / 10 {
            for (g, router) in routers.iter_mut().enumerate() {
                router.run_to(from + t * 10 * MS);
                let many = if g == 0 { 10 } else { u64::from(t % 10 == g as u64 % 10) * 10 };
                for _ in 0..many {
                    id += 1;
                    // Nothing draws these to any one replica, so the cold one is as good as any.
                    let r = Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) };
                    if let Some(to) = TestRouter::sent_to(&router.submit(r)) {
                        all += 1.0;
                        cold += f64::from(u8::from(to == ReplicaId(4)));
                        router.first_token(RequestId(id), 0);
                        router.end_attempt(RequestId(id), 0, Outcome::Completed);
                    }
                }
            }
        }
        (cold, all)
    };
    let start = SECOND * 1000;
    sends_in(&mut routers, start, 6000);
    let told = start + 6 * SECOND;
    for router in &mut routers {
        router.run_to(told);
        router.update_list(
            ListUpdate::Delta,
            vec![EndpointEntry { started_at: told - SECOND, ..ready_entry(4) }],
        );
    }
    let (cold, all) = sends_in(&mut routers, told, 2000);
    // The rule's multiple of the mean flow per replica, times the mean warm share of these 2 s, with slack for chance: the
    // mean flow is a part of what the replica can do when warm.
    let share = cold_share + (1.0 - cold_share) * 0.2;
    let most = all / replicas as f64 * share * 2.5 + f64::from(n);
    assert!(cold > 0.0 && cold < most, "{cold} of {all} to the cold one, at most {most}");
}
