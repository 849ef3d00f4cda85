//! The state of the polls for the endpoint list, and their backoff.

use crate::api::{Nanos, MAX_LIST_POLL_DELAY};
use crate::start_time::ListCoverage;

/// Each failure in a row adds this share of the longest poll interval to the backoff.
const BACKOFF_SHARE: f64 = 0.1;
/// So many failures are counted.
const MAX_FAILURES: u32 = 4;

/// The watch on the endpoint list, and the polls for it.
#[derive(Default)]
pub(super) struct ListPolling {
    /// Changes follow the last list.
    pub(super) is_watched: bool,
    /// Failures since the last list.
    pub(super) failures: u32,
    /// The next poll is due then.
    pub(super) next_poll_at: Nanos,
    /// Until when the list is known to have been complete.
    pub(super) list_coverage: ListCoverage,
}

impl ListPolling {
    /// When a replica started, as far as the time in its entry can be believed.
    pub(super) fn believed_start(&self, now: Nanos, started_at: Nanos) -> Nanos {
        self.list_coverage.plausible_start(now, started_at)
    }

    /// The backoff after another failure, ns, before jitter.
    pub(super) fn backoff(&mut self, max_poll_interval: Nanos) -> f64 {
        self.is_watched = false;
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        let backoff = max_poll_interval as f64 * BACKOFF_SHARE * f64::from(self.failures);
        backoff.min(MAX_LIST_POLL_DELAY as f64)
    }
}
