//! When a replica started, as far as the list's word on it can be believed.
//!
//! Starts are told as wall time, and wall clocks are stepped: a start may seem to lie ahead, or so long ago that a replica
//! that has just started would pass for warm. What the gateway knows by its own clock, which never steps, bounds it: a
//! replica cannot have started later than now, nor before the list was last held without that start.

use crate::api::{Nanos, SECOND};

/// The list may tell of a start so late.
const MAX_NOTIFICATION_DELAY: Nanos = 2 * SECOND;
/// A subscription that has ended may have told nothing for so long before that was seen.
const MAX_UNDETECTED_SILENCE: Nanos = 4 * SECOND;

/// Until when a list is known to have told all there was to tell.
#[derive(Debug, Default)]
pub struct ListCoverage {
    watched: bool,
    complete_until: Nanos,
}

impl ListCoverage {
    /// A list of now has come, and changes follow it.
    pub fn watch_began(&mut self) {
        self.watched = true;
    }

    /// Changes no longer follow.
    pub fn watch_ended(&mut self, now: Nanos) {
        if std::mem::take(&mut self.watched) {
            self.complete_until = now.saturating_sub(MAX_UNDETECTED_SILENCE);
        }
    }

    /// When a replica started whose start, told as `start`, is new to the gateway at `now`.
    pub fn plausible_start(&self, now: Nanos, start: Nanos) -> Nanos {
        let held_until = if self.watched { now } else { self.complete_until };
        let start = start.min(now);
        if start.saturating_add(MAX_NOTIFICATION_DELAY) < held_until {
            return held_until;
        }
        start
    }
}
