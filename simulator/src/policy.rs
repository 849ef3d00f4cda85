//! Who decides: the real decision module, and plain policies to set it beside. All take the module's events and give its
//! actions, so that the world knows no difference.

use fastrand::Rng;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tallypin::api::*;
use tallypin::Balancer;

/// What a router decides by.
pub trait Policy {
    /// Takes one event at `now` and appends what is to be done.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// A policy whose decisions are timed.
pub struct Timed {
    inner: Box<dyn Policy>,
    spent: Rc<Cell<Duration>>,
}

impl Timed {
    /// The same policy; what it takes is added to `spent`.
    pub fn new(inner: Box<dyn Policy>, spent: Rc<Cell<Duration>>) -> Self {
        Timed { inner, spent }
    }
}

impl Policy for Timed {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let begun = Instant::now();
        self.inner.handle(now, event, out);
        self.spent.set(self.spent.get() + begun.elapsed());
    }
}

/// The names that [`by_name`] knows.
pub const NAMES: &[&str] =
    &["tallypin", "random", "round-robin", "two-choices", "least-open", "sticky", "bounded"];

/// Makes a router's policy from its settings and a seed.
pub type Make = fn(Settings, u64) -> Box<dyn Policy>;

/// A policy by its name; `None` if there is none of that name.
pub fn by_name(name: &str) -> Option<Make> {
    Some(match name {
        "tallypin" => |set, seed| Box::new(Balancer::new(set, seed).expect("settings of a plan")),
        "random" => |_, seed| Box::new(Plain::new(seed, Choice::Random)),
        "round-robin" => |_, seed| Box::new(Plain::new(seed, Choice::RoundRobin)),
        "two-choices" => |_, seed| Box::new(Plain::new(seed, Choice::Two)),
        "least-open" => |_, seed| Box::new(Plain::new(seed, Choice::Least)),
        "sticky" => |_, seed| Box::new(Plain::new(seed, Choice::Sticky)),
        "bounded" => |_, seed| Box::new(Plain::new(seed, Choice::Bounded)),
        _ => return None,
    })
}

#[derive(Clone, Copy, PartialEq)]
enum Choice {
    Random,
    RoundRobin,
    /// The less loaded of two drawn at random (Mitzenmacher, 2001).
    Two,
    Least,
    /// Where the session was last, unless it is gone; two choices at first.
    Sticky,
    /// By hash of the beginning, onwards while a node has over 1.25 times the mean (Mirrokni et al., 2018).
    Bounded,
}

/// One attempt for each request, refused if there is no node; it fails if the attempt does.
struct Plain {
    choice: Choice,
    rng: Rng,
    ready: Vec<ReplicaId>,
    open: FxHashMap<ReplicaId, u32>,
    at: FxHashMap<RequestId, ReplicaId>,
    last: FxHashMap<u64, ReplicaId>,
    turn: usize,
}

impl Plain {
    fn new(seed: u64, choice: Choice) -> Self {
        let rng = Rng::with_seed(seed);
        let (open, at, last) = Default::default();
        Plain { choice, rng, ready: vec![], open, at, last, turn: seed as usize % 1024 }
    }

    fn out(&self, id: ReplicaId) -> u32 {
        self.open.get(&id).copied().unwrap_or(0)
    }

    fn two(&mut self) -> ReplicaId {
        let n = self.ready.len();
        let (a, b) = (self.ready[self.rng.usize(..n)], self.ready[self.rng.usize(..n)]);
        if self.out(b) < self.out(a) {
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
        self.turn = self.turn.wrapping_add(1);
        Some(match self.choice {
            Choice::Random => self.ready[self.rng.usize(..n)],
            Choice::RoundRobin => self.ready[self.turn % n],
            Choice::Two => self.two(),
            Choice::Least => {
                let start = self.rng.usize(..n);
                let from_there = (0..n).map(|k| self.ready[(start + k) % n]);
                from_there.min_by_key(|&id| self.out(id))?
            }
            Choice::Sticky => {
                let session = r.session.map_or(0, |s| s.0);
                let last = self.last.get(&session).copied().filter(|id| self.ready.contains(id));
                let id = last.unwrap_or_else(|| self.two());
                self.last.insert(session, id);
                id
            }
            Choice::Bounded => {
                let all: u32 = self.open.values().sum();
                let most = (1.25 * f64::from(all + 1) / n as f64).ceil() as u32;
                let key = r.prefix.map_or(0, |p| p.0).wrapping_mul(0x9E37_79B9_7F4A_7C15) as usize % n;
                let onwards = (0..n).map(|k| self.ready[(key + k) % n]);
                onwards.into_iter().find(|&id| self.out(id) < most.max(1)).unwrap_or(self.ready[key])
            }
        })
    }
}

impl Policy for Plain {
    fn handle(&mut self, _: Nanos, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { rows, .. } => {
                for row in rows {
                    let at = self.ready.iter().position(|id| *id == row.replica);
                    match (at, row.state == EndpointState::Ready) {
                        (None, true) => self.ready.push(row.replica),
                        (Some(i), false) => {
                            self.ready.swap_remove(i);
                        }
                        _ => {}
                    }
                }
            }
            Event::Request(r) => match self.pick(&r) {
                Some(replica) => {
                    *self.open.entry(replica).or_default() += 1;
                    self.at.insert(r.id, replica);
                    out.push(Action::Send { request: r.id, replica, timeout: r.time_left });
                }
                None => out.push(Action::Reject {
                    request: r.id,
                    retry_after: 0,
                    reason: RejectReason::NoCapacity,
                }),
            },
            Event::AttemptEnded(e) => {
                if let Some(replica) = self.at.remove(&e.request) {
                    match self.open.get_mut(&replica) {
                        Some(n) if *n > 1 => *n -= 1,
                        _ => {
                            self.open.remove(&replica);
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
