//! What is turned away when more is wanted than the fleet can do. The principle: a partner's bucket decides what is
//! over its share, whatever it asks for; beyond that a request is turned away only if no replica looked at would begin
//! it in time, its aim growing with its prompt. Neither its class, its length nor its session is asked for.

mod common;

use std::collections::BTreeMap;

use common::*;
use tallypin::api::*;

const REPLICAS: u64 = 6;
/// Prompt tokens that a replica reads in a second, one prompt after the other.
const READS: u64 = 8_000;

/// Replicas that read prompts in turn, before one router.
struct Engine {
    router: TestRouter,
    /// When each has read all that it was sent.
    read_by: Vec<Nanos>,
    /// First tokens and ends to come: when, of which attempt, whether it has begun.
    due: Vec<(Nanos, RequestId, u32, bool)>,
    begun: BTreeMap<RequestId, Nanos>,
}

impl Engine {
    fn does(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, replica, .. } => {
                    let known = &self.router.requests[&request];
                    let (attempt, tokens) =
                        (known.attempts.len() as u32 - 1, u64::from(known.request.prompt_tokens));
                    let at = &mut self.read_by[replica.0 as usize];
                    *at = self.router.now.max(*at) + tokens * SECOND / READS;
                    self.due.push((*at, request, attempt, false));
                }
                // What is called off while it waits is read all the same: a jam is paid for.
                Action::Cancel { request, attempt } => {
                    self.due.retain(|d| (d.1, d.2) != (request, attempt));
                    let actions = self.router.end_attempt(request, attempt, Outcome::Cancelled);
                    self.does(actions);
                }
                _ => {}
            }
        }
    }

    /// Lets time pass.
    fn run_to(&mut self, to: Nanos) {
        loop {
            self.due.sort_unstable();
            let timer = self.router.timers.iter().map(|t| t.0).min();
            let next = self.due.first().map(|d| d.0);
            let at = [timer, next].into_iter().flatten().min().filter(|at| *at <= to);
            let Some(at) = at else { break };
            let actions = self.router.run_to(at);
            self.does(actions);
            if next != Some(at) || self.due.first().is_none_or(|d| d.0 != at) {
                continue;
            }
            let (_, id, attempt, begun) = self.due.remove(0);
            let known = &self.router.requests[&id];
            if known.is_over && !begun || known.attempts[attempt as usize].outcome.is_some() {
                continue;
            }
            if begun {
                self.router.end_attempt(id, attempt, Outcome::Completed);
            } else {
                self.begun.insert(id, at - (known.deadline - known.request.time_left));
                self.router.first_token(id, attempt);
                self.due.push((at + SECOND / 2, id, attempt, true));
            }
        }
        let actions = self.router.run_to(to);
        self.does(actions);
    }
}

/// A day's requests, and when those that began did so.
struct Day {
    wanted: BTreeMap<RequestId, Request>,
    begun: BTreeMap<RequestId, Nanos>,
}

impl Day {
    /// The share of requests that began among those of a kind.
    fn share(&self, of: impl Fn(RequestId, &Request) -> bool) -> f64 {
        let all: Vec<_> = self.wanted.iter().filter(|(id, r)| of(**id, r)).collect();
        let begun = all.iter().filter(|(id, _)| self.begun.contains_key(id)).count();
        begun as f64 / all.len() as f64
    }

    /// The length of prompt that this part of those of a class is below.
    fn quantile(&self, of: impl Fn(&Request) -> bool, part: f64) -> u32 {
        let mut lengths: Vec<u32> = self.wanted.values().filter(|r| of(r)).map(|r| r.prompt_tokens).collect();
        lengths.sort_unstable();
        lengths[(lengths.len() as f64 * part) as usize]
    }
}

