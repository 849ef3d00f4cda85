//! A count of occurrences in which each counts less the longer ago it was.

use crate::api::{Nanos, SECOND};

/// An exponentially decaying count. `count` is as of `as_of`; the memory is the caller's and has to be the same at
/// each call.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecayingCount {
    count: f64,
    as_of: Nanos,
}

impl DecayingCount {
    /// Counts an occurrence at `now`. After `memory_s` seconds without another one, 1/e of the count is left.
    pub(crate) fn record(&mut self, now: Nanos, memory_s: f64) {
        *self = DecayingCount { count: self.decayed(now, memory_s) + 1.0, as_of: now };
    }

    /// What is left of the count at `now`.
    pub(crate) fn decayed(&self, now: Nanos, memory_s: f64) -> f64 {
        let age = now.saturating_sub(self.as_of) as f64 / SECOND as f64;
        self.count * (-age / memory_s).exp()
    }

    /// This count as a share of `total`, 0 to 1, shrunk towards `prior`: the prior weighs as much as
    /// `prior_occurrences` occurrences in the total. Both counts are taken as of their last occurrence.
    pub(crate) fn share_of(&self, total: &DecayingCount, prior: f64, prior_occurrences: f64) -> f64 {
        (self.count + prior * prior_occurrences) / (total.count + prior_occurrences).max(1.0)
    }
}
