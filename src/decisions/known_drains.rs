//! Drains known from the endpoint list and from notices of peers.

use fastrand::Rng;

use crate::api::{EndpointEntry, Nanos};
use crate::drain_notice::Incarnation;
use crate::state::recent_drains::RecentDrains;

/// Combined with the router's seed to seed the generator for drain queries.
const QUERY_SEED_SALT: u64 = 0x6472_6169_6e73_2121;

/// Drains known to this router, and the state of its queries to peers.
pub(super) struct KnownDrains {
    /// Drains reported by this router's own endpoint list.
    pub(super) recent: RecentDrains,
    /// Slots of replicas drained by peers' notices, with their entries in the endpoint list.
    pub(super) drained_by_notice: Vec<(usize, EndpointEntry)>,
    /// Whether a timer for the next queries is set.
    pub(super) query_scheduled: bool,
    /// Random generator for the peers to query and the first delay. It is separate so that queries do not
    /// change the router's other random choices.
    pub(super) rng: Rng,
}

impl KnownDrains {
    pub(super) fn new(seed: u64) -> KnownDrains {
        KnownDrains {
            recent: RecentDrains::default(),
            drained_by_notice: Vec::new(),
            query_scheduled: false,
            rng: Rng::with_seed(seed ^ QUERY_SEED_SALT),
        }
    }

    /// Returns the drains to report to a peer: first those from the list, latest first, then those from
    /// notices.
    pub(super) fn known_incarnations(&mut self, now: Nanos) -> Vec<Incarnation> {
        let mut known = self.recent.remembered_at(now);
        let from_notices = self.drained_by_notice.iter().map(|(_, entry)| Incarnation::from_entry(entry));
        known.extend(from_notices.filter(|incarnation| !known.contains(incarnation)).collect::<Vec<_>>());
        known
    }
}
