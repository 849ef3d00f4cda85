//! A tenant's leaky bucket at one router: how many of the tenant's requests it admits.
//!
//! The design is DThrottle's: each router limits each tenant by a bucket of its own, which the served
//! requests that peers report drain as well. Between their reports it drains by a forecast of them.

use fastrand::Rng;

use crate::api::{Nanos, Settings, SECOND};
use crate::state::smoothing::RATE_SAMPLE_WEIGHT;

/// Seconds of quota that all routers together may grant at once. Shorter rejects chance clusters, longer lets
/// a surge through.
const BURST_SECONDS: f64 = 4.0;
/// The least burst of a router, in tokens: with less, chance clusters of a small tenant are rejected.
const MIN_BURST_TOKENS: f64 = 6.0;
/// The least share of a tenant's quota that a router claims, as a part of an even split: one that has served
/// nothing lately could otherwise never begin.
const MINIMUM_SHARE: f64 = 0.25;
/// Where replicas are plainly idle, buckets fill faster by up to this share of the quota.
const MAX_HEADROOM: f64 = 0.5;
/// None of the headroom is left once first tokens take this share of the latency objective.
const NO_HEADROOM_LOAD_LEVEL: f64 = 0.4;
/// Beyond this share of the latency objective quotas are cut in proportion.
pub(super) const OVERLOAD_LOAD_LEVEL: f64 = 0.35;
/// They are cut down to this share at the most.
const MIN_QUOTA_SHARE: f64 = 0.2;
/// A request is admitted by a whole token; sums of fractions fall short of one by as much.
const ROUNDING: f64 = 1e-6;
/// A peer's rate below this, requests per second, is none.
const MIN_PEER_RATE: f64 = 1e-3;

/// What a peer has reported of the tenant.
#[derive(Clone, Default)]
struct PeerRate {
    /// Smoothed rate of its served requests.
    served_per_s: f64,
    /// The bucket's drain integral at its last report.
    drain_integral: f64,
    /// When that report came.
    updated_at: Nanos,
}

/// The bucket of one tenant. One token admits one request.
pub(super) struct LeakyBucket {
    /// Requests per second that the tenant may have, over all routers; infinite without tenants.
    quota_per_s: f64,
    /// The quota with its present headroom or cut.
    refill_per_s: f64,
    /// Tokens in it; below zero once peers have served more than was forecast.
    tokens: f64,
    /// When it was last refilled.
    updated_at: Nanos,
    /// Own requests served since the last report to peers.
    served_since_report: u32,
    /// Smoothed rate of those.
    own_served_per_s: f64,
    /// Sum of the peers' smoothed rates.
    peers_served_per_s: f64,
    /// Integral over time of the share of the peers' forecast that is drained.
    drain_integral: f64,
    /// By the peers' router index.
    peers: Vec<PeerRate>,
}

