//! What a router remembers to find the replicas that have a prompt's tokens cached.

use crate::prefix_cache::SessionAffinity;
use crate::prefix_traffic::PrefixTraffic;

/// A replica of another zone is preferred e times less for each so much of the cost of crossing.
const CROSS_ZONE_PREFERENCE_SCALE: f64 = 0.05;
/// The least weight of a replica of another zone, however dear crossing is.
const MIN_OTHER_ZONE_WEIGHT: f64 = 1e-6;

/// What is remembered to find a prompt's tokens again.
pub(crate) struct AffinityState {
    /// Where sessions' last answers began.
    pub(crate) sessions: SessionAffinity,
    /// The prefixes' shares of the traffic.
    pub(crate) prefix_traffic: PrefixTraffic,
    /// Weight of a replica of another zone as a preferred one, against one of the own.
    pub(crate) other_zone_weight: f64,
}

impl AffinityState {
    /// Of a router that has just started, where crossing zones costs that share of a request's weight.
    pub(crate) fn new(cross_zone_cost: f64) -> AffinityState {
        let weight = (-cross_zone_cost / CROSS_ZONE_PREFERENCE_SCALE).exp();
        AffinityState {
            sessions: SessionAffinity::default(),
            prefix_traffic: PrefixTraffic::default(),
            other_zone_weight: weight.max(MIN_OTHER_ZONE_WEIGHT),
        }
    }
}
