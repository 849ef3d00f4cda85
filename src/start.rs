//! When a replica started, as far as the list's word on it can be believed.
//!
//! Starts are told as wall time, and wall clocks are stepped: a start may seem to lie ahead, or so long ago that a replica
//! that has just started would pass for warm. What the gateway knows by its own clock, which never steps, bounds it: a
//! replica cannot have started later than now, nor before the list was last held without that start.

use crate::api::{Nanos, SECOND};

/// The list may tell of a start so late.
const TOLD_LATE: Nanos = 2 * SECOND;
/// A subscription that has ended may have told nothing for so long before that was seen.
const UNSEEN_SILENCE: Nanos = 4 * SECOND;

/// Until when a list is known to have told all there was to tell.
#[derive(Debug, Default)]
pub struct ListHeld {
    follows: bool,
    until: Nanos,
}

impl ListHeld {
    /// A list of now has come, and changes follow it.
    pub fn told(&mut self) {
        self.follows = true;
    }

    /// Changes no longer follow.
    pub fn ended(&mut self, now: Nanos) {
        if std::mem::take(&mut self.follows) {
            self.until = now.saturating_sub(UNSEEN_SILENCE);
        }
    }

    /// When a replica started whose start, told as `start`, is new to the gateway at `now`.
    pub fn believed(&self, now: Nanos, start: Nanos) -> Nanos {
        let held_until = if self.follows { now } else { self.until };
        let start = start.min(now);
        if start.saturating_add(TOLD_LATE) < held_until {
            return held_until;
        }
        start
    }
}
