//! Replicas that recently stopped taking work, by the endpoint list.

use std::collections::VecDeque;

use crate::api::{Nanos, SECOND};
use crate::drain_notice::Incarnation;

/// Time that a drain is remembered. It is long enough for every router to receive the list again.
const RETENTION: Nanos = 60 * SECOND;
/// Maximum number of drains remembered; the latest ones are kept.
const MAX_DRAINS: usize = 63;

/// Recent drains, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentDrains {
    drains: VecDeque<(Nanos, Incarnation)>,
}

impl RecentDrains {
    /// Records that an incarnation takes no new work from `now` on.
    pub(crate) fn add(&mut self, now: Nanos, incarnation: Incarnation) {
        self.remove(incarnation);
        if self.drains.len() == MAX_DRAINS {
            self.drains.pop_front();
        }
        self.drains.push_back((now, incarnation));
    }

    /// Removes an incarnation that takes work again.
    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        self.drains.retain(|(_, known)| *known != incarnation);
    }

    /// Returns the drains remembered at `now`, latest first.
    pub(crate) fn remembered_at(&mut self, now: Nanos) -> Vec<Incarnation> {
        self.drains.retain(|(at, _)| at.saturating_add(RETENTION) > now);
        self.drains.iter().rev().map(|(_, incarnation)| *incarnation).collect()
    }
}
