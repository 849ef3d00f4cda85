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

/// Replicas that read prompts in turn, before one gateway.
struct Engine {
    world: World,
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
                    let known = &self.world.requests[&request];
                    let (attempt, tokens) =
                        (known.sent.len() as u32 - 1, u64::from(known.request.prompt_tokens));
                    let at = &mut self.read_by[replica.0 as usize];
                    *at = self.world.now.max(*at) + tokens * SECOND / READS;
                    self.due.push((*at, request, attempt, false));
                }
                // What is called off while it waits is read all the same: a jam is paid for.
                Action::Cancel { request, attempt } => {
                    self.due.retain(|d| (d.1, d.2) != (request, attempt));
                    let actions = self.world.end(request, attempt, Outcome::Cancelled);
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
            let timer = self.world.timers.iter().map(|t| t.0).min();
            let next = self.due.first().map(|d| d.0);
            let at = [timer, next].into_iter().flatten().min().filter(|at| *at <= to);
            let Some(at) = at else { break };
            let actions = self.world.run_to(at);
            self.does(actions);
            if next != Some(at) || self.due.first().is_none_or(|d| d.0 != at) {
                continue;
            }
            let (_, id, attempt, begun) = self.due.remove(0);
            let known = &self.world.requests[&id];
            if known.over && !begun || known.sent[attempt as usize].outcome.is_some() {
                continue;
            }
            if begun {
                self.world.end(id, attempt, Outcome::Done);
            } else {
                self.begun.insert(id, at - (known.deadline - known.request.left));
                self.world.first(id, attempt);
                self.due.push((at + SECOND / 2, id, attempt, true));
            }
        }
        let actions = self.world.run_to(to);
        self.does(actions);
    }
}

#[test]
fn what_is_turned_away_goes_by_shares_and_time_not_by_class_length_or_session() {
    for seed in 1..=3 {
        let mut set = settings(1, 0);
        set.tenants = [12.0, 8.0, 4.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
        let chat = set.classes[0].clone();
        set.classes.push(Class { aim: 1_500 * MS, worth: 5.0, ..chat });
        set.parallel_tries = true;
        let mut rng = fastrand::Rng::with_seed(seed);
        let world = World::with_replicas(set, seed, REPLICAS);
        let (start, mut now) = (world.now, world.now);
        let read_by = vec![0; REPLICAS as usize];
        let mut engine = Engine { world, read_by, due: vec![], begun: BTreeMap::new() };
        // Twice what the fleet can read, within the shares; the smallest partner wants four times its own.
        let (mut n, mut wanted) = (0, BTreeMap::new());
        while now < start + 60 * SECOND {
            now += (-(1.0 - rng.f64()).ln() * SECOND as f64 / 32.0) as Nanos;
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
            let actions = engine.world.demand(asked);
            engine.does(actions);
        }
        engine.run_to(now + 10 * SECOND);
        let mut lengths: Vec<u32> = wanted.values().map(|r| r.prompt_tokens).collect();
        lengths.sort_unstable();
        let tenth = lengths[lengths.len() * 9 / 10];
        let third = |id: RequestId| 3 * id.0 / (n + 1);
        let share = |of: &dyn Fn(RequestId, &Request) -> bool| {
            let all: Vec<_> = wanted.iter().filter(|(id, r)| of(**id, r)).collect();
            let got = all.iter().filter(|(id, _)| engine.begun.contains_key(id)).count();
            got as f64 / all.len() as f64
        };
        let whole = share(&|_, _| true);
        println!("seed {seed}: {n} requests, {whole:.2} of them begun");
        let inside = |r: &Request| r.tenant.0 < 2;
        for (what, least, part) in [
            ("class 0", 0.5, share(&|_, r| r.class.0 == 0)),
            ("class 1", 0.5, share(&|_, r| r.class.0 == 1)),
            ("the largest partner", 0.5, share(&|_, r| r.tenant.0 == 0)),
            ("the second partner", 0.5, share(&|_, r| r.tenant.0 == 1)),
            // A quarter of what it asks for is inside its share.
            ("the partner over its share", 0.15, share(&|_, r| r.tenant.0 == 2)),
            ("the longest tenth", 0.5, share(&|_, r| inside(r) && r.prompt_tokens >= tenth)),
            ("the others", 0.5, share(&|_, r| inside(r) && r.prompt_tokens < tenth)),
            ("sessions of even keys", 0.5, share(&|_, r| r.session.is_some_and(|s| s.0 % 2 == 0))),
            ("sessions of odd keys", 0.5, share(&|_, r| r.session.is_some_and(|s| s.0 % 2 == 1))),
            ("the first third of the time", 0.5, share(&|id, _| third(id) == 0)),
            ("the last third", 0.5, share(&|id, _| third(id) == 2)),
        ] {
            println!("  {what}: {part:.2}");
            assert!(part > least * whole, "seed {seed}: {what} got {part:.2} where all got {whole:.2}");
        }
    }
}
