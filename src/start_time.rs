//! When a replica started, as far as the endpoint list can be believed.
//!
//! The list states starts as wall time, and wall clocks are stepped: a start may seem to lie ahead, or so long ago that a
//! replica that has just started would pass for warm. What the router knows by its own clock, which never steps, bounds
//! it: a replica cannot have started later than now, nor before the list was last known to be complete without that
//! start.

use crate::api::{Nanos, SECOND};

/// The list may state a start so long after it.
const MAX_NOTIFICATION_DELAY: Nanos = 2 * SECOND;
/// A watch that has ended may have been silent for so long before that was detected.
const MAX_UNDETECTED_SILENCE: Nanos = 4 * SECOND;

/// Until when the endpoint list is known to be complete.
#[derive(Debug, Default)]
pub struct ListCoverage {
    /// A watch follows the list: it is complete until now.
    watched: bool,
    /// Until when it was complete, once it is not watched.
    complete_until: Nanos,
}

impl ListCoverage {
    /// A current list has come, and its changes follow.
    pub fn watch_began(&mut self) {
        self.watched = true;
    }

    /// Changes no longer follow.
    pub fn watch_ended(&mut self, now: Nanos) {
        if std::mem::take(&mut self.watched) {
            self.complete_until = now.saturating_sub(MAX_UNDETECTED_SILENCE);
        }
    }

    /// When a replica started whose stated start `start` is new to the router at `now`.
    pub fn plausible_start(&self, now: Nanos, start: Nanos) -> Nanos {
        let complete_until = if self.watched { now } else { self.complete_until };
        let start = start.min(now);
        if start.saturating_add(MAX_NOTIFICATION_DELAY) < complete_until {
            return complete_until;
        }
        start
    }
}
