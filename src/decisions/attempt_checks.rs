//! When attempts without a first token are looked at again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::api::{Nanos, RequestId};

/// Attempts to look at again, the earliest first: when, of which request, which attempt.
#[derive(Default)]
pub(super) struct AttemptChecks(BinaryHeap<Reverse<(Nanos, RequestId, u32)>>);

impl AttemptChecks {
    /// Adds one.
    pub(super) fn add(&mut self, at: Nanos, id: RequestId, attempt: u32) {
        self.0.push(Reverse((at, id, attempt)));
    }

    /// Takes out the earliest that is due at `now`.
    pub(super) fn next_due(&mut self, now: Nanos) -> Option<(Nanos, RequestId, u32)> {
        self.0.peek().filter(|check| check.0 .0 <= now)?;
        self.0.pop().map(|check| check.0)
    }
}
