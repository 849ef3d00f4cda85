//! Who of a fleet of routers lives, as one that hears their beats sees it. No input or output; the time is handed in
//! and is monotonic, ns.
//!
//! Each router sends a beat to each member of the council, which is of fixed size: a router's cost does not grow with
//! the fleet, and what counts is decided where agreement is (`tallypin-accord` asks a majority of the council what
//! each has heard). `docs/FLEET-DESIGN.md` has the options weighed.
//!
//! A life is one start of a router's process. A later life ends the earlier one at once; a beat of an earlier life
//! that comes late is no beat.

use serde::{Deserialize, Serialize};

/// A point in time, ns; monotonic.
pub type Nanos = u64;

/// A router's place in the list of the fleet's settings.
pub type Place = u16;

/// What a router says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Says {
    /// It serves.
    Serving,
    /// It has just started and does not serve yet.
    Starting,
    /// It drains, or has drained.
    Draining,
    /// It ends as planned: silence is expected from now on.
    Ending,
}

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Never heard since this table began, and that is not long ago.
    Unknown,
    /// Heard of late.
    Here(Says),
    /// Not heard for too long.
    Silent,
}

impl Standing {
    /// Whether it counts as out of service: all but one that serves, or that nothing is known of yet.
    pub fn out(self) -> bool {
        !matches!(self, Standing::Here(Says::Serving) | Standing::Unknown)
    }
}

/// The figures that this goes by, ns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// A beat comes so often.
    pub every: Nanos,
    /// Without one for so long a router is silent. Several beats, so that one that is lost or late is no silence.
    pub silent: Nanos,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    life: u64,
    at: Nanos,
    says: Says,
}

/// What one member of the council has heard.
#[derive(Debug)]
pub struct Presence {
    figures: Figures,
    heard: Vec<Option<Heard>>,
    /// Since when it listens without a gap of its own.
    listening: Nanos,
    looked: Nanos,
}

impl Presence {
    /// A table of so many routers, from `now` on.
    pub fn new(figures: Figures, routers: usize, now: Nanos) -> Presence {
        Presence { figures, heard: vec![None; routers], listening: now, looked: now }
    }

    /// Called at least once a beat, and before anything is told. Who was stopped itself for longer has heard nobody in
    /// that time, and that is its own fault: all get a whole term again before any is called silent.
    pub fn look(&mut self, now: Nanos) {
        if now.saturating_sub(self.looked) > self.figures.silent / 2 {
            self.listening = now;
        }
        self.looked = self.looked.max(now);
    }

    /// A router's beat. False: of an earlier life than one known, or of no router of the fleet.
    pub fn beat(&mut self, now: Nanos, from: Place, life: u64, says: Says) -> bool {
        self.look(now);
        let Some(heard) = self.heard.get_mut(usize::from(from)) else { return false };
        if heard.is_some_and(|h| h.life > life) {
            return false;
        }
        *heard = Some(Heard { life, at: now, says });
        true
    }

    /// What is believed of a router.
    pub fn standing(&self, now: Nanos, of: Place) -> Standing {
        let heard = self.heard.get(usize::from(of)).copied().flatten();
        let since = heard.map_or(self.listening, |h| h.at.max(self.listening));
        let silent = now.saturating_sub(since) > self.figures.silent;
        match heard {
            // It has said that it goes: its silence is no news, and it is out either way.
            Some(Heard { says: Says::Ending, .. }) => Standing::Here(Says::Ending),
            _ if silent => Standing::Silent,
            Some(h) => Standing::Here(h.says),
            None => Standing::Unknown,
        }
    }

    /// Whether a router has said that it ends, and has not been heard for a whole term since: nothing of it runs.
    pub fn gone(&self, now: Nanos, of: Place) -> bool {
        let heard = self.heard.get(usize::from(of)).copied().flatten();
        heard.is_some_and(|h| h.says == Says::Ending && now.saturating_sub(h.at) > self.figures.silent)
    }

