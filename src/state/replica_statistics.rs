//! Statistics over all replicas and by kind of machine: waits, load, request rates and prefill speed.

use super::replica::Replica;
use super::smoothing::{
    move_towards, record_sample, sample_weight, PeriodRate, MIN_SAMPLE_WEIGHT, RATE_SAMPLE_WEIGHT,
    SAMPLE_HALF_LIFE_S,
};
use crate::api::{Nanos, SECOND};
use crate::decaying_count::DecayingCount;
use crate::linear_fit::LinearFit;

/// Half-life of the difference between a replica's or kind's smoothed wait and that of all replicas, s.
const WAIT_HALF_LIFE_S: f64 = 4.0;
/// Weight of a new sample in a replica's smoothed wait; a router has few streams on each replica.
const WAIT_SAMPLE_WEIGHT: f64 = 0.3;
/// Minimum weight of a new sample in the duration of streams, as answers differ much in length.
const STREAM_SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of the prior in the duration of a kind's streams, in streams: a kind starts at the mean of all.
/// Kinds differ by about a third, but answers vary in length by as much as their mean: by chance alone, a
/// router among 300 measured 0.4 to 4.0 times the mean.
const KIND_PRIOR_STREAMS: f64 = 16.0;
/// Maximum number of kinds of machine; it bounds the memory that an endpoint list can use.
const MAX_KINDS: usize = 64;
/// Time constant of the recent rate of first tokens, s. It spans several samples at a router with one first
/// token per second, and is shorter than the time in which traffic moves to other routers and back.
const RECENT_RATE_TIME_CONSTANT_S: f64 = 6.0;
/// Upper bound on the mean rate as a multiple of the recent rate: a few requests may by chance be fewer than
/// the mean.
const MAX_MULTIPLE_OF_RECENT_RATE: f64 = 1.5;
/// Prefill speed assumed before any sample, tokens per second.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;

/// Smoothed and counted values over all replicas. Waits are in ns.
#[derive(Default)]
pub(crate) struct ReplicaStatistics {
    /// Rate of first tokens. Sends are not counted, as under overload more is sent than replicas can handle.
    first_tokens: PeriodRate,
    /// Rate of requests that arrived, whatever their outcome.
    arrivals: PeriodRate,
    /// Number of report periods that have ended.
    periods: u32,
    /// Recent first tokens, with exponential decay.
    recent_first_tokens: DecayingCount,
    /// Time at which the router started.
    pub(crate) started_at: Nanos,
    /// Smoothed number of ready replicas.
    pub(crate) ready_replicas: f64,
    /// Smoothed first-token wait of all replicas, without the prefill of the request's own prompt.
    pub(crate) first_token_wait: f64,
    /// Highest smoothed wait of any replica that is not ejected; the initial value for replicas without a
    /// sample.
    pub(crate) highest_wait: f64,
    /// Smoothed number of own requests in flight at a replica when its wait was sampled.
    pub(crate) concurrency: f64,
    /// Smoothed first-token time as a share of the latency objective.
    pub(crate) load_level: f64,
    wait_sampled_at: Nanos,
    load_level_sampled_at: Nanos,
    /// Share of its prefix that a prompt finds cached at replicas outside the prefix's preferred ones, 0 to
    /// 1.
    pub(crate) cached_elsewhere: f64,
    /// Fit of first-token time over prompt tokens read.
    pub(crate) prefill_fit: LinearFit,
    /// Smoothed duration of a stream after its first token, s.
    pub(crate) mean_stream_s: f64,
    /// Number of streams in `mean_stream_s`.
    streams: u32,
    /// Statistics by kind of machine.
    kinds: Vec<KindStatistics>,
}

/// Statistics of one kind of machine.
#[derive(Clone, Copy)]
struct KindStatistics {
    /// Smoothed duration of the kind's streams after the first token, as a multiple of the mean of all kinds.
    stream_length_ratio: f64,
    /// Number of streams measured, including the prior.
    streams: f64,
    /// Smoothed first-token wait, ns.
    first_token_wait: f64,
    wait_sampled_at: Nanos,
}

impl Default for KindStatistics {
    fn default() -> KindStatistics {
        KindStatistics {
            stream_length_ratio: 1.0,
            streams: KIND_PRIOR_STREAMS,
            first_token_wait: 0.0,
            wait_sampled_at: 0,
        }
    }
}

