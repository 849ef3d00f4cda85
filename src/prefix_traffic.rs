//! Share of each shared prefix in the recent traffic.

use rustc_hash::FxHashMap;

use crate::api::{Nanos, PrefixKey};
use crate::decaying_count::DecayingCount;

/// Maximum number of prefixes whose traffic and preferred replicas are remembered. It bounds the memory if clients
/// never use a prefix twice.
pub const MAX_TRACKED_PREFIXES: usize = 4096;
/// Time constant of the decay, s.
const TIME_CONSTANT_S: f64 = 20.0;

/// Recent requests, in total and by shared prefix.
#[derive(Debug, Default)]
pub(crate) struct PrefixTraffic {
    total: DecayingCount,
    by_prefix: FxHashMap<PrefixKey, DecayingCount>,
}

impl PrefixTraffic {
    /// Counts a request.
    pub(crate) fn record(&mut self, now: Nanos, prefix: Option<PrefixKey>) {
        self.total.record(now, TIME_CONSTANT_S);
        let Some(key) = prefix else { return };
        if self.by_prefix.len() > MAX_TRACKED_PREFIXES {
            self.by_prefix.clear();
        }
        self.by_prefix.entry(key).or_default().record(now, TIME_CONSTANT_S);
    }

    /// Returns a prefix's share of all requests, 0 to 1, shrunk towards `prior` as in [`DecayingCount::share_of`].
    pub(crate) fn share(&self, prefix: Option<PrefixKey>, prior: f64, prior_requests: f64) -> f64 {
        let requests = prefix.and_then(|key| self.by_prefix.get(&key)).copied().unwrap_or_default();
        requests.share_of(&self.total, prior, prior_requests)
    }
}

#[cfg(test)]
mod tests;
