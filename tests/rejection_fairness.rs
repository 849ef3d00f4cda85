//! Fairness of rejections under overload. A tenant's bucket rejects what exceeds its quota, whatever the requests are.
//! Beyond that a request is rejected only if no candidate would give its first token within the latency objective, which
//! grows with the prompt. Class, prompt length and session have no other influence.

mod common;

use std::collections::BTreeMap;

use common::*;
use tallypin::api::*;

const REPLICAS: u64 = 6;
/// Prompt tokens that a replica prefills per second, one prompt after the other.
const PREFILL_TOKENS_PER_S: u64 = 8_000;

/// A router with replicas that prefill prompts one after the other.
struct SimulatedFleet {
    router: TestRouter,
    /// Time at which each replica has prefilled all prompts that it was sent.
    prefilled_by: Vec<Nanos>,
    /// First tokens and ends of streams to come: time, request, attempt, and whether it has its first token.
    pending: Vec<(Nanos, RequestId, u32, bool)>,
    /// Time to first token of each request that got one.
    first_tokens: BTreeMap<RequestId, Nanos>,
}

impl SimulatedFleet {
    /// Simulates the effects of the router's actions.
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, replica, .. } => {
                    let tracked = &self.router.requests[&request];
                    let (attempt, tokens) =
                        (tracked.attempts.len() as u32 - 1, u64::from(tracked.request.prompt_tokens));
                    let prefilled_at = &mut self.prefilled_by[replica.0 as usize];
                    *prefilled_at =
                        self.router.now.max(*prefilled_at) + tokens * SECOND / PREFILL_TOKENS_PER_S;
                    self.pending.push((*prefilled_at, request, attempt, false));
                }
                // A prompt that is cancelled while it waits is prefilled all the same, so a queue costs its full time.
                Action::Cancel { request, attempt } => {
                    self.pending.retain(|event| (event.1, event.2) != (request, attempt));
                    let actions = self.router.end_attempt(request, attempt, Outcome::Cancelled);
                    self.apply(actions);
                }
                _ => {}
            }
        }
    }

    /// Advances the clock to `to` and delivers the first tokens and ends that are due by then.
    fn run_to(&mut self, to: Nanos) {
        loop {
            self.pending.sort_unstable();
            let next_timer = self.router.timers.iter().map(|timer| timer.0).min();
            let next_pending = self.pending.first().map(|event| event.0);
            let at = [next_timer, next_pending].into_iter().flatten().min().filter(|at| *at <= to);
            let Some(at) = at else { break };
            let actions = self.router.run_to(at);
            self.apply(actions);
            if next_pending != Some(at) || self.pending.first().is_none_or(|event| event.0 != at) {
                continue;
            }
            let (_, id, attempt, has_first_token) = self.pending.remove(0);
            let tracked = &self.router.requests[&id];
            if tracked.is_over && !has_first_token || tracked.attempts[attempt as usize].outcome.is_some() {
                continue;
            }
            if has_first_token {
                self.router.end_attempt(id, attempt, Outcome::Completed);
            } else {
                self.first_tokens.insert(id, at - (tracked.deadline - tracked.request.time_left));
                self.router.first_token(id, attempt);
                self.pending.push((at + SECOND / 2, id, attempt, true));
            }
        }
        let actions = self.router.run_to(to);
        self.apply(actions);
    }
}

/// Requests of a run, and the times to first token of those that got one.
struct Run {
    requests: BTreeMap<RequestId, Request>,
    first_tokens: BTreeMap<RequestId, Nanos>,
}

impl Run {
    /// Share of the requests selected by `selects` that got a first token.
    fn served_share(&self, selects: impl Fn(RequestId, &Request) -> bool) -> f64 {
        let selected: Vec<_> = self.requests.iter().filter(|(id, r)| selects(**id, r)).collect();
        let served = selected.iter().filter(|(id, _)| self.first_tokens.contains_key(id)).count();
        served as f64 / selected.len() as f64
    }

