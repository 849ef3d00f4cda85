//! Identity of this router in its fleet: index, incarnation, and the sequence numbers of its calls.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use fastrand::Rng;
use tallypin_consensus::fleet_state::RouterIncarnation;
use tallypin_membership::{Incarnation, Nanos, RouterIndex};

use super::wire::{Call, HeartbeatReport, Request, VERSION};

/// This router. Times are ns since its creation, by the monotonic clock.
pub struct LocalRouter {
    index: RouterIndex,
    incarnation: Incarnation,
    started: Instant,
    last_sequence: Cell<u64>,
    rng: RefCell<Rng>,
}

impl LocalRouter {
    /// Creates the identity of a router that has just started.
    pub fn new(index: RouterIndex, incarnation: Incarnation) -> LocalRouter {
        LocalRouter {
            index,
            incarnation,
            started: Instant::now(),
            last_sequence: Cell::new(0),
            rng: RefCell::new(Rng::with_seed(incarnation)),
        }
    }

    /// Returns the index of this router in the fleet's settings.
    pub fn index(&self) -> RouterIndex {
        self.index
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns this router in its incarnation.
    pub fn identity(&self) -> RouterIncarnation {
        RouterIncarnation { router: self.index, incarnation: self.incarnation }
    }

    /// Returns the time since the start, in ns.
    pub fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as u64
    }

    /// Creates a call with the next sequence number.
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

    /// Returns a random number for the id of an order.
    pub fn random_id(&self) -> u64 {
        self.rng.borrow_mut().u64(..)
    }

    /// Returns a random duration between half of `max` and `max`, in whole ms. Keeps routers that collided from colliding
    /// again.
    pub fn jittered(&self, max: Duration) -> Duration {
        let max_ms = max.as_millis() as u64;
        Duration::from_millis(self.rng.borrow_mut().u64(max_ms / 2..=max_ms))
    }
}
