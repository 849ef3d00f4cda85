//! What is known of drains beside the endpoint list, and whether other routers are being asked for it.

use fastrand::Rng;

use crate::api::{EndpointEntry, Nanos};
use crate::drain_notice::Incarnation;
use crate::state::recent_drains::RecentDrains;

/// Makes another seed of the router's own.
const SEED_OF_QUERIES: u64 = 0x6472_6169_6e73_2121;

/// What is known of drains beside the endpoint list.
pub(super) struct KnownDrains {
    /// What the list has told this router.
    pub(super) recent: RecentDrains,
    /// Slots that other routers' notices took out, with the entries that they have by the list.
    pub(super) taken_out: Vec<(usize, EndpointEntry)>,
    /// A timer for the next queries is set.
    pub(super) query_scheduled: bool,
    /// Draws who is asked, and when first. Apart from all other draws: these stay the same whether others are
    /// asked or not.
    pub(super) rng: Rng,
}

impl KnownDrains {
    /// Nothing is known yet.
    pub(super) fn new(seed: u64) -> KnownDrains {
        KnownDrains {
            recent: RecentDrains::default(),
            taken_out: Vec::new(),
            query_scheduled: false,
            rng: Rng::with_seed(seed ^ SEED_OF_QUERIES),
        }
    }

    /// All that another router is told of: what the list has told, the latest first, then what notices have.
    pub(super) fn known_at(&mut self, now: Nanos) -> Vec<Incarnation> {
        let mut known = self.recent.since(now);
        let passed_on = self.taken_out.iter().map(|(_, entry)| Incarnation::of(entry));
        known.extend(passed_on.filter(|incarnation| !known.contains(incarnation)).collect::<Vec<_>>());
        known
    }
}
