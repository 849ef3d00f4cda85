//! Plausible start times of replicas.
//!
//! The endpoint list states start times by the wall clock, which can be stepped: a start may appear to be in the
//! future, or so long ago that a replica that has just started would count as warm. The router's own monotonic clock
//! bounds it: a replica cannot have started later than now, nor before the time up to which the list was complete
//! without that start.

use crate::api::{Nanos, SECOND};

/// Maximum delay between a replica's start and its entry in the list.
const MAX_NOTIFICATION_DELAY: Nanos = 2 * SECOND;
/// Maximum time that a watch may be silent before its loss is detected.
const MAX_UNDETECTED_SILENCE: Nanos = 4 * SECOND;

/// Time up to which the endpoint list is known to be complete.
#[derive(Debug, Default)]
pub struct ListCoverage {
    /// Whether a watch is active: the list is then complete up to now.
    is_watched: bool,
    /// Time up to which the list was complete when the watch ended.
    complete_until: Nanos,
}

impl ListCoverage {
    /// Records that the router has an up-to-date endpoint list and receives its changes from now on.
    pub fn watch_began(&mut self) {
        self.is_watched = true;
    }

    /// Records that the watch on the endpoint list ended.
    pub fn watch_ended(&mut self, now: Nanos) {
        if std::mem::take(&mut self.is_watched) {
            self.complete_until = now.saturating_sub(MAX_UNDETECTED_SILENCE);
        }
    }

    /// Returns the plausible start time of a replica whose stated start time `start` is new to the router at `now`.
    pub fn plausible_start(&self, now: Nanos, start: Nanos) -> Nanos {
        let complete_until = if self.is_watched { now } else { self.complete_until };
        let start = start.min(now);
        if start.saturating_add(MAX_NOTIFICATION_DELAY) < complete_until {
            return complete_until;
        }
        start
    }
}
