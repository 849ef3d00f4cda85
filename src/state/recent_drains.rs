//! The replicas that have lately stopped taking work by the endpoint list.

use std::collections::VecDeque;

use crate::api::{Nanos, SECOND};
use crate::drain_notice::Incarnation;

/// A drain is remembered for so long: by then each router has heard the list again.
const MEMORY: Nanos = 60 * SECOND;
/// The most drains that are remembered, the latest ones.
const MAX_DRAINS: usize = 63;

/// The drains, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentDrains {
    drains: VecDeque<(Nanos, Incarnation)>,
}

impl RecentDrains {
    /// An incarnation takes nothing new from `now` on.
    pub(crate) fn add(&mut self, now: Nanos, incarnation: Incarnation) {
        self.forget(incarnation);
        if self.drains.len() == MAX_DRAINS {
            self.drains.pop_front();
        }
        self.drains.push_back((now, incarnation));
    }

    /// An incarnation takes work after all.
    pub(crate) fn forget(&mut self, incarnation: Incarnation) {
        self.drains.retain(|(_, known)| *known != incarnation);
    }

    /// Those that are remembered at `now`, the latest first.
    pub(crate) fn since(&mut self, now: Nanos) -> Vec<Incarnation> {
        self.drains.retain(|(at, _)| at.saturating_add(MEMORY) > now);
        self.drains.iter().rev().map(|(_, incarnation)| *incarnation).collect()
    }
}
