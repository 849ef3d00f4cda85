//! When a replica that is out of service is clear: no router sends to it or waits for it any more.

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

/// What one router reports of the replicas that are out by order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AppliedState {
    /// The version of the fleet state that the router applies.
    pub version: u64,
    /// The replicas, out by that state, where it has requests in flight.
    #[serde(rename = "open")]
    pub in_flight: Vec<String>,
}

/// What is known of one router's use of replicas that are out by order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaUse<'a> {
    /// What it reported last in its present incarnation; `None`: nothing yet.
    pub applied: Option<&'a AppliedState>,
    /// Whether it is known to have ended, so that nothing of it is in flight.
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

/// The routers that keep a replica from being clear, which went out with version `since` of the fleet state: all that have
/// not reported that they apply that version and have nothing in flight there. `uses` is by [`RouterIndex`].
pub fn routers_not_clear(replica: &str, since: u64, uses: &[ReplicaUse<'_>]) -> Vec<RouterIndex> {
    (0..).zip(uses).filter(|(_, of)| of.may_use(replica, since)).map(|(router, _)| router).collect()
}
