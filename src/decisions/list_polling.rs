//! State of the polls for the endpoint list, and the time of the next one.

use crate::api::{list_call_interval, ListUpdate, Nanos, NOTIFICATION_LIMIT, SECOND};
use crate::start_time::ListCoverage;

/// Maximum time that a watch may be silent before its loss is detected.
const MAX_UNDETECTED_SILENCE: Nanos = 3 * SECOND;

/// Maximum time for which the router may be held up between a decision and the write that follows from it.
const MAX_WRITE_DELAY: Nanos = SECOND * 3 / 20;

/// Share of the interval between polls that is random.
const JITTER_SHARE: f64 = 0.4;

/// The watch on the endpoint list, and its polls.
#[derive(Default)]
pub(super) struct ListPolling {
    /// Whether changes of the list are being received.
    pub(super) is_watched: bool,
    /// Time from which changes may have been missed, while the list is not watched.
    stale_since: Nanos,
    /// While the list is not watched, changes since this time count as notified after [`NOTIFICATION_LIMIT`]:
    /// the list was complete then, or the list service could not be reached.
    unnotified_since: Nanos,
    /// Whether the list service has answered a poll without the complete list since then.
    is_turned_away: bool,
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
        self.unnotified_since = now;
    }

    /// Records that the list was received and is watched from now on.
    pub(super) fn record_list_received(&mut self) {
        self.is_watched = true;
        self.is_turned_away = false;
        self.list_coverage.watch_began();
    }

    /// Records that the watch ended or a poll failed.
    pub(super) fn record_list_failure(&mut self, now: Nanos, kind: ListUpdate) {
        self.list_coverage.watch_ended(now);
        match kind {
            ListUpdate::TurnedAway | ListUpdate::Truncated => self.is_turned_away = true,
            ListUpdate::Silent => self.record_unreachable(now.saturating_sub(MAX_UNDETECTED_SILENCE)),
            _ => self.record_unreachable(now),
        }
        if std::mem::take(&mut self.is_watched) {
            self.stale_since = now.saturating_sub(MAX_UNDETECTED_SILENCE);
        }
    }

    /// Records that the list was complete at `since`, or that the list service could not be reached then.
    fn record_unreachable(&mut self, since: Nanos) {
        self.unnotified_since = since;
        self.is_turned_away = false;
    }

    /// Returns whether the known list may be used for a request that is sent now. It may not if a change of
    /// it could count as notified for longer than `drain_grace`. A list service that cannot be reached
    /// notifies nobody, so the list may be used for as long as that lasts; one that turns polls away is
    /// reached.
    pub(super) fn is_list_usable(&self, now: Nanos, drain_grace: Nanos) -> bool {
        let grace = drain_grace.saturating_sub(MAX_WRITE_DELAY);
        !self.is_turned_away || now < self.unnotified_since.saturating_add(NOTIFICATION_LIMIT + grace)
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
