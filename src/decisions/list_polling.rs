//! The state of the polls for the endpoint list, and when the next one is due.

use crate::api::{list_call_interval, Nanos, NOTIFICATION_LIMIT, SECOND};
use crate::start_time::ListCoverage;

/// A watch that is lost may have been silent for so long before.
const MAX_UNDETECTED_SILENCE: Nanos = 3 * SECOND;

/// So much of an interval between polls is drawn at random.
const SPREAD: f64 = 0.4;

/// The watch on the endpoint list, and the polls for it.
#[derive(Default)]
pub(super) struct ListPolling {
    /// Changes follow the last list.
    pub(super) is_watched: bool,
    /// Since when changes may have been missed, if the list is not watched.
    unheard_since: Nanos,
    /// When the list was last polled; 0 before the first poll.
    pub(super) polled_at: Nanos,
    /// The next poll is due then.
    pub(super) next_poll_at: Nanos,
    /// Until when the list is known to have been complete.
    pub(super) list_coverage: ListCoverage,
}

impl ListPolling {
    /// The router starts with a list that may be old.
    pub(super) fn start(&mut self, now: Nanos) {
        self.unheard_since = now;
    }

    /// The list has been heard, and is watched from here on.
    pub(super) fn heard(&mut self) {
        self.is_watched = true;
        self.list_coverage.watch_began();
    }

    /// The watch has ended, or a poll has failed.
    pub(super) fn failed(&mut self, now: Nanos) {
        self.list_coverage.watch_ended(now);
        if std::mem::take(&mut self.is_watched) {
            self.unheard_since = now.saturating_sub(MAX_UNDETECTED_SILENCE);
        }
    }

    /// When a replica started, as far as the time in its entry can be believed.
    pub(super) fn believed_start(&self, now: Nanos, started_at: Nanos) -> Nanos {
        self.list_coverage.plausible_start(now, started_at)
    }

    /// The interval between polls, for one of so many routers.
    pub(super) fn interval(&self, now: Nanos, router_count: u32) -> Nanos {
        let notified_at = self.unheard_since.saturating_add(NOTIFICATION_LIMIT);
        list_call_interval(router_count, now, notified_at)
    }

    /// When to poll after a failed poll, or the end of a watch, at `now`. The interval runs from the last
    /// poll, so that one which took long to fail is followed soon; `random`, from 0 to 1, keeps routers apart
    /// that fail together.
    pub(super) fn poll_after_failure(&self, now: Nanos, interval: Nanos, random: f64) -> Nanos {
        let spread = interval as f64 * SPREAD * random;
        let least = interval as f64 * (1.0 - SPREAD);
        let from_last_poll = self.polled_at.saturating_add((least + spread) as Nanos);
        from_last_poll.max(now.saturating_add(spread as Nanos))
    }
}
