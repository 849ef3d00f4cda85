//! How much of the recent traffic each shared prefix has.

use rustc_hash::FxHashMap;

use crate::api::{Nanos, PrefixKey};
use crate::decaying_count::DecayingCount;

/// The most prefixes whose traffic and preferred replicas are remembered: a bound on memory, against clients that never
/// name the same prefix twice.
pub const MAX_TRACKED_PREFIXES: usize = 4096;
/// Memory of the traffic's mix, s.
const MEMORY_S: f64 = 20.0;

/// Recent requests, in total and by the prefix that their prompts share.
#[derive(Debug, Default)]
pub(crate) struct PrefixTraffic {
    total: DecayingCount,
    by_prefix: FxHashMap<PrefixKey, DecayingCount>,
}

impl PrefixTraffic {
    /// Counts a request.
    pub(crate) fn record(&mut self, now: Nanos, prefix: Option<PrefixKey>) {
        self.total.record(now, MEMORY_S);
        let Some(key) = prefix else { return };
        if self.by_prefix.len() > MAX_TRACKED_PREFIXES {
            self.by_prefix.clear();
        }
        self.by_prefix.entry(key).or_default().record(now, MEMORY_S);
    }

    /// A prefix's share of all requests, 0 to 1, shrunk towards `prior` as [`DecayingCount::share_of`] does.
    pub(crate) fn share(&self, prefix: Option<PrefixKey>, prior: f64, prior_requests: f64) -> f64 {
        let requests = prefix.and_then(|key| self.by_prefix.get(&key)).copied().unwrap_or_default();
        requests.share_of(&self.total, prior, prior_requests)
    }
}

#[cfg(test)]
mod tests;
