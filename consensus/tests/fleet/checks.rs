//! Checks of the fleet's invariants: the drain limits, and no drain after an acknowledged halt.

use tallypin_consensus::drain_lease::{halt_is_effective, LocalPhase};
use tallypin_consensus::fleet_state::{Command, FleetState};
use tallypin_membership::{elapsed, Nanos};

use crate::router::Router;
use crate::world::{World, LEASE, S};

/// A halt that was chosen.
#[derive(Clone, Copy)]
pub struct Halt {
    /// Router that received the order.
    router: usize,
    round_began_at: Nanos,
    /// The operator was told that the halt is effective: no drain may begin before a resume.
    acknowledged: bool,
}

impl World {
    pub fn begin_drain(&mut self, r: usize, known: &FleetState) {
        assert!(
            !self.halt.is_some_and(|halt| halt.acknowledged),
            "router {r} drains after a halt was acknowledged, by state version {}",
            known.version
        );
        self.routers[r].phase = LocalPhase::OutOfService;
        self.counts.drains += 1;
        let out = self.out_of_service();
        assert!(
            out.len() <= self.limits.total,
            "{out:?} are out of service, the limit is {}",
            self.limits.total
        );
        for zone in 0..3 {
            let in_zone = out.iter().filter(|&&router| self.limits.zones[router] == zone).count();
            assert!(in_zone <= self.limits.per_zone, "{in_zone} out of service in zone {zone}: {out:?}");
        }
    }

    fn out_of_service(&self) -> Vec<usize> {
        (0..self.routers.len())
            .filter(|&r| self.routers[r].alive && self.routers[r].phase == LocalPhase::OutOfService)
            .collect()
    }

    pub fn record_halt(&mut self, router: usize, round_began_at: Nanos) {
        self.halt = Some(Halt { router, round_began_at, acknowledged: false });
        let known = self.routers[router].known.as_ref();
        self.orders_before_halt = known.map_or(vec![], |state| state.recent_orders.iter().cloned().collect());
    }

    /// Ends the halt if the state has a resume that was applied after it, even one that was ordered before it.
    pub fn record_resume(&mut self, state: &FleetState) {
        let ends_halt =
            |order: &String| self.ordered_resumes.contains(order) && !self.orders_before_halt.contains(order);
        if state.recent_orders.iter().any(ends_halt) {
            self.halt = None;
        }
    }

    /// Acknowledges the halt at the router that received it as soon as it is effective.
    pub fn check_halt(&mut self) {
        let has_resume =
            |router: &Router| router.orders.iter().any(|order| matches!(order, Command::Resume { .. }));
        if self.routers.iter().any(has_resume) {
            self.resume_pending_at = self.now;
        }
        let Some(Halt { router, round_began_at, acknowledged: false }) = self.halt else { return };
        // A resume that was ordered before the halt may still be chosen after it, and then ends it.
        if self.now < self.resume_pending_at + 10 * S {
            return;
        }
        let Some(known) = &self.routers[router].known else { return };
        let effective = halt_is_effective(&LEASE, elapsed(self.now, round_began_at), known);
        if self.routers[router].alive && known.halted.is_some() && effective {
            self.halt = Some(Halt { router, round_began_at, acknowledged: true });
        }
    }
}
