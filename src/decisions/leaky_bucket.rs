//! A tenant's leaky bucket at one router, which limits how many of the tenant's requests it admits.
//!
//! The design is DThrottle's: each router limits each tenant by a bucket of its own, which the served
//! requests that peers report drain as well. Between reports the bucket drains by a forecast of them.

use fastrand::Rng;

use crate::api::{Nanos, Settings, SECOND};
use crate::state::smoothing::RATE_SAMPLE_WEIGHT;

/// Burst that all routers together may grant, in seconds of quota. A shorter one rejects random clusters of
/// requests, a longer one admits a surge.
const BURST_S: f64 = 4.0;
/// Minimum burst of a router, in tokens: with fewer, random clusters of a small tenant's requests are
/// rejected.
const MIN_BURST_TOKENS: f64 = 6.0;
/// Minimum share of a tenant's quota that a router claims, relative to an even split: without it, a router
/// that has served nothing recently could never start.
const MIN_CLAIMED_SHARE: f64 = 0.25;
/// Maximum extra refill rate while replicas are idle, as a share of the quota.
const MAX_HEADROOM: f64 = 0.5;
/// Load level, that is first-token time as a share of the latency objective, from which there is no extra
/// refill.
const NO_HEADROOM_LOAD_LEVEL: f64 = 0.4;
/// Load level above which quotas are reduced in proportion.
pub(super) const OVERLOAD_LOAD_LEVEL: f64 = 0.35;
/// Minimum share of the quota that is left when quotas are reduced.
const MIN_QUOTA_SHARE: f64 = 0.2;
/// Tolerance for rounding errors: sums of fractional refills may fall short of a full token by this amount.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Rate of a peer, in requests per second, below which it counts as zero.
const MIN_PEER_RATE_PER_S: f64 = 1e-3;

/// What a peer has reported about the tenant.
#[derive(Clone, Default)]
struct PeerRate {
    /// Smoothed rate of the requests that the peer served.
    served_per_s: f64,
    /// The bucket's drain integral at the peer's last report.
    drain_integral: f64,
    /// Time of the peer's last report.
    updated_at: Nanos,
}

/// The bucket of one tenant. Each admitted request takes one token.
pub(super) struct LeakyBucket {
    /// The tenant's quota over all routers, in requests per second; infinite without tenants.
    quota_per_s: f64,
    /// Current refill rate: the quota with headroom or reduction applied.
    refill_per_s: f64,
    /// Available tokens; negative if peers served more than forecast.
    tokens: f64,
    /// Time of the last refill.
    updated_at: Nanos,
    /// Requests served by this router since its last report to peers.
    served_since_report: u32,
    /// Smoothed rate of the requests served by this router.
    own_served_per_s: f64,
    /// Sum of the peers' smoothed rates.
    peers_served_per_s: f64,
    /// Time integral of the share of the peers' forecast that drains the bucket.
    drain_integral: f64,
    /// Peers' rates by router index.
    peers: Vec<PeerRate>,
}

