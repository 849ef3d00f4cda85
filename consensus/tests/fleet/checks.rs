//! What must never happen.

use tallypin_consensus::drain_lease::{halt_is_effective, LocalPhase};
use tallypin_consensus::fleet_state::{Command, FleetState};
use tallypin_membership::{elapsed, Nanos};

use crate::router::Router;
use crate::world::{World, LEASE, S};

/// A halt that was agreed on.
#[derive(Clone, Copy)]
pub struct Halt {
    /// Where it was ordered.
    router: usize,
    began_at: Nanos,
    /// It was answered: no drain may begin before a resume.
    answered: bool,
}

impl World {
    pub fn begin_drain(&mut self, r: usize, known: &FleetState) {
        assert!(
            !self.halt.is_some_and(|halt| halt.answered),
            "{r} drains after a halt was answered, by {}",
            known.version
        );
        self.routers[r].phase = LocalPhase::OutOfService;
        self.tally.drained += 1;
        let out = self.out_by_order();
        assert!(out.len() <= self.limits.total, "{out:?} are out by order, {} may be", self.limits.total);
        for zone in 0..3 {
            let here = out.iter().filter(|&&router| self.limits.zones[router] == zone).count();
            assert!(here <= self.limits.per_zone, "{here} of zone {zone}: {out:?}");
        }
    }

    fn out_by_order(&self) -> Vec<usize> {
        (0..self.routers.len())
            .filter(|&r| self.routers[r].alive && self.routers[r].phase == LocalPhase::OutOfService)
            .collect()
    }

    pub fn note_halt(&mut self, router: usize, began_at: Nanos) {
        self.halt = Some(Halt { router, began_at, answered: false });
        let known = self.routers[router].known.as_ref();
        self.orders_before_halt = known.map_or(vec![], |state| state.recent_orders.iter().cloned().collect());
    }

    /// A resume from before a halt that was agreed on after it ends it as well.
    pub fn note_resume(&mut self, state: &FleetState) {
        let ends = |order: &String| self.resumes.contains(order) && !self.orders_before_halt.contains(order);
        if state.recent_orders.iter().any(ends) {
            self.halt = None;
        }
    }

    /// Answers a halt, where it was ordered, as soon as it is effective.
    pub fn check_halt(&mut self) {
        let resumes =
            |router: &Router| router.orders.iter().any(|order| matches!(order, Command::Resume { .. }));
        if self.routers.iter().any(resumes) {
            self.resume_pending_at = self.now;
        }
        let Some(Halt { router, began_at, answered: false }) = self.halt else { return };
        // A resume that was ordered before may still be agreed on after it, and then ends it.
        if self.now < self.resume_pending_at + 10 * S {
            return;
        }
        let Some(known) = &self.routers[router].known else { return };
        let effective = halt_is_effective(&LEASE, elapsed(self.now, began_at), known);
        if self.routers[router].alive && known.halted.is_some() && effective {
            self.halt = Some(Halt { router, began_at, answered: true });
        }
    }
}
