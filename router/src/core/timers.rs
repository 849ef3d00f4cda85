//! The timers of the core.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tallypin::api::{Nanos, RequestId};

/// Obsolete timers are removed only once there are at least this many, as removal scans all timers.
const MIN_OBSOLETE_FOR_SWEEP: usize = 256;

/// The action that a timer triggers. Timers due at the same time run in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// A wake-up that the decision module requested, with its token.
    Decision(u64),
    /// The first-token timeout of an attempt.
    AttemptTimeout(RequestId, u32),
    /// The end of a request's deadline plus the slack that the decision module has for a final answer.
    Deadline(RequestId),
}

/// The scheduled timers, earliest first.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<(Nanos, TimerKind)>>,
    /// Number of timers in the queue that may be obsolete.
    obsolete: usize,
}

impl Timers {
    /// Adds a timer.
    pub(super) fn schedule(&mut self, at: Nanos, kind: TimerKind) {
        self.queue.push(Reverse((at, kind)));
    }

    /// Removes and returns the earliest timer that is due, with its time.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<(Nanos, TimerKind)> {
        let &Reverse((at, kind)) = self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        Some((at, kind))
    }

    /// Time of the earliest timer.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    /// Number of scheduled timers, obsolete ones included.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Records that `count` more timers are obsolete. Once obsolete timers may be half of the queue, those for which `needed`
    /// is false are removed. Otherwise the timers of requests that finish early would stay until their long deadlines.
    pub(super) fn mark_obsolete(&mut self, count: usize, needed: impl Fn(&TimerKind) -> bool) {
        self.obsolete += count;
        if self.obsolete < MIN_OBSOLETE_FOR_SWEEP || self.obsolete * 2 < self.queue.len() {
            return;
        }
        self.obsolete = 0;
        self.queue.retain(|Reverse((_, kind))| needed(kind));
    }
}

#[cfg(test)]
mod tests;