/// Returns the weight of a smoothed wait against that of all replicas, by the age of its last sample: 1 when
/// new, falling to 0; 0 if never sampled.
pub(crate) fn sample_freshness(now: Nanos, sampled_at: Nanos) -> f64 {
    let age_s = now.saturating_sub(sampled_at) as f64 / SECOND as f64;
    if sampled_at == 0 {
        0.0
    } else {
        (-age_s / WAIT_HALF_LIFE_S).exp2()
    }
}

impl ReplicaStatistics {
    /// Creates statistics without samples, at a given load level.
    pub(crate) fn with_load_level(load_level: f64) -> ReplicaStatistics {
        ReplicaStatistics { load_level, ..ReplicaStatistics::default() }
    }

    // ---- First-token waits ----

    /// Records a sample of a replica's first-token wait, ns, without the prefill of the request's own prompt.
    /// `concurrency` is the number of own requests in flight there.
    pub(crate) fn record_wait_sample(
        &mut self,
        now: Nanos,
        replica: &mut Replica,
        wait: f64,
        concurrency: f64,
    ) {
        let smoothed = self.smoothed_wait(now, replica);
        if replica.wait_sampled_at == 0 {
            replica.first_token_wait = wait;
            replica.concurrency = concurrency;
        } else {
            replica.first_token_wait = smoothed + WAIT_SAMPLE_WEIGHT * (wait - smoothed);
            move_towards(&mut replica.concurrency, concurrency, WAIT_SAMPLE_WEIGHT);
        }
        replica.wait_sampled_at = now;
        self.record_wait(now, replica.entry.kind, wait, concurrency);
    }

    /// Records a sample of the first-token wait for all replicas and for its kind of machine.
    pub(crate) fn record_wait(&mut self, now: Nanos, kind: u32, wait: f64, concurrency: f64) {
        let weight = record_sample(now, &mut self.first_token_wait, &mut self.wait_sampled_at, wait);
        move_towards(&mut self.concurrency, concurrency, weight);
        if let Some(statistics) = self.kind_mut(kind) {
            record_sample(now, &mut statistics.first_token_wait, &mut statistics.wait_sampled_at, wait);
        }
    }

    /// Returns a replica's smoothed wait, ns, which approaches that of all replicas as its last sample ages.
    pub(crate) fn smoothed_wait(&self, now: Nanos, replica: &Replica) -> f64 {
        if replica.wait_sampled_at == 0 {
            return self.highest_wait.max(replica.first_token_wait);
        }
        self.first_token_wait
            + (replica.first_token_wait - self.first_token_wait)
                * sample_freshness(now, replica.wait_sampled_at)
    }

    /// Returns the smoothed wait of a kind of machine, ns, which approaches that of all replicas as its last
    /// sample ages. Without this, a kind that gets no requests would be avoided forever.
    pub(crate) fn smoothed_wait_of_kind(&self, now: Nanos, kind: u32) -> f64 {
        let kind = self.kinds.get(kind as usize).copied().unwrap_or_default();
        self.first_token_wait
            + (kind.first_token_wait - self.first_token_wait) * sample_freshness(now, kind.wait_sampled_at)
    }

    // ---- Load ----

    /// Records the time to a first token, as a multiple of the latency objective.
    pub(crate) fn record_load_level(&mut self, now: Nanos, objectives: f64) {
        let weight = sample_weight(now, &mut self.load_level_sampled_at);
        move_towards(&mut self.load_level, objectives, weight);
    }

    /// Returns the load level, decayed by the age of its last sample. A high level stops requests from being
    /// sent, so without samples it would otherwise stay high forever.
    pub(crate) fn load_level_at(&self, now: Nanos) -> f64 {
        let age_s = now.saturating_sub(self.load_level_sampled_at) as f64 / SECOND as f64;
        self.load_level * (-age_s / SAMPLE_HALF_LIFE_S).exp2()
    }

    /// Counts a first token.
    pub(crate) fn record_first_token(&mut self, now: Nanos) {
        self.first_tokens.count();
        self.recent_first_tokens.record(now, RECENT_RATE_TIME_CONSTANT_S);
    }

    /// Counts a request that arrived.
    pub(crate) fn record_arrival(&mut self) {
        self.arrivals.count();
    }

    /// Returns the requests per second that arrive at this router and may use a warming replica's credit:
    /// under overload there are more of them than first tokens. `elapsed` is
    /// the time since the end of the last period, ns.
    pub(crate) fn arrivals_per_s(&self, elapsed: Nanos) -> f64 {
        self.arrivals.per_second(self.periods, elapsed)
    }