    /// Prompt length that `part` of the requests selected by `selects` are below.
    fn quantile(&self, selects: impl Fn(&Request) -> bool, part: f64) -> u32 {
        let mut lengths: Vec<u32> =
            self.requests.values().filter(|r| selects(r)).map(|r| r.prompt_tokens).collect();
        lengths.sort_unstable();
        lengths[(lengths.len() as f64 * part) as usize]
    }
}

/// Simulates a minute with `per_second` requests a second, of which the fleet can prefill 16. At 32 a second the smallest
/// tenant sends more than twice its quota, the others little more than theirs.
fn simulate(seed: u64, per_second: f64) -> Run {
    let mut settings = test_settings(1, 0);
    settings.tenants = [12.0, 8.0, 4.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
    let first_class = settings.classes[0].clone();
    settings.classes.push(Class { latency_objective: 1_500 * MS, priority_weight: 5.0, ..first_class });
    settings.concurrent_attempts = true;
    let mut rng = fastrand::Rng::with_seed(seed);
    let router = TestRouter::with_replicas(settings, seed, REPLICAS);
    let (start, mut now) = (router.now, router.now);
    let prefilled_by = vec![0; REPLICAS as usize];
    let mut fleet = SimulatedFleet { router, prefilled_by, pending: vec![], first_tokens: BTreeMap::new() };
    let (mut n, mut requests) = (0, BTreeMap::new());
    while now < start + 60 * SECOND {
        now += (-(1.0 - rng.f64()).ln() * SECOND as f64 / per_second) as Nanos;
        fleet.run_to(now);
        n += 1;
        let tenant = [0, 0, 0, 0, 1, 1, 1, 2, 2, 2][rng.usize(..10)];
        let prompt_tokens =
            (300.0 * (1.0 / (1.0 - rng.f64() * 0.98)).powf(0.8)) as u32 + 1_000 * rng.u32(..4);
        let new_request = Request {
            class: ClassId(rng.u32(..2)),
            tenant: TenantId(tenant),
            prompt_tokens,
            prefix_tokens: 0,
            prefix: None,
            session: Some(SessionKey(rng.u64(..200) + 1)),
            ..request(n)
        };
        requests.insert(RequestId(n), new_request.clone());
        let actions = fleet.router.submit(new_request);
        fleet.apply(actions);
    }
    fleet.run_to(now + 10 * SECOND);
    Run { requests, first_tokens: fleet.first_tokens }
}

#[test]
fn rejections_go_by_quota_and_time_not_by_class_length_or_session() {
    for seed in 1..=3 {
        // Twice the prefill capacity of the fleet.
        let run = simulate(seed, 32.0);
        let count = run.requests.len() as u64;
        let longest_tenth_from = run.quantile(|_| true, 0.9);
        let third = |id: RequestId| 3 * id.0 / (count + 1);
        let overall = run.served_share(|_, _| true);
        println!("seed {seed}: {count} requests, {overall:.2} of them served");
        let within_quota = |r: &Request| r.tenant.0 < 2;
        for (group, least, served) in [
            ("class 0", 0.5, run.served_share(|_, r| r.class.0 == 0)),
            ("class 1", 0.5, run.served_share(|_, r| r.class.0 == 1)),
            ("the largest tenant", 0.5, run.served_share(|_, r| r.tenant.0 == 0)),
            ("the second tenant", 0.5, run.served_share(|_, r| r.tenant.0 == 1)),
            // Most of this tenant's requests exceed its quota.
            ("the tenant over its quota", 0.15, run.served_share(|_, r| r.tenant.0 == 2)),
            (
                "the longest tenth of the prompts",
                0.5,
                run.served_share(|_, r| within_quota(r) && r.prompt_tokens >= longest_tenth_from),
            ),
            (
                "the shorter prompts",
                0.5,
                run.served_share(|_, r| within_quota(r) && r.prompt_tokens < longest_tenth_from),
            ),
            (
                "sessions with even keys",
                0.5,
                run.served_share(|_, r| r.session.is_some_and(|s| s.0 % 2 == 0)),
            ),
            ("sessions with odd keys", 0.5, run.served_share(|_, r| r.session.is_some_and(|s| s.0 % 2 == 1))),
            ("the first third of the time", 0.5, run.served_share(|id, _| third(id) == 0)),
            ("the last third of the time", 0.5, run.served_share(|id, _| third(id) == 2)),
        ] {
            println!("  {group}: {served:.2} served");
            assert!(
                served > least * overall,
                "seed {seed}: {served:.2} served of {group}, {overall:.2} of all"
            );
        }
    }
}

/// Guards against rejections by prompt length. Checks the longest tenth and the fifth below it, in each class.
#[test]
fn long_requests_of_each_class_are_served_with_and_without_overload() {
    for (per_second, least) in [(10.0, 2.0 / 3.0), (32.0, 0.5)] {
        for seed in 1..=3 {
            let run = simulate(seed, per_second);
            for class in [0, 1] {
                let is_of_class = |r: &Request| r.class.0 == class && r.tenant.0 < 2;
                let [below, from] = [0.7, 0.9].map(|part| run.quantile(is_of_class, part));
                let all = run.served_share(|_, r| is_of_class(r));
                let tenth = run.served_share(|_, r| is_of_class(r) && r.prompt_tokens >= from);
                let fifth =
                    run.served_share(|_, r| is_of_class(r) && (below..from).contains(&r.prompt_tokens));
                println!("{per_second}/s, seed {seed}, class {class}: {all:.2} served, tenth {tenth:.2}, fifth {fifth:.2}");
                assert!(
                    tenth > least * all && fifth > least * all,
                    "{per_second}/s, seed {seed}, class {class}: {tenth:.2} and {fifth:.2} served, {all:.2} of all"
                );
            }
        }
    }
}

/// Guards against rejections by a session's key or preferred replica, which would reject some sessions every time. A tenant
/// sends more than its quota, and every replica answers at once.
#[test]
fn no_more_sessions_are_always_rejected_than_by_chance() {
    const SESSIONS: u64 = 400;
    for seed in 1..=3 {
        let mut settings = test_settings(1, 0);
        settings.tenants = vec![Tenant { quota_per_s: 10.0 }];
        let mut router = TestRouter::with_replicas(settings, seed, REPLICAS);
        let mut rng = fastrand::Rng::with_seed(seed);
        // Number of turns and rejections of each session.
        let mut sessions = vec![(0u32, 0u32); SESSIONS as usize];
        for id in 1..=1200 {
            router.run_to(router.now + (-(1.0 - rng.f64()).ln() * SECOND as f64 / 22.5) as Nanos);
            let session = rng.u64(..SESSIONS);
            let served = router.serve(Request { session: Some(SessionKey(session + 1)), ..request(id) });
            let (turns, rejected) = &mut sessions[session as usize];
            *turns += 1;
            *rejected += u32::from(!served);
        }
        let rejected: u32 = sessions.iter().map(|s| s.1).sum();
        let share = f64::from(rejected) / 1200.0;
        let chances: Vec<f64> = sessions.iter().filter(|s| s.0 > 0).map(|s| share.powi(s.0 as i32)).collect();
        let always_rejected = sessions.iter().filter(|s| s.0 > 0 && s.0 == s.1).count() as f64;
        let by_chance: f64 = chances.iter().sum();
        let deviation = chances.iter().map(|p| p * (1.0 - p)).sum::<f64>().sqrt();
        println!(
            "seed {seed}: {share:.2} rejected, {always_rejected} sessions always rejected, {by_chance:.1} by chance"
        );
        assert!(
            (0.1..0.6).contains(&share),
            "{share:.2} of the requests rejected: too few or too many to compare"
        );
        assert!(
            always_rejected < by_chance + 4.0 * deviation,
            "{always_rejected} sessions always rejected, {by_chance:.1} by chance"
        );
    }
}