/// A minute with so many requests a second; the fleet can read 16. The smallest partner wants four times its share.
fn day(seed: u64, per_second: f64) -> Day {
    let mut settings = test_settings(1, 0);
    settings.tenants = [12.0, 8.0, 4.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
    let chat = settings.classes[0].clone();
    settings.classes.push(Class { latency_objective: 1_500 * MS, priority_weight: 5.0, ..chat });
    settings.concurrent_attempts = true;
    let mut rng = fastrand::Rng::with_seed(seed);
    let router = TestRouter::with_replicas(settings, seed, REPLICAS);
    let (start, mut now) = (router.now, router.now);
    let read_by = vec![0; REPLICAS as usize];
    let mut engine = Engine { router, read_by, due: vec![], begun: BTreeMap::new() };
    let (mut n, mut wanted) = (0, BTreeMap::new());
    while now < start + 60 * SECOND {
        now += (-(1.0 - rng.f64()).ln() * SECOND as f64 / per_second) as Nanos;
        engine.run_to(now);
        n += 1;
        let tenant = [0, 0, 0, 0, 1, 1, 1, 2, 2, 2][rng.usize(..10)];
        let prompt_tokens =
            (300.0 * (1.0 / (1.0 - rng.f64() * 0.98)).powf(0.8)) as u32 + 1_000 * rng.u32(..4);
        let asked = Request {
            class: ClassId(rng.u32(..2)),
            tenant: TenantId(tenant),
            prompt_tokens,
            prefix_tokens: 0,
            prefix: None,
            session: Some(SessionKey(rng.u64(..200) + 1)),
            ..request(n)
        };
        wanted.insert(RequestId(n), asked.clone());
        let actions = engine.router.submit(asked);
        engine.does(actions);
    }
    engine.run_to(now + 10 * SECOND);
    Day { wanted, begun: engine.begun }
}

#[test]
fn rejections_go_by_quota_and_time_not_by_class_length_or_session() {
    for seed in 1..=3 {
        // Twice what the fleet can read, within the shares.
        let day = day(seed, 32.0);
        let n = day.wanted.len() as u64;
        let tenth = day.quantile(|_| true, 0.9);
        let third = |id: RequestId| 3 * id.0 / (n + 1);
        let whole = day.share(|_, _| true);
        println!("seed {seed}: {n} requests, {whole:.2} of them begun");
        let inside = |r: &Request| r.tenant.0 < 2;
        for (what, least, part) in [
            ("class 0", 0.5, day.share(|_, r| r.class.0 == 0)),
            ("class 1", 0.5, day.share(|_, r| r.class.0 == 1)),
            ("the largest partner", 0.5, day.share(|_, r| r.tenant.0 == 0)),
            ("the second partner", 0.5, day.share(|_, r| r.tenant.0 == 1)),
            // A quarter of what it asks for is inside its share.
            ("the partner over its share", 0.15, day.share(|_, r| r.tenant.0 == 2)),
            ("the longest tenth", 0.5, day.share(|_, r| inside(r) && r.prompt_tokens >= tenth)),
            ("the others", 0.5, day.share(|_, r| inside(r) && r.prompt_tokens < tenth)),
            ("sessions of even keys", 0.5, day.share(|_, r| r.session.is_some_and(|s| s.0 % 2 == 0))),
            ("sessions of odd keys", 0.5, day.share(|_, r| r.session.is_some_and(|s| s.0 % 2 == 1))),
            ("the first third of the time", 0.5, day.share(|id, _| third(id) == 0)),
            ("the last third", 0.5, day.share(|id, _| third(id) == 2)),
        ] {
            println!("  {what}: {part:.2}");
            assert!(part > least * whole, "seed {seed}: {what} got {part:.2} where all got {whole:.2}");
        }
    }
}

/// Guards against admission that sorts out by length: of each class, the longest tenth and the fifth below it.
#[test]
fn long_requests_of_each_class_get_their_part_in_calm_and_under_overload() {
    for (per_second, least) in [(10.0, 2.0 / 3.0), (32.0, 0.5)] {
        for seed in 1..=3 {
            let day = day(seed, per_second);
            for class in [0, 1] {
                let of = |r: &Request| r.class.0 == class && r.tenant.0 < 2;
                let [below, from] = [0.7, 0.9].map(|part| day.quantile(of, part));
                let all = day.share(|_, r| of(r));
                let tenth = day.share(|_, r| of(r) && r.prompt_tokens >= from);
                let fifth = day.share(|_, r| of(r) && (below..from).contains(&r.prompt_tokens));
                println!("{per_second} a second, seed {seed}, class {class}: {all:.2}, tenth {tenth:.2}, fifth {fifth:.2}");
                assert!(
                    tenth > least * all && fifth > least * all,
                    "{per_second} a second, seed {seed}, class {class}: {tenth:.2} and {fifth:.2} where all got {all:.2}"
                );
            }
        }
    }
}

/// Guards against refusals that go by a session's key or home: some would be refused throughout while there is room. A
/// partner asks for half as much again as its share, and every replica answers at once.
#[test]
fn no_more_sessions_are_always_rejected_than_chance_has_it() {
    const SESSIONS: u64 = 400;
    for seed in 1..=3 {
        let mut settings = test_settings(1, 0);
        settings.tenants = vec![Tenant { quota_per_s: 10.0 }];
        let mut router = TestRouter::with_replicas(settings, seed, REPLICAS);
        let mut rng = fastrand::Rng::with_seed(seed);
        // Turns and refusals of each.
        let mut sessions = vec![(0u32, 0u32); SESSIONS as usize];
        for id in 1..=1200 {
            router.run_to(router.now + (-(1.0 - rng.f64()).ln() * SECOND as f64 / 22.5) as Nanos);
            let session = rng.u64(..SESSIONS);
            let served = router.serve(Request { session: Some(SessionKey(session + 1)), ..request(id) });
            let (turns, refused) = &mut sessions[session as usize];
            *turns += 1;
            *refused += u32::from(!served);
        }
        let refused: u32 = sessions.iter().map(|s| s.1).sum();
        let share = f64::from(refused) / 1200.0;
        let chances: Vec<f64> = sessions.iter().filter(|s| s.0 > 0).map(|s| share.powi(s.0 as i32)).collect();
        let throughout = sessions.iter().filter(|s| s.0 > 0 && s.0 == s.1).count() as f64;
        let by_chance: f64 = chances.iter().sum();
        let deviation = chances.iter().map(|p| p * (1.0 - p)).sum::<f64>().sqrt();
        println!(
            "seed {seed}: {share:.2} refused, {throughout} sessions throughout, {by_chance:.1} by chance"
        );
        assert!((0.1..0.6).contains(&share), "{share:.2} refused: nothing to tell");
        assert!(throughout < by_chance + 4.0 * deviation, "{throughout} sessions, {by_chance:.1} by chance");
    }
}