    /// Returns the first tokens per second, `elapsed` ns after the end of the last period.
    ///
    /// Before the end of the first period it is the mean since the start: otherwise routers that restart
    /// together would leave idle the replicas that start with them. Periods last many seconds, so a burst
    /// counts late. A drop counts at once: otherwise, when traffic moves between routers, their rates would
    /// add up to more than the actual traffic.
    pub(crate) fn first_tokens_per_s(&self, now: Nanos, elapsed: Nanos) -> f64 {
        let mean = self.first_tokens.per_second(self.periods, elapsed);
        if self.periods == 0 {
            return mean;
        }
        let age_s = now.saturating_sub(self.started_at) as f64 / SECOND as f64;
        let recent = self.recent_first_tokens.decayed(now, RECENT_RATE_TIME_CONSTANT_S)
            / RECENT_RATE_TIME_CONSTANT_S
            / (1.0 - (-age_s / RECENT_RATE_TIME_CONSTANT_S).exp()).max(1e-3);
        mean.min(MAX_MULTIPLE_OF_RECENT_RATE * recent)
    }

    /// Ends a report period of `period_s` seconds. The first periods are averaged: rates smoothed from zero
    /// would be too low for several periods, and after a restart of all routers the replicas that start with
    /// them would be left idle.
    pub(crate) fn end_period(&mut self, period_s: f64) {
        self.periods = self.periods.saturating_add(1);
        let weight = RATE_SAMPLE_WEIGHT.max(1.0 / f64::from(self.periods));
        self.first_tokens.end_period(period_s, weight);
        self.arrivals.end_period(period_s, weight);
    }

    // ---- Replicas ----

    /// Updates the smoothed number of ready replicas. Half of a change counts within the warm-up time: until
    /// then new replicas lack full capacity, and those that left may return.
    pub(crate) fn record_ready_replicas(&mut self, elapsed_s: f64, ready: usize, warm_up_time: Nanos) {
        let old_weight = (-elapsed_s * SECOND as f64 / warm_up_time.max(1) as f64).exp2();
        self.ready_replicas = ready as f64 + (self.ready_replicas - ready as f64) * old_weight;
    }

    /// Sets the smoothed number of ready replicas to the number in the first list that has any; does nothing
    /// after that.
    pub(crate) fn init_ready_replica_count(&mut self, ready: usize) {
        if self.ready_replicas == 0.0 {
            self.ready_replicas = ready as f64;
        }
    }

    /// Records the share of its prefix that a prompt found cached outside the prefix's preferred replicas.
    pub(crate) fn record_cached_elsewhere(&mut self, share: f64) {
        move_towards(&mut self.cached_elsewhere, share, MIN_SAMPLE_WEIGHT);
    }

    /// Returns the time to prefill one prompt token, ns, fitted to the measured first-token times.
    pub(crate) fn prefill_ns_per_token(&self) -> f64 {
        let prior = SECOND as f64 / DEFAULT_PREFILL_TOKENS_PER_S;
        self.prefill_fit.slope(prior).clamp(prior / 10.0, prior * 5.0)
    }

    /// Records the duration of a stream from its first token to its end, s, for a kind of machine.
    pub(crate) fn record_stream(&mut self, kind: u32, seconds: f64) {
        self.streams = self.streams.saturating_add(1);
        let weight = STREAM_SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        move_towards(&mut self.mean_stream_s, seconds, weight);
        let ratio = if self.mean_stream_s > 0.0 { seconds / self.mean_stream_s } else { 1.0 };
        if let Some(statistics) = self.kind_mut(kind) {
            statistics.streams += 1.0;
            let weight = STREAM_SAMPLE_WEIGHT.max(1.0 / statistics.streams);
            move_towards(&mut statistics.stream_length_ratio, ratio, weight);
        }
    }

    /// Returns the speed of a kind of machine relative to the mean of all streams, 0.25 to 4.
    pub(crate) fn speed_of_kind(&self, kind: u32) -> f64 {
        self.kinds
            .get(kind as usize)
            .map_or(1.0, |statistics| (1.0 / statistics.stream_length_ratio).clamp(0.25, 4.0))
    }

    /// Returns the statistics of a kind; `None` from [`MAX_KINDS`] on.
    fn kind_mut(&mut self, kind: u32) -> Option<&mut KindStatistics> {
        let kind = kind as usize;
        if kind < MAX_KINDS && self.kinds.len() <= kind {
            self.kinds.resize(kind + 1, KindStatistics::default());
        }
        self.kinds.get_mut(kind)
    }
}

#[cfg(test)]
mod tests;
