//! This router as the others know it: index, incarnation, and the sequence numbers of its calls.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use fastrand::Rng;
use tallypin_membership::{Incarnation, Nanos, RouterIndex};

use super::wire::{Call, HeartbeatReport, Request, VERSION};

/// This router. Times are ns since its creation, by a clock that is never set.
pub struct LocalRouter {
    index: RouterIndex,
    incarnation: Incarnation,
    started: Instant,
    last_sequence: Cell<u64>,
    rng: RefCell<Rng>,
}

impl LocalRouter {
    /// A router that has just started.
    pub fn new(index: RouterIndex, incarnation: Incarnation) -> LocalRouter {
        LocalRouter {
            index,
            incarnation,
            started: Instant::now(),
            last_sequence: Cell::new(0),
            rng: RefCell::new(Rng::with_seed(incarnation)),
        }
    }

    /// Its index in the fleet's settings.
    pub fn index(&self) -> RouterIndex {
        self.index
    }

    /// This start of its process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The time since its start, ns.
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as u64
    }

    /// A call with the next sequence number.
    pub fn next_call(&self, request: Request, report: Option<HeartbeatReport>) -> Call {
        self.last_sequence.set(self.last_sequence.get() + 1);
        Call {
            version: VERSION,
            from: self.index,
            incarnation: self.incarnation,
            sequence: self.last_sequence.get(),
            request,
            report,
        }
    }

    /// A drawn number, for the id of an order.
    pub fn random_id(&self) -> u64 {
        self.rng.borrow_mut().u64(..)
    }

    /// A drawn time between half of `longest` and `longest`, by whole ms: two routers that collide part.
    pub fn jittered(&self, longest: Duration) -> Duration {
        let longest = longest.as_millis() as u64;
        Duration::from_millis(self.rng.borrow_mut().u64(longest / 2..=longest))
    }
}
