//! Decides when a replica that is out of service is clear: no router sends requests to it or has any in flight there.

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

/// One router's report on the replicas that are out of service by order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AppliedState {
    /// Version of the fleet state that the router applies.
    pub version: u64,
    /// Ids of the replicas that are out of service by that state and at which the router has requests in flight.
    #[serde(rename = "open")]
    pub in_flight: Vec<String>,
}

/// One router's use of the replicas that are out of service by order, as far as this use is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaUse<'a> {
    /// The last report of the router's current incarnation; `None` if there is none yet.
    pub applied: Option<&'a AppliedState>,
    /// Whether the router is known to have ended, so that none of its requests is in flight.
    pub has_left: bool,
}

impl ReplicaUse<'_> {
    fn may_use(&self, replica: &str, since: u64) -> bool {
        let may_use = |applied: &AppliedState| {
            applied.version < since || applied.in_flight.iter().any(|id| id == replica)
        };
        !self.has_left && self.applied.is_none_or(may_use)
    }
}

/// Returns the routers that prevent a replica from being clear.
///
/// The replica is out of service since version `since` of the fleet state. A router is clear once it has reported that it applies
/// that version and has no request in flight at the replica. `uses` is by [`RouterIndex`].
pub fn routers_still_using(replica: &str, since: u64, uses: &[ReplicaUse<'_>]) -> Vec<RouterIndex> {
    (0..)
        .zip(uses)
        .filter(|(_, router_use)| router_use.may_use(replica, since))
        .map(|(router, _)| router)
        .collect()
}
