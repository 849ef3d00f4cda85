//! What a router has measured over all replicas, and by kind of machine: waits, load, rates of requests and
//! prefill speed.

use super::replica::Replica;
use super::smoothing::{
    move_towards, record_sample, sample_weight, PeriodRate, MIN_SAMPLE_WEIGHT, RATE_SAMPLE_WEIGHT,
    SAMPLE_HALF_LIFE_S,
};
use crate::api::{Nanos, SECOND};
use crate::decaying_count::DecayingCount;
use crate::linear_fit::LinearFit;

/// A smoothed wait loses half of its distance to that of all replicas in this time, s.
const STALE_HALF_LIFE_S: f64 = 4.0;
/// Weight of a new sample in a replica's smoothed wait; a router has few streams on each.
const WAIT_SAMPLE_WEIGHT: f64 = 0.3;
/// The least weight of a new sample in the duration of streams: answers differ much in length.
const STREAM_SAMPLE_WEIGHT: f64 = 0.02;
/// A kind of machine is taken to be as fast as all by the weight of so many of its streams. Kinds differ by
/// about a third, lengths of answers by as much as they are: by chance alone a router of 300 saw 0.4 to 4.0
/// times the mean.
const KIND_PRIOR_STREAMS: f64 = 16.0;
/// The most kinds told apart; bounds the memory that an endpoint list can claim.
const MAX_KINDS: usize = 64;
/// Memory of the first tokens of late, s: long enough for some where a router has one in a second, and short
/// of the time in which traffic moves to other routers and back.
const FLOW_MEMORY_S: f64 = 6.0;
/// Of so few requests there may be less than the mean by chance: so many times as much is taken for possible.
const FLOW_CHANCE_MULTIPLE: f64 = 1.5;
/// Prompt tokens read per second before any sample says otherwise.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;

/// What is smoothed or counted over all replicas. Waits are in ns.
#[derive(Default)]
pub(crate) struct ReplicaStatistics {
    /// First tokens. Not what was sent: under overload that is more than replicas can do.
    first_tokens: PeriodRate,
    /// Requests that have come, whatever became of them.
    arrivals: PeriodRate,
    /// Report periods that have ended.
    periods: u32,
    /// First tokens of the last seconds, each counting less the longer ago it was.
    recent_first_tokens: DecayingCount,
    /// When the router started.
    pub(crate) started_at: Nanos,
    /// Smoothed number of replicas that are ready.
    pub(crate) ready_replicas: f64,
    /// Smoothed first-token wait of all replicas, without the prefill of the request's own prompt.
    pub(crate) first_token_wait: f64,
    /// The highest smoothed wait of any replica that is not ejected: where replicas without a sample start.
    pub(crate) highest_wait: f64,
    /// Smoothed own concurrency at which waits were sampled.
    pub(crate) concurrency: f64,
    /// Smoothed first-token time as a share of the latency objective.
    pub(crate) load_level: f64,
    wait_sampled_at: Nanos,
    load_level_sampled_at: Nanos,
    /// Share of their prefix that prompts find cached away from its preferred replicas, 0 to 1.
    pub(crate) cached_elsewhere: f64,
    /// First-token times over the prompt tokens read.
    pub(crate) prefill_fit: LinearFit,
    /// Smoothed seconds of a stream after its first token.
    pub(crate) mean_stream_s: f64,
    /// Streams in that mean.
    streams: u32,
    /// By kind of machine.
    kinds: Vec<KindStatistics>,
}

/// What is measured of a kind of machine.
#[derive(Clone, Copy)]
struct KindStatistics {
    /// Smoothed duration of its streams after the first token, as a multiple of the mean of all.
    stream_length_ratio: f64,
    /// How many they were, the prior among them.
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

/// How much of a smoothed wait's distance to that of all replicas still holds, 1 to 0; 0 if it was never
/// sampled.
pub(crate) fn sample_freshness(now: Nanos, sampled_at: Nanos) -> f64 {
    let age_s = now.saturating_sub(sampled_at) as f64 / SECOND as f64;
    if sampled_at == 0 {
        0.0
    } else {
        (-age_s / STALE_HALF_LIFE_S).exp2()
    }
}

impl ReplicaStatistics {
    /// Of a router that has just started, before any sample.
    pub(crate) fn with_load_level(load_level: f64) -> ReplicaStatistics {
        ReplicaStatistics { load_level, ..ReplicaStatistics::default() }
    }

    // ---- First-token waits ----

    /// A first-token wait at a replica, ns, without the prefill of the request's own prompt, at that
    /// concurrency.
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

    /// The same over all replicas, and over those of its kind of machine.
    pub(crate) fn record_wait(&mut self, now: Nanos, kind: u32, wait: f64, concurrency: f64) {
        let weight = record_sample(now, &mut self.first_token_wait, &mut self.wait_sampled_at, wait);
        move_towards(&mut self.concurrency, concurrency, weight);
        if let Some(statistics) = self.kind_mut(kind) {
            record_sample(now, &mut statistics.first_token_wait, &mut statistics.wait_sampled_at, wait);
        }
    }

    /// A replica's smoothed wait, ns, which moves to that of all as its last sample ages.
    pub(crate) fn smoothed_wait(&self, now: Nanos, replica: &Replica) -> f64 {
        if replica.wait_sampled_at == 0 {
            return self.highest_wait.max(replica.first_token_wait);
        }
        self.first_token_wait
            + (replica.first_token_wait - self.first_token_wait)
                * sample_freshness(now, replica.wait_sampled_at)
    }

