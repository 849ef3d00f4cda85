//! What goes wrong, and that it is mended.

use tallypin_consensus::drain_lease::LocalPhase;
use tallypin_consensus::release::ReleasePhase;

use crate::events::Event;
use crate::world::{World, COUNCIL, S};

impl World {
    pub fn fault(&mut self) {
        let r = self.rng.usize(..self.routers.len());
        let now = self.now;
        match self.rng.u32(..6) {
            0 if self.routers[r].alive && (r >= COUNCIL || self.council_is_complete()) => {
                self.routers[r].alive = false;
            }
            1 => self.routers[r].stopped_until = now + self.rng.u64(S..20 * S),
            2 => {
                let some = 1 + self.routers.len() / 4;
                self.cut_off = (0..some).map(|_| self.rng.usize(..self.routers.len())).collect();
            }
            3 => self.cut_off.clear(),
            _ => self.restart_crashed(),
        }
        let again = now + self.rng.u64(S / 2..4 * S);
        self.schedule(again, Event::Fault);
    }

    /// One member at a time crashes: when a majority forgets at once nothing can be agreed on any more, as is stated.
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

    /// Everything is mended and nobody orders anything: what is requested has to come to an end. Whether all routers know
    /// the same state then.
    pub fn settle(&mut self) -> bool {
        (self.calm, self.lost_percent) = (true, 0);
        self.cut_off.clear();
        for r in 0..self.routers.len() {
            self.routers[r].stopped_until = 0;
            if !self.routers[r].alive {
                self.restart(r);
            }
        }
        self.play(self.now + 60 * S);
        // What is said to be done is: every router runs it.
        let known = self.routers.iter().filter_map(|router| router.known.as_ref());
        let newest = known.max_by_key(|state| state.version);
        let release = newest.and_then(|state| state.release.as_ref());
        if let Some(release) = release.filter(|release| release.phase == ReleasePhase::Done) {
            self.tally.released += 1;
            let run = self.routers.iter().all(|router| router.running_digest == release.digest);
            assert!(run, "not all run {}", release.digest);
        }
        let newest = newest.map(|state| state.version);
        self.routers.iter().all(|router| router.known_version() == newest)
    }
}