impl LeakyBucket {
    /// Returns the buckets of all tenants. Without tenants, all traffic shares one bucket that is never
    /// empty.
    pub(super) fn for_all_tenants(settings: &Settings, rng: &mut Rng) -> Vec<LeakyBucket> {
        let unlimited = [f64::INFINITY];
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s);
        let quotas: Vec<f64> =
            if settings.tenants.is_empty() { unlimited.to_vec() } else { quotas.collect() };
        quotas.iter().map(|&quota| LeakyBucket::new(quota, settings.router_count, rng)).collect()
    }

    /// Creates the bucket of a router that has just started. It begins with a random amount around the
    /// router's share of the burst: otherwise a restart of all routers would grant as many full bursts.
    fn new(quota_per_s: f64, router_count: u32, rng: &mut Rng) -> LeakyBucket {
        LeakyBucket {
            quota_per_s,
            refill_per_s: quota_per_s,
            tokens: BURST_S * quota_per_s / f64::from(router_count) * 2.0 * rng.f64().max(0.01),
            updated_at: 0,
            served_since_report: 0,
            own_served_per_s: 0.0,
            peers_served_per_s: 0.0,
            drain_integral: 0.0,
            peers: vec![PeerRate::default(); router_count as usize],
        }
    }

    /// Sets the start time of the bucket and its peers' rates.
    pub(super) fn start(&mut self, now: Nanos) {
        self.updated_at = now;
        self.peers.iter_mut().for_each(|peer| peer.updated_at = now);
    }

    /// Refills and drains the bucket up to `now`.
    pub(super) fn refill(&mut self, now: Nanos, load_level: f64) {
        // Late, lost or randomly rejected requests leave a tenant below its quota. While first tokens come
        // early, spare capacity makes up for it.
        let headroom = MAX_HEADROOM * (1.0 - load_level / NO_HEADROOM_LOAD_LEVEL).max(0.0);
        // Under load, all tenants are reduced alike, before all answers are late.
        let overload_cut = (OVERLOAD_LOAD_LEVEL / load_level.max(1e-9)).clamp(MIN_QUOTA_SHARE, 1.0);
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        self.updated_at = now;
        if self.quota_per_s.is_infinite() {
            self.tokens = f64::INFINITY;
            return;
        }
        // Between reports the bucket drains by the peers' smoothed rate, scaled down where all routers
        // together exceed the quota, so that they share the quota as they share the traffic. Without it the
        // buckets would refill unnoticed and admit in step at every router.
        self.refill_per_s = self.quota_per_s * (1.0 + headroom) * overload_cut;
        let (drained_share, own_share) = self.drained_and_own_share();
        self.drain_integral += drained_share * elapsed_s;
        let max_tokens = (BURST_S * self.refill_per_s * own_share).max(MIN_BURST_TOKENS);
        self.tokens = (self.tokens
            + (self.refill_per_s - drained_share * self.peers_served_per_s) * elapsed_s)
            .clamp(-max_tokens, max_tokens);
    }

    /// Takes a token if one is available; returns whether it did.
    pub(super) fn try_take(&mut self) -> bool {
        let granted = self.tokens > 1.0 - ROUNDING_TOLERANCE;
        self.tokens -= f64::from(u8::from(granted));
        granted
    }

    /// Returns a token to the bucket.
    pub(super) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the time until a token is available at the full quota, s.
    pub(super) fn seconds_to_next_token(&self) -> f64 {
        (1.0 - self.tokens) / self.quota_per_s
    }

    /// Counts a request served by this router.
    pub(super) fn record_served(&mut self) {
        self.served_since_report = self.served_since_report.saturating_add(1);
    }

    /// Ends a report period of `period_s` seconds and returns the requests served in it. The forecast of a
    /// peer that has been silent for longer than `silence_limit` ns is halved in each period.
    pub(super) fn end_report_period(&mut self, now: Nanos, period_s: f64, silence_limit: f64) -> u32 {
        let served = std::mem::take(&mut self.served_since_report);
        self.own_served_per_s += RATE_SAMPLE_WEIGHT * (f64::from(served) / period_s - self.own_served_per_s);
        for peer in &mut self.peers {
            if now.saturating_sub(peer.updated_at) as f64 > silence_limit && peer.served_per_s > 0.0 {
                peer.served_per_s =
                    if peer.served_per_s < MIN_PEER_RATE_PER_S { 0.0 } else { peer.served_per_s / 2.0 };
            }
        }
        self.update_peers_rate();
        served
    }

    /// Applies a peer's report of requests served within `span_s` seconds. `sender` is the peer's router
    /// index.
    pub(super) fn apply_peer_report(&mut self, now: Nanos, sender: usize, served: f64, span_s: f64) {
        let peer = &mut self.peers[sender];
        let forecast = peer.served_per_s * (self.drain_integral - peer.drain_integral);
        peer.drain_integral = self.drain_integral;
        peer.updated_at = now;
        peer.served_per_s += RATE_SAMPLE_WEIGHT * (served / span_s - peer.served_per_s);
        // Each router charges its own share of the requests beyond the forecast: if all N routers charged all
        // of them, the tenant would be charged, and later readmitted, N times over.
        let (_, own_share) = self.drained_and_own_share();
        self.tokens -= own_share * (served - forecast);
        self.update_peers_rate();
    }

    fn update_peers_rate(&mut self) {
        self.peers_served_per_s = self.peers.iter().map(|peer| peer.served_per_s).sum();
    }

    /// Returns the share of the peers' forecast that drains this bucket, and this router's share of the
    /// tenant's served requests.
    fn drained_and_own_share(&self) -> (f64, f64) {
        let even_share = MIN_CLAIMED_SHARE * self.refill_per_s / self.peers.len() as f64;
        let own = self.own_served_per_s.max(even_share);
        let total = own + self.peers_served_per_s;
        ((self.refill_per_s / total).min(1.0), own / total)
    }
}