    /// The life in which a router was heard last, if it is not silent, and whether it serves.
    pub fn here(&self, now: Nanos, of: Place) -> Option<(u64, bool)> {
        let heard = self.heard.get(usize::from(of)).copied().flatten()?;
        match self.standing(now, of) {
            Standing::Here(says) => Some((heard.life, says == Says::Serving)),
            _ => None,
        }
    }

    /// All routers that count as out.
    pub fn out(&mut self, now: Nanos) -> Vec<Place> {
        self.look(now);
        let all = 0..self.heard.len() as Place;
        all.filter(|&r| self.standing(now, r).out()).collect()
    }

    /// Whether this table may be asked at all: one that has just begun, or was stopped, knows nobody's silence.
    pub fn knows(&self, now: Nanos) -> bool {
        now.saturating_sub(self.listening) > self.figures.silent
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Nanos = 1_000_000_000;
    const FIGURES: Figures = Figures { every: S / 2, silent: 2 * S };

    #[test]
    fn silence_is_believed_after_its_time_and_ends_with_a_beat() {
        let mut p = Presence::new(FIGURES, 3, 0);
        assert!(p.beat(S, 0, 7, Says::Serving));
        (1..=6).for_each(|k| p.look(S + k * S / 2));
        assert_eq!(p.standing(3 * S, 0), Standing::Here(Says::Serving), "not yet");
        assert_eq!(p.standing(4 * S, 0), Standing::Silent);
        assert_eq!(p.standing(4 * S, 1), Standing::Silent, "never heard, and long enough");
        assert!(p.beat(4 * S, 0, 7, Says::Serving));
        assert_eq!(p.out(4 * S), vec![1, 2]);
    }

    #[test]
    fn whoever_was_stopped_itself_calls_nobody_silent() {
        let mut p = Presence::new(FIGURES, 2, 0);
        (0..10).for_each(|k| assert!(p.beat(k * S / 2, 0, 7, Says::Serving)));
        // Stopped for 20 s: it wakes, and the beats of the others are still in its sockets.
        assert_eq!(p.out(25 * S), vec![], "its own gap is no silence of others");
        assert!(!p.knows(25 * S));
        (0..6).for_each(|k| p.look(25 * S + k * S / 2));
        assert_eq!(p.out(28 * S), vec![0, 1], "but a whole term later it is");
    }

    #[test]
    fn a_beat_of_an_earlier_life_is_none() {
        let mut p = Presence::new(FIGURES, 1, 0);
        assert!(p.beat(S, 0, 8, Says::Starting));
        assert!(!p.beat(S, 0, 7, Says::Serving), "late, of the life before");
        assert_eq!(p.standing(S, 0), Standing::Here(Says::Starting));
        assert_eq!((p.here(S, 0), p.here(S, 1)), (Some((8, false)), None));
        assert!(p.beat(S, 0, 8, Says::Ending) && !p.gone(2 * S, 0) && p.gone(4 * S, 0));
        assert!(!p.beat(S, 5, 1, Says::Serving), "of no router of the fleet");
    }

    proptest! {
        /// Whatever comes in whatever order: a router that beat within the term, in its newest life, is never out.
        #[test]
        fn no_router_that_beats_is_silent(beats in proptest::collection::vec((0u64..400, 0u16..4, 0u64..3), 1..200)) {
            let mut p = Presence::new(FIGURES, 4, 0);
            let mut last = [(0u64, 0u64); 4];
            let mut now = 0;
            for (gap, from, life) in beats {
                now += gap * 1_000_000;
                let r = &mut last[usize::from(from)];
                let taken = p.beat(now, from, life, Says::Serving);
                prop_assert_eq!(taken, life >= r.1, "life {} after {}", life, r.1);
                if taken {
                    *r = (now, life);
                }
                for (of, r) in last.iter().enumerate() {
                    let fresh = now - r.0 <= FIGURES.silent;
                    let standing = p.standing(now, of as Place);
                    prop_assert!(!(fresh && standing == Standing::Silent), "{standing:?}");
                }
            }
        }
    }
}
