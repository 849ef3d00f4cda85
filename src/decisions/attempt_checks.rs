//! Schedule of the checks on attempts that have no first token yet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::api::{Nanos, RequestId};

/// Scheduled checks, earliest first: time, request, index of the attempt.
#[derive(Default)]
pub(super) struct AttemptChecks(BinaryHeap<Reverse<(Nanos, RequestId, u32)>>);

impl AttemptChecks {
    /// Schedules a check of an attempt at time `at`.
    pub(super) fn add(&mut self, at: Nanos, id: RequestId, attempt: u32) {
        self.0.push(Reverse((at, id, attempt)));
    }

    /// Removes and returns the earliest check that is due at `now`.
    pub(super) fn next_due(&mut self, now: Nanos) -> Option<(Nanos, RequestId, u32)> {
        self.0.peek().filter(|check| check.0 .0 <= now)?;
        self.0.pop().map(|check| check.0)
    }
}
