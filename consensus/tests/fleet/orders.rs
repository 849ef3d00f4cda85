//! Random orders of operators.

use tallypin_consensus::fleet_state::{Command, ReleaseOrder};
use tallypin_consensus::release::ReleasePlan;
use tallypin_membership::RouterIndex;

use crate::events::Event;
use crate::world::{World, S};

impl World {
    pub fn submit_random_order(&mut self) {
        let n = self.routers.len();
        self.order_count += 1;
        let (r, order) = (self.rng.usize(..n), format!("o{}", self.order_count));
        let command = self.random_order(order);
        if let Command::Resume { order } = &command {
            self.halt = None;
            self.ordered_resumes.insert(order.clone());
        }
        if self.routers[r].alive {
            self.routers[r].orders.push(command);
        }
        let next = self.now + self.rng.u64(S..5 * S);
        self.schedule(next, Event::Order);
    }

    fn random_order(&mut self, order: String) -> Command {
        let n = self.routers.len();
        let (first, rolls_back, sends_roll_back) =
            (self.rng.u16(..n as u16), self.rng.bool(), self.rng.bool());
        // A run has either drains or releases: a release rejects routers that an operator has drained.
        match if self.orders_releases { 6 + self.order_count % 4 } else { self.order_count % 6 } {
            8 => Command::BeginRelease(self.release(order, first, rolls_back)),
            9 if sends_roll_back => Command::RollBack { order, cause: "x".into() },
            0 | 6 => Command::Halt { order, cause: "x".into() },
            1 | 2 | 4 => Command::Drain { order, routers: self.random_routers() },
            3 => Command::Restore { order, routers: self.random_routers() },
            _ => Command::Resume { order },
        }
    }

    fn random_routers(&mut self) -> Vec<RouterIndex> {
        let n = self.routers.len();
        (0..1 + n / 20).map(|_| self.rng.usize(..n) as RouterIndex).collect()
    }

    fn release(&self, order: String, first: RouterIndex, rolls_back: bool) -> ReleaseOrder {
        let rest = (0..self.routers.len() as RouterIndex).filter(|router| *router != first).collect();
        ReleaseOrder {
            order,
            artifact: "settings".into(),
            digest: format!("file {}", self.order_count),
            waves: vec![vec![first], rest],
            plan: ReleasePlan { watch_ms: 1000, ready_ms: 30_000, rolls_back, ..ReleasePlan::default() },
        }
    }
}
