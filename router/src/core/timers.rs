//! When the core has to look at something again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tallypin::api::{Nanos, RequestId};

/// Fewer obsolete timers than this are not worth looking through all of them.
const OBSOLETE_WORTH_A_SWEEP: usize = 256;

/// What is to be looked at. Timers of one time run in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The decision module asked to be woken, with this token.
    Decision(u64),
    /// The first-token timeout of an attempt.
    AttemptTimeout(RequestId, u32),
    /// A request's deadline, and the time beyond it that the decision module has for a final answer.
    Deadline(RequestId),
}

/// The timers, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<(Nanos, TimerKind)>>,
    /// How many of them may be obsolete.
    obsolete: usize,
}

impl Timers {
    /// Adds a timer.
    pub(super) fn schedule(&mut self, at: Nanos, kind: TimerKind) {
        self.queue.push(Reverse((at, kind)));
    }

    /// Takes the earliest timer that is due, with its time.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<(Nanos, TimerKind)> {
        let &Reverse((at, kind)) = self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        Some((at, kind))
    }

    /// When the earliest one is due.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Notes that so many more timers are obsolete, and drops those that are not `needed` once they may be half of all.
    /// Guards against requests with long deadlines that are over soon: their timers would else stay until then.
    pub(super) fn note_obsolete(&mut self, count: usize, needed: impl Fn(&TimerKind) -> bool) {
        self.obsolete += count;
        if self.obsolete < OBSOLETE_WORTH_A_SWEEP || self.obsolete * 2 < self.queue.len() {
            return;
        }
        self.obsolete = 0;
        self.queue.retain(|Reverse((_, kind))| needed(kind));
    }
}

#[cfg(test)]
mod tests;
