//! Plain arithmetic that `choice.rs` decides by: a fit of a line, a count that forgets, a hash.

use rustc_hash::FxHashMap;

use crate::api::{Nanos, PrefixKey, SECOND};
use crate::ready_replicas::MAX_TRACKED_PREFIXES;

/// Memory of the traffic's mix, s.
const RECENT_S: f64 = 20.0;
/// Weight kept by older samples of that fit at each new one.
const FIT_RETENTION: f64 = 0.995;
/// Weight of the prior in that fit, tokens squared: that of ten samples 1,000 tokens off the mean.
const FIT_PRIOR: f64 = 1e7;

/// Sums of a fit of y over x in which older samples weigh less.
#[derive(Default, Clone, Copy)]
pub(crate) struct LinearFit {
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    n: f64,
}

/// A count that forgets.
#[derive(Default, Clone, Copy)]
pub(crate) struct DecayingCount {
    pub(crate) count: f64,
    at: Nanos,
}

impl DecayingCount {
    /// One more, where a count is forgotten within about so many seconds.
    pub(crate) fn record(&mut self, now: Nanos, memory_s: f64) {
        *self = DecayingCount { count: self.decayed(now, memory_s) + 1.0, at: now };
    }

    /// What still counts.
    pub(crate) fn decayed(&self, now: Nanos, memory_s: f64) -> f64 {
        let age = now.saturating_sub(self.at) as f64 / SECOND as f64;
        self.count * (-age / memory_s).exp()
    }

    /// Its share of all, 0 to 1, believed as much as the prior where all are so many hits as the doubt.
    pub(crate) fn share_of(&self, all: &DecayingCount, prior: f64, doubt: f64) -> f64 {
        (self.count + prior * doubt) / (all.count + doubt).max(1.0)
    }
}

/// The requests of late, in all and by the beginning that their prompts share.
#[derive(Default)]
pub(crate) struct PrefixTraffic {
    all: DecayingCount,
    by_prefix: FxHashMap<PrefixKey, DecayingCount>,
}

impl PrefixTraffic {
    /// One more.
    pub(crate) fn record(&mut self, now: Nanos, prefix: Option<PrefixKey>) {
        self.all.record(now, RECENT_S);
        let Some(key) = prefix else { return };
        // Guards against clients that never name the same one twice.
        if self.by_prefix.len() > MAX_TRACKED_PREFIXES {
            self.by_prefix.clear();
        }
        self.by_prefix.entry(key).or_default().record(now, RECENT_S);
    }

    /// A beginning's share of all, as [`DecayingCount::share_of`] has it.
    pub(crate) fn share(&self, prefix: Option<PrefixKey>, prior: f64, doubt: f64) -> f64 {
        let hits = prefix.and_then(|key| self.by_prefix.get(&key)).copied().unwrap_or_default();
        hits.share_of(&self.all, prior, doubt)
    }
}

impl LinearFit {
    pub(crate) fn add(&mut self, x: f64, y: f64) {
        for (sum, v) in [
            (&mut self.n, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * FIT_RETENTION + v;
        }
    }

    /// The slope, pulled towards the prior while samples are few or alike.
    pub(crate) fn slope(&self, prior: f64) -> f64 {
        let n = self.n.max(1.0);
        let cov = self.xy - self.x * self.y / n;
        let var = self.xx - self.x * self.x / n;
        (cov + prior * FIT_PRIOR) / (var + FIT_PRIOR)
    }
}

/// A well-mixed number of two, the same at every gateway.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut h = (a ^ b.rotate_left(32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    h = (h ^ (h >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    h ^= b.wrapping_mul(0x94D0_49BB_1331_11EB);
    h = (h ^ (h >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    h ^ (h >> 32)
}

/// Where number `me` of `n` stands, 0 to 1, in the order in which they take turns at a key: evenly spaced, with another
/// one in front for each key.
pub(crate) fn turn(key: u64, me: u32, n: u32) -> f64 {
    let n = u64::from(n.max(1));
    ((key % n + u64::from(me)) % n) as f64 / n as f64
}

/// A hash as an exponential variate: the least of several, each over its weight, is a weighted draw.
pub(crate) fn unit_race(hash: u64) -> f64 {
    let u = (hash >> 11) as f64 / (1u64 << 53) as f64;
    -(u + 1e-18).ln()
}

#[cfg(test)]
mod tests;