    /// The smoothed wait at a kind of machine, ns, which moves to that of all as its last sample ages: a kind
    /// that is avoided has no new ones, and would be avoided for good.
    pub(crate) fn wait_for_kind(&self, now: Nanos, kind: u32) -> f64 {
        let kind = self.kinds.get(kind as usize).copied().unwrap_or_default();
        self.first_token_wait
            + (kind.first_token_wait - self.first_token_wait) * sample_freshness(now, kind.wait_sampled_at)
    }

    // ---- Load ----

    /// A first token came after so many latency objectives.
    pub(crate) fn record_load_level(&mut self, now: Nanos, objectives: f64) {
        let weight = sample_weight(now, &mut self.load_level_sampled_at);
        move_towards(&mut self.load_level, objectives, weight);
    }

    /// The load level as far as its last sample still says something: where it keeps requests from being
    /// sent, nothing is sampled, and it would stay for good.
    pub(crate) fn load_level_at(&self, now: Nanos) -> f64 {
        let age_s = now.saturating_sub(self.load_level_sampled_at) as f64 / SECOND as f64;
        self.load_level * (-age_s / SAMPLE_HALF_LIFE_S).exp2()
    }

    /// A first token has come.
    pub(crate) fn record_first_token(&mut self, now: Nanos) {
        self.first_tokens.count();
        self.recent_first_tokens.record(now, FLOW_MEMORY_S);
    }

    /// A request has come.
    pub(crate) fn record_arrival(&mut self) {
        self.arrivals.count();
    }

    /// Requests per second that come to this router, and that may use what is saved for a replica that is
    /// warming up: under overload more than have first tokens. `since` as in [`Self::first_tokens_per_s`].
    pub(crate) fn arrivals_per_s(&self, since: Nanos) -> f64 {
        self.arrivals.per_second(self.periods, since)
    }

    /// First tokens per second, `since` ns after the last period ended. Before the end of the first one it is
    /// the mean since the start: routers that have all just restarted would otherwise leave the replicas idle
    /// that start with them. Periods are many seconds long, so a burst counts late; that traffic has gone
    /// elsewhere, or is less, counts at once: what many routers still believe to have would otherwise be more
    /// than there is.
    pub(crate) fn first_tokens_per_s(&self, now: Nanos, since: Nanos) -> f64 {
        let mean = self.first_tokens.per_second(self.periods, since);
        if self.periods == 0 {
            return mean;
        }
        let age_s = now.saturating_sub(self.started_at) as f64 / SECOND as f64;
        let recent = self.recent_first_tokens.decayed(now, FLOW_MEMORY_S)
            / FLOW_MEMORY_S
            / (1.0 - (-age_s / FLOW_MEMORY_S).exp()).max(1e-3);
        mean.min(FLOW_CHANCE_MULTIPLE * recent)
    }

    /// A report period of so many seconds has ended. Rates are the mean of all periods while they are few:
    /// begun at zero, those of a router that has just started would be too low for several periods, and where
    /// all have, the replicas that start with them would be left idle.
    pub(crate) fn end_period(&mut self, period_s: f64) {
        self.periods = self.periods.saturating_add(1);
        let weight = RATE_SAMPLE_WEIGHT.max(1.0 / f64::from(self.periods));
        self.first_tokens.end_period(period_s, weight);
        self.arrivals.end_period(period_s, weight);
    }

    // ---- Replicas ----

    /// So many replicas are ready after so many seconds more. Half of a change is believed within the time
    /// that a replica takes to warm up: until then those that came can't do their part, and those that left
    /// may be back.
    pub(crate) fn record_ready_replicas(&mut self, elapsed_s: f64, ready: usize, warm_up_time: Nanos) {
        let kept = (-elapsed_s * SECOND as f64 / warm_up_time.max(1) as f64).exp2();
        self.ready_replicas = ready as f64 + (self.ready_replicas - ready as f64) * kept;
    }

    /// So many are ready in the first list that names any.
    pub(crate) fn begin_ready_replicas(&mut self, ready: usize) {
        if self.ready_replicas == 0.0 {
            self.ready_replicas = ready as f64;
        }
    }

    /// A prompt found that share of its prefix cached away from the prefix's preferred replicas.
    pub(crate) fn record_cached_elsewhere(&mut self, share: f64) {
        move_towards(&mut self.cached_elsewhere, share, MIN_SAMPLE_WEIGHT);
    }

    /// Time to read one prompt token, ns, fitted to the first tokens seen.
    pub(crate) fn prefill_ns_per_token(&self) -> f64 {
        let prior = SECOND as f64 / DEFAULT_PREFILL_TOKENS_PER_S;
        self.prefill_fit.slope(prior).clamp(prior / 10.0, prior * 5.0)
    }

    /// A stream took so many seconds from its first token to its end, at a kind of machine.
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

    /// How fast a kind of machine is against the mean of all streams, 0.25 to 4.
    pub(crate) fn speed_of_kind(&self, kind: u32) -> f64 {
        self.kinds
            .get(kind as usize)
            .map_or(1.0, |statistics| (1.0 / statistics.stream_length_ratio).clamp(0.25, 4.0))
    }

    /// The statistics of a kind; `None` beyond [`MAX_KINDS`].
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
