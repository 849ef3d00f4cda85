//! Routing policies: the router's decision module, and simple baselines to compare it with. All of them take the module's
//! events and return its actions.

use fastrand::Rng;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tallypin::api::*;
use tallypin::Balancer;

/// The policy of one router.
pub trait Policy {
    /// Handles one event at `now` and appends the resulting actions.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// A policy whose decision time is measured.
pub struct TimedPolicy {
    inner: Box<dyn Policy>,
    time_spent: Rc<Cell<Duration>>,
}

impl TimedPolicy {
    /// Wraps a policy; the time of its decisions is added to `time_spent`.
    pub fn new(inner: Box<dyn Policy>, time_spent: Rc<Cell<Duration>>) -> Self {
        TimedPolicy { inner, time_spent }
    }
}

impl Policy for TimedPolicy {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let started = Instant::now();
        self.inner.handle(now, event, out);
        self.time_spent.set(self.time_spent.get() + started.elapsed());
    }
}

/// Names of all policies, for [`by_name`].
pub const NAMES: &[&str] =
    &["tallypin", "random", "round-robin", "two-choices", "least-open", "sticky", "bounded"];

/// Makes a router's policy from its settings and a seed.
pub type PolicyFactory = fn(Settings, u64) -> Box<dyn Policy>;

/// Returns the factory of a policy, or `None` for an unknown name.
pub fn by_name(name: &str) -> Option<PolicyFactory> {
    Some(match name {
        "tallypin" => {
            |set, seed| Box::new(Balancer::new(set, seed).expect("the settings of a plan are valid"))
        }
        "random" => |_, seed| Box::new(BaselinePolicy::new(seed, Choice::Random)),
        "round-robin" => |_, seed| Box::new(BaselinePolicy::new(seed, Choice::RoundRobin)),
        "two-choices" => |_, seed| Box::new(BaselinePolicy::new(seed, Choice::TwoChoices)),
        "least-open" => |_, seed| Box::new(BaselinePolicy::new(seed, Choice::LeastOpen)),
        "sticky" => |_, seed| Box::new(BaselinePolicy::new(seed, Choice::Sticky)),
        "bounded" => |_, seed| Box::new(BaselinePolicy::new(seed, Choice::BoundedLoads)),
        _ => return None,
    })
}

#[derive(Clone, Copy, PartialEq)]
enum Choice {
    Random,
    RoundRobin,
    /// The less loaded of two random replicas (Mitzenmacher, 2001).
    TwoChoices,
    LeastOpen,
    /// The session's last replica while it is ready, otherwise two choices.
    Sticky,
    /// Hash of the shared prefix; replicas with more than 1.25 times the mean load are skipped (Mirrokni et al., 2018).
    BoundedLoads,
}

/// A baseline policy: one attempt for each request, and a rejection if no replica is ready. A request fails with its attempt.
struct BaselinePolicy {
    choice: Choice,
    rng: Rng,
    ready: Vec<ReplicaId>,
    open_attempts: FxHashMap<ReplicaId, u32>,
    replica_of_request: FxHashMap<RequestId, ReplicaId>,
    last_of_session: FxHashMap<u64, ReplicaId>,
    next_index: usize,
}

impl BaselinePolicy {
    fn new(seed: u64, choice: Choice) -> Self {
        let rng = Rng::with_seed(seed);
        let (open_attempts, replica_of_request, last_of_session) = Default::default();
        BaselinePolicy {
            choice,
            rng,
            ready: vec![],
            open_attempts,
            replica_of_request,
            last_of_session,
            next_index: seed as usize % 1024,
        }
    }

    fn open_count(&self, id: ReplicaId) -> u32 {
        self.open_attempts.get(&id).copied().unwrap_or(0)
    }

    fn two_choices(&mut self) -> ReplicaId {
        let n = self.ready.len();
        let (a, b) = (self.ready[self.rng.usize(..n)], self.ready[self.rng.usize(..n)]);
        if self.open_count(b) < self.open_count(a) {
            b
        } else {
            a
        }
    }

    fn pick(&mut self, r: &Request) -> Option<ReplicaId> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        self.next_index = self.next_index.wrapping_add(1);
        Some(match self.choice {
            Choice::Random => self.ready[self.rng.usize(..n)],
            Choice::RoundRobin => self.ready[self.next_index % n],
            Choice::TwoChoices => self.two_choices(),
            Choice::LeastOpen => {
                let start = self.rng.usize(..n);
                let in_order = (0..n).map(|k| self.ready[(start + k) % n]);
                in_order.min_by_key(|&id| self.open_count(id))?
            }
            Choice::Sticky => {
                let session = r.session.map_or(0, |s| s.0);
                let last = self.last_of_session.get(&session).copied().filter(|id| self.ready.contains(id));
                let id = last.unwrap_or_else(|| self.two_choices());
                self.last_of_session.insert(session, id);
                id
            }
            Choice::BoundedLoads => {
                let total: u32 = self.open_attempts.values().sum();
                let limit = (1.25 * f64::from(total + 1) / n as f64).ceil() as u32;
                let start = r.prefix.map_or(0, |p| p.0).wrapping_mul(0x9E37_79B9_7F4A_7C15) as usize % n;
                let in_order = (0..n).map(|k| self.ready[(start + k) % n]);
                in_order
                    .into_iter()
                    .find(|&id| self.open_count(id) < limit.max(1))
                    .unwrap_or(self.ready[start])
            }
        })
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, _: Nanos, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { entries, .. } => {
                for entry in entries {
                    let at = self.ready.iter().position(|id| *id == entry.replica);
                    match (at, entry.state == EndpointState::Ready) {
                        (None, true) => self.ready.push(entry.replica),
                        (Some(i), false) => {
                            self.ready.swap_remove(i);
                        }
                        _ => {}
                    }
                }
            }
            Event::Request(r) => match self.pick(&r) {
                Some(replica) => {
                    *self.open_attempts.entry(replica).or_default() += 1;
                    self.replica_of_request.insert(r.id, replica);
                    out.push(Action::Send { request: r.id, replica, timeout: r.time_left });
                }
                None => out.push(Action::Reject {
                    request: r.id,
                    retry_after: 0,
                    reason: RejectReason::NoCapacity,
                }),
            },
            Event::AttemptEnded(e) => {
                if let Some(replica) = self.replica_of_request.remove(&e.request) {
                    match self.open_attempts.get_mut(&replica) {
                        Some(n) if *n > 1 => *n -= 1,
                        _ => {
                            self.open_attempts.remove(&replica);
                        }
                    }
                }
                if !e.request_over {
                    out.push(Action::Fail(e.request));
                }
            }
            _ => {}
        }
    }
}
