//! State used to find the replicas that have a prompt's tokens cached.

use crate::prefix_cache::SessionAffinity;
use crate::prefix_traffic::PrefixTraffic;

/// Cost of crossing zones that reduces the weight of another zone's replica by a factor of e.
const CROSS_ZONE_PREFERENCE_SCALE: f64 = 0.05;
/// Minimum weight of a replica of another zone, whatever the cost of crossing.
const MIN_OTHER_ZONE_WEIGHT: f64 = 1e-6;

/// State used to find the replicas that have a prompt's tokens cached.
pub(crate) struct AffinityState {
    /// Replica that last answered each session.
    pub(crate) sessions: SessionAffinity,
    /// Share of the traffic of each prefix.
    pub(crate) prefix_traffic: PrefixTraffic,
    /// Weight of a replica of another zone as a preferred replica; those of the own zone have weight 1.
    pub(crate) other_zone_weight: f64,
}

impl AffinityState {
    /// Creates the state of a router that has just started. `cross_zone_cost` is the cost of crossing zones
    /// as a share of a request's priority weight.
    pub(crate) fn new(cross_zone_cost: f64) -> AffinityState {
        let weight = (-cross_zone_cost / CROSS_ZONE_PREFERENCE_SCALE).exp();
        AffinityState {
            sessions: SessionAffinity::default(),
            prefix_traffic: PrefixTraffic::default(),
            other_zone_weight: weight.max(MIN_OTHER_ZONE_WEIGHT),
        }
    }
}
