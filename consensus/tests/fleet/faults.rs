//! Random faults, and the recovery from them.

use tallypin_consensus::drain_lease::LocalPhase;
use tallypin_consensus::release::ReleasePhase;

use crate::events::Event;
use crate::world::{World, COUNCIL, S};

impl World {
    pub fn inject_fault(&mut self) {
        let r = self.rng.usize(..self.routers.len());
        let now = self.now;
        match self.rng.u32(..6) {
            0 if self.routers[r].alive && (r >= COUNCIL || self.council_is_complete()) => {
                self.routers[r].alive = false;
            }
            1 => self.routers[r].paused_until = now + self.rng.u64(S..20 * S),
            2 => {
                let count = 1 + self.routers.len() / 4;
                self.cut_off = (0..count).map(|_| self.rng.usize(..self.routers.len())).collect();
            }
            3 => self.cut_off.clear(),
            _ => self.restart_crashed(),
        }
        let next = now + self.rng.u64(S / 2..4 * S);
        self.schedule(next, Event::Fault);
    }

    /// Whether a council member may crash. Only one crashes at a time: after a majority has lost its state at once, no value
    /// can be chosen any more.
    fn council_is_complete(&self) -> bool {
        (0..COUNCIL).all(|member| {
            let router = &self.routers[member];
            router.alive && self.joined(member) && router.phase == LocalPhase::Serving
        })
    }

    fn restart_crashed(&mut self) {
        for r in 0..self.routers.len() {
            if !self.routers[r].alive {
                self.restart(r);
            }
        }
    }

    /// Ends all faults and orders and lets the requested changes finish. Returns whether all routers then know the same
    /// state.
    pub fn recover(&mut self) -> bool {
        (self.recovering, self.loss_percent) = (true, 0);
        self.cut_off.clear();
        for r in 0..self.routers.len() {
            self.routers[r].paused_until = 0;
            if !self.routers[r].alive {
                self.restart(r);
            }
        }
        self.run_until(self.now + 60 * S);
        // A release that is reported as done runs on every router.
        let known = self.routers.iter().filter_map(|router| router.known.as_ref());
        let newest = known.max_by_key(|state| state.version);
        let release = newest.and_then(|state| state.release.as_ref());
        if let Some(release) = release.filter(|release| release.phase == ReleasePhase::Done) {
            self.counts.releases_done += 1;
            let all_run_it = self.routers.iter().all(|router| router.running_digest == release.digest);
            assert!(all_run_it, "not all routers run {}", release.digest);
        }
        let newest = newest.map(|state| state.version);
        self.routers.iter().all(|router| router.known_version() == newest)
    }
}