impl LeakyBucket {
    /// The buckets of all tenants. Without tenants all traffic is one tenant without a limit: the same path,
    /// and a bucket that is never empty.
    pub(super) fn of_all_tenants(settings: &Settings, rng: &mut Rng) -> Vec<LeakyBucket> {
        let without_limit = [f64::INFINITY];
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s);
        let quotas: Vec<f64> =
            if settings.tenants.is_empty() { without_limit.to_vec() } else { quotas.collect() };
        quotas.iter().map(|&quota| LeakyBucket::new(quota, settings.router_count, rng)).collect()
    }

    /// The bucket of a router that has just started. It begins with the router's own share of the burst,
    /// drawn at random: after a restart of all routers there would otherwise be as many full bursts.
    fn new(quota_per_s: f64, router_count: u32, rng: &mut Rng) -> LeakyBucket {
        LeakyBucket {
            quota_per_s,
            refill_per_s: quota_per_s,
            tokens: BURST_SECONDS * quota_per_s / f64::from(router_count) * 2.0 * rng.f64().max(0.01),
            updated_at: 0,
            served_since_report: 0,
            own_served_per_s: 0.0,
            peers_served_per_s: 0.0,
            drain_integral: 0.0,
            peers: vec![PeerRate::default(); router_count as usize],
        }
    }

    /// Time begins.
    pub(super) fn start(&mut self, now: Nanos) {
        self.updated_at = now;
        self.peers.iter_mut().for_each(|peer| peer.updated_at = now);
    }

    /// Fills and drains it up to `now`.
    pub(super) fn refill(&mut self, now: Nanos, load_level: f64) {
        // Exception: what is late, lost or rejected by chance leaves a tenant short of its quota. While first
        // tokens come early there is capacity to make up for it.
        let headroom = MAX_HEADROOM * (1.0 - load_level / NO_HEADROOM_LOAD_LEVEL).max(0.0);
        // Exception: once first tokens take most of the latency objective, all tenants are cut alike, before
        // all come late.
        let overload_cut = (OVERLOAD_LOAD_LEVEL / load_level.max(1e-9)).clamp(MIN_QUOTA_SHARE, 1.0);
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / SECOND as f64;
        self.updated_at = now;
        if self.quota_per_s.is_infinite() {
            self.tokens = f64::INFINITY;
            return;
        }
        // Exception to plain subtraction: between reports the bucket drains by the peers' smoothed rate,
        // scaled down where all together are over quota, so that routers share the quota as they do the
        // traffic. Guards against buckets that refill unseen and reopen in step at every router.
        self.refill_per_s = self.quota_per_s * (1.0 + headroom) * overload_cut;
        let (drained_share, own_share) = self.shares();
        self.drain_integral += drained_share * elapsed_s;
        let max_tokens = (BURST_SECONDS * self.refill_per_s * own_share).max(MIN_BURST_TOKENS);
        self.tokens = (self.tokens
            + (self.refill_per_s - drained_share * self.peers_served_per_s) * elapsed_s)
            .clamp(-max_tokens, max_tokens);
    }

    /// Takes a token if there is one; whether there was.
    pub(super) fn try_take(&mut self) -> bool {
        let granted = self.tokens > 1.0 - ROUNDING;
        self.tokens -= f64::from(u8::from(granted));
        granted
    }

    /// A token comes back.
    pub(super) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Seconds until there is a token, at the full quota.
    pub(super) fn seconds_to_next_token(&self) -> f64 {
        (1.0 - self.tokens) / self.quota_per_s
    }

    /// An own request has been served.
    pub(super) fn record_served(&mut self) {
        self.served_since_report = self.served_since_report.saturating_add(1);
    }

    /// A report period of so many seconds has ended; the own requests served in it. Peers that have been
    /// silent for longer than `silence_limit` ns are forecast at half, and half again in each period.
    pub(super) fn end_report_period(&mut self, now: Nanos, period_s: f64, silence_limit: f64) -> u32 {
        let served = std::mem::take(&mut self.served_since_report);
        self.own_served_per_s += RATE_SAMPLE_WEIGHT * (f64::from(served) / period_s - self.own_served_per_s);
        for peer in &mut self.peers {
            if now.saturating_sub(peer.updated_at) as f64 > silence_limit && peer.served_per_s > 0.0 {
                peer.served_per_s =
                    if peer.served_per_s < MIN_PEER_RATE { 0.0 } else { peer.served_per_s / 2.0 };
            }
        }
        self.sum_peers();
        served
    }

    /// A peer, by its router index, has served so many requests within so many seconds.
    pub(super) fn apply_peer_report(&mut self, now: Nanos, sender: usize, served: f64, span_s: f64) {
        let peer = &mut self.peers[sender];
        let forecast = peer.served_per_s * (self.drain_integral - peer.drain_integral);
        peer.drain_integral = self.drain_integral;
        peer.updated_at = now;
        peer.served_per_s += RATE_SAMPLE_WEIGHT * (served / span_s - peer.served_per_s);
        // The served requests beyond the forecast, each router taking its share of them: N routers that each
        // took all would be charged, and then reopen, N times over.
        let (_, own_share) = self.shares();
        self.tokens -= own_share * (served - forecast);
        self.sum_peers();
    }

    fn sum_peers(&mut self) {
        self.peers_served_per_s = self.peers.iter().map(|peer| peer.served_per_s).sum();
    }

    /// The part of the peers' forecast that drains here, and this router's share of the tenant's served
    /// requests.
    fn shares(&self) -> (f64, f64) {
        let even_share = MINIMUM_SHARE * self.refill_per_s / self.peers.len() as f64;
        let own = self.own_served_per_s.max(even_share);
        let all = own + self.peers_served_per_s;
        ((self.refill_per_s / all).min(1.0), own / all)
    }
}
