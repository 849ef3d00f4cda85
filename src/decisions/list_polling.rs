//! State of the polls for the endpoint list, and the time of the next one.

use crate::api::{list_call_interval, Nanos, NOTIFICATION_LIMIT, SECOND};
use crate::start_time::ListCoverage;

/// Maximum time that a watch may be silent before its loss is detected.
const MAX_UNDETECTED_SILENCE: Nanos = 3 * SECOND;

/// Share of the interval between polls that is random.
const JITTER_SHARE: f64 = 0.4;

/// The watch on the endpoint list, and its polls.
#[derive(Default)]
pub(super) struct ListPolling {
    /// Whether changes of the list are being received.
    pub(super) is_watched: bool,
    /// Time from which changes may have been missed, while the list is not watched.
    stale_since: Nanos,
    /// Time of the last poll; 0 before the first one.
    pub(super) polled_at: Nanos,
    /// Time at which the next poll is due.
    pub(super) next_poll_at: Nanos,
    /// Time up to which the list is known to be complete.
    pub(super) list_coverage: ListCoverage,
}

impl ListPolling {
    /// Sets the start time: the list that the router starts with may be outdated.
    pub(super) fn start(&mut self, now: Nanos) {
        self.stale_since = now;
    }

    /// Records that the list was received and is watched from now on.
    pub(super) fn record_list_received(&mut self) {
        self.is_watched = true;
        self.list_coverage.watch_began();
    }

    /// Records that the watch ended or a poll failed.
    pub(super) fn record_list_failure(&mut self, now: Nanos) {
        self.list_coverage.watch_ended(now);
        if std::mem::take(&mut self.is_watched) {
            self.stale_since = now.saturating_sub(MAX_UNDETECTED_SILENCE);
        }
    }

    /// Returns when a replica started, with the time in its entry bounded to plausible values.
    pub(super) fn plausible_start(&self, now: Nanos, started_at: Nanos) -> Nanos {
        self.list_coverage.plausible_start(now, started_at)
    }

    /// Returns the interval between polls for one of `router_count` routers.
    pub(super) fn interval(&self, now: Nanos, router_count: u32) -> Nanos {
        let notified_at = self.stale_since.saturating_add(NOTIFICATION_LIMIT);
        list_call_interval(router_count, now, notified_at)
    }

    /// Returns the time of the next poll after a failed poll or the end of a watch at `now`. The interval
    /// counts from the last poll, so that a poll that took long to fail is repeated soon. `random`, 0 to 1,
    /// separates routers that fail together.
    pub(super) fn poll_after_failure(&self, now: Nanos, interval: Nanos, random: f64) -> Nanos {
        let jitter = interval as f64 * JITTER_SHARE * random;
        let min_interval = interval as f64 * (1.0 - JITTER_SHARE);
        let from_last_poll = self.polled_at.saturating_add((min_interval + jitter) as Nanos);
        from_last_poll.max(now.saturating_add(jitter as Nanos))
    }
}
