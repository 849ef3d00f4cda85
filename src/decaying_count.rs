//! A count of events with exponential decay.

use crate::api::{Nanos, SECOND};

/// An exponentially decaying count. `count` is its value at time `as_of`. The caller passes the time constant, which must be the
/// same at each call.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecayingCount {
    count: f64,
    as_of: Nanos,
}

impl DecayingCount {
    /// Counts an event at `now`. After `time_constant_s` seconds without another one, 1/e of the count is left.
    pub(crate) fn record(&mut self, now: Nanos, time_constant_s: f64) {
        *self = DecayingCount { count: self.decayed(now, time_constant_s) + 1.0, as_of: now };
    }

    /// Returns the decayed count at `now`.
    pub(crate) fn decayed(&self, now: Nanos, time_constant_s: f64) -> f64 {
        let age = now.saturating_sub(self.as_of) as f64 / SECOND as f64;
        self.count * (-age / time_constant_s).exp()
    }

    /// Returns this count as a share of `total`, 0 to 1, shrunk towards `prior`. The prior weighs as much as
    /// `prior_events` events in the total. Each count has its value at the time of its last event.
    pub(crate) fn share_of(&self, total: &DecayingCount, prior: f64, prior_events: f64) -> f64 {
        (self.count + prior * prior_events) / (total.count + prior_events).max(1.0)
    }
}
