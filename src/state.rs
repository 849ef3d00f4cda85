//! What `choice.rs` remembers of replicas, requests and tenants.

use crate::api::*;
use crate::choice::{MINIMUM_SHARE, MIN_SAMPLE_WEIGHT, RATE_SAMPLE_WEIGHT, SAMPLE_HALF_LIFE_S};
use crate::decaying_count::DecayingCount;
use crate::decode_rate::DecodeRate;
use crate::linear_fit::LinearFit;
use crate::prefix_cache::SessionReplica;
use smallvec::SmallVec;

/// A smoothed wait loses half of its distance to the fleet's in this time, s.
const STALE_HALF_LIFE_S: f64 = 4.0;
/// The least weight of a new sample in the pace of streams: answers differ much in length.
const STREAM_SAMPLE_WEIGHT: f64 = 0.02;
/// A kind of machine is taken to be as fast as all by the weight of so many of its streams. Kinds differ by about a third,
/// lengths of answers by as much as they are: by chance alone a gateway of 300 saw 0.4 to 4.0 times the mean.
const KIND_PRIOR_STREAMS: f64 = 16.0;
/// The most kinds told apart.
const MAX_KINDS: usize = 64;

#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) entry: EndpointEntry,
    /// Smoothed first-token wait without the reading of the own prompt, ns, and when it was taken.
    pub(crate) first_token_wait: f64,
    pub(crate) wait_sampled_at: Nanos,
    /// Smoothed own crowd that the samples were taken in.
    pub(crate) concurrency: f64,
    /// How long its streams take.
    pub(crate) decode_rate: DecodeRate,
    /// Own attempts out, and when one last ended with its whole answer.
    pub(crate) in_flight: u32,
    pub(crate) last_completed_at: Nanos,
    /// Send times of own attempts without a first token yet, oldest first.
    pub(crate) awaiting_first_token: Vec<Nanos>,
    /// When it last began or completed an answer to this gateway.
    pub(crate) last_response_at: Nanos,
    /// First send since then; 0 if there was none.
    pub(crate) unanswered_since: Nanos,
    pub(crate) consecutive_failures: u32,
    pub(crate) next_ejection: Nanos,
    pub(crate) ejected_until: Nanos,
    pub(crate) half_open_check: bool,
    /// Cold from this time on; `None` once warm.
    pub(crate) warming_up_since: Option<Nanos>,
    pub(crate) slow_start_credit: f64,
    pub(crate) credit_updated_at: Nanos,
    /// Last load report: prompt tokens unread there.
    pub(crate) prefill_backlog: f64,
    pub(crate) backlog_reported_at: Nanos,
}

impl Replica {
    /// Whether it is the listed holder of a session, in the same life.
    pub(crate) fn holds_session(&self, holder: &SessionReplica) -> bool {
        self.entry.state == EndpointState::Ready
            && holder.is_incarnation_of(&self.entry, self.warming_up_since)
    }

    /// Whether a connection to it rests that carries nothing, where those that do are closed after `idle_close`.
    pub(crate) fn is_connected(&self, now: Nanos, idle_close: Nanos) -> bool {
        let rested = now.saturating_sub(self.last_completed_at);
        self.in_flight == 0 && self.last_completed_at > 0 && rested < idle_close / 2
    }

    /// An attempt sent then waits for its first token no longer.
    pub(crate) fn stop_awaiting_first_token(&mut self, sent: Nanos) {
        let waiting = &mut self.awaiting_first_token;
        waiting.iter().position(|&t| t == sent).map(|k| waiting.remove(k));
    }
}

pub(crate) struct Attempt {
    /// The replica's place, valid while the attempt is out, and its row at the send.
    pub(crate) slot: usize,
    pub(crate) entry: EndpointEntry,
    pub(crate) sent_at: Nanos,
    pub(crate) prefill_tokens: f64,
    /// One plus the own streams open there at the send.
    pub(crate) concurrency: f64,
    /// First token after so long; 0 before it.
    pub(crate) first_token_after: Nanos,
    /// Until then it is not called off for want of a first token; a second copy may go out before.
    pub(crate) first_token_timeout_at: Nanos,
    /// `None` while out.
    pub(crate) outcome: Option<Outcome>,
}

pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    /// The first is held in place: most requests have no other.
    pub(crate) attempts: SmallVec<[Attempt; 1]>,
    pub(crate) answered: bool,
    pub(crate) stream_started: bool,
    pub(crate) quota_charged: bool,
    pub(crate) counted_as_served: bool,
}

#[derive(Clone, Default)]
pub(crate) struct PeerRate {
    pub(crate) served_per_s: f64,
    pub(crate) drain_integral: f64,
    pub(crate) updated_at: Nanos,
}

pub(crate) struct LeakyBucket {
    pub(crate) quota_per_s: f64,
    /// The quota and its present headroom.
    pub(crate) refill_per_s: f64,
    pub(crate) tokens: f64,
    pub(crate) updated_at: Nanos,
    /// Hits served since the last report, and their smoothed rate.
    pub(crate) served_since_report: u32,
    pub(crate) own_served_per_s: f64,
    pub(crate) peers_served_per_s: f64,
    /// Integral over time of the share of the peers' forecast that is drained.
    pub(crate) drain_integral: f64,
    pub(crate) peers: Vec<PeerRate>,
}

impl LeakyBucket {
    /// The part of the peers' forecast that drains here, and this gateway's share of the tenant's hits.
    /// A gateway that has served nothing lately keeps a foot in the door.
    pub(crate) fn drain_share(&self, gateways: f64) -> (f64, f64) {
        let own = self.own_served_per_s.max(MINIMUM_SHARE * self.refill_per_s / gateways);
        let all = own + self.peers_served_per_s;
        ((self.refill_per_s / all).min(1.0), own / all)
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Selection {
    pub(crate) slot: usize,
    pub(crate) prefill_tokens: f64,
    /// Predicted first-token wait, ns.
    pub(crate) predicted_wait: f64,
}

impl RequestState {
    pub(crate) fn new(now: Nanos, deadline: Nanos, request: Request) -> Self {
        RequestState {
            request,
            arrived_at: now,
            deadline,
            attempts: SmallVec::new(),
            answered: false,
            stream_started: false,
            quota_charged: false,
            counted_as_served: false,
        }
    }
}

impl Attempt {
    /// Whether a replica may have run it, or may yet.
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

impl RequestState {
    /// Whether a replica may have run it, or may yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Rule 2: an attempt that may have run binds later ones to its group and window, or forbids them.
    pub(crate) fn may_repeat(&self, now: Nanos, effect: Effect, at: &EndpointEntry, parallel: bool) -> bool {
        let allows = |earlier: &Attempt| {
            let alone = parallel || earlier.outcome.is_some();
            alone && effect.may_resend(now, earlier.sent_at) && effect.share_deduplication(&earlier.entry, at)
        };
        self.attempts.iter().all(|earlier| !earlier.may_have_run() || allows(earlier))
    }
}

/// What is smoothed or counted over all replicas.
#[derive(Default)]
pub(crate) struct ReplicaStatistics {
    /// Requests that replicas have begun to answer. Not those that were sent: in a jam they are more than replicas can do.
    first_tokens: PeriodRate,
    /// Requests that have come, whatever became of them.
    arrivals: PeriodRate,
    periods: u32,
    /// Those of the last seconds, each counting less the longer ago it was.
    recent_first_tokens: DecayingCount,
    /// When the gateway started.
    pub(crate) started_at: Nanos,
    /// Smoothed number of replicas that are ready.
    pub(crate) ready_replicas: f64,
    /// Smoothed wait of all replicas, and the highest of any.
    pub(crate) first_token_wait: f64,
    pub(crate) highest_wait: f64,
    pub(crate) concurrency: f64,
    /// Smoothed first-token time as a share of the aim.
    pub(crate) load_level: f64,
    /// When it was last sampled, and when the strain was.
    wait_sampled_at: Nanos,
    load_level_sampled_at: Nanos,
    /// Share of their beginning that prompts find kept away from its homes.
    pub(crate) cached_elsewhere: f64,
    pub(crate) prefill_fit: LinearFit,
    /// Smoothed seconds of a stream after its first token, over so many streams.
    pub(crate) mean_stream_s: f64,
    streams: u32,
    /// By kind of machine.
    kinds: Vec<KindStatistics>,
}

/// Memory of the requests of the last seconds, s: that of some where a gateway has one in a second, and short of the
/// time in which traffic moves to other gateways and back.
const FLOW_MEMORY_S: f64 = 6.0;
/// Of so few requests there may be less than the mean by chance: so many times as much is taken for possible.
const FLOW_CHANCE_MULTIPLE: f64 = 1.5;

/// How much of a smoothed wait's distance to the fleet's still holds, 1 to 0: old news is no news. 0: never sampled.
pub(crate) fn sample_freshness(now: Nanos, sampled_at: Nanos) -> f64 {
    let age = now.saturating_sub(sampled_at) as f64 / SECOND as f64;
    if sampled_at == 0 {
        0.0
    } else {
        (-age / STALE_HALF_LIFE_S).exp2()
    }
}

/// The weight of a sample, as of now, after another at `last`: of its time, as samples may be few, but not under the
/// least. A gateway that has one in a second would else need a minute to see what all the others see at once.
fn sample_weight(now: Nanos, last: &mut Nanos) -> f64 {
    let dt = now.saturating_sub(std::mem::replace(last, now)) as f64 / SECOND as f64;
    (1.0 - (-dt / SAMPLE_HALF_LIFE_S).exp2()).max(MIN_SAMPLE_WEIGHT)
}

fn move_towards(x: &mut f64, sample: f64, weight: f64) {
    *x += weight * (sample - *x);
}

/// A sample of what was last sampled at `last`, believed whole if it is the first; the weight it has by its time.
fn record_sample(now: Nanos, x: &mut f64, last: &mut Nanos, sample: f64) -> f64 {
    let first = *last == 0;
    let weight = sample_weight(now, last);
    move_towards(x, sample, if first { 1.0 } else { weight });
    weight
}

impl ReplicaStatistics {
    /// Of a gateway that has just started, before any sample.
    pub(crate) fn with_load_level(strain: f64) -> ReplicaStatistics {
        ReplicaStatistics { load_level: strain, ..ReplicaStatistics::default() }
    }

    /// A first token's wait without the reading of its prompt, ns, at a kind of machine, in so large a crowd.
    pub(crate) fn record_wait(&mut self, now: Nanos, kind: u32, wait: f64, crowd: f64) {
        let weight = record_sample(now, &mut self.first_token_wait, &mut self.wait_sampled_at, wait);
        move_towards(&mut self.concurrency, crowd, weight);
        if let Some(k) = self.kind(kind) {
            record_sample(now, &mut k.first_token_wait, &mut k.wait_sampled_at, wait);
        }
    }

    /// What first tokens wait for at a kind of machine, without the reading of their prompts, ns, as far as its last one is
    /// news: a kind that is avoided has none, and would be for good.
    pub(crate) fn wait_for_kind(&self, now: Nanos, kind: u32) -> f64 {
        let kind = self.kinds.get(kind as usize).copied().unwrap_or_default();
        self.first_token_wait
            + (kind.first_token_wait - self.first_token_wait) * sample_freshness(now, kind.wait_sampled_at)
    }

    fn kind(&mut self, kind: u32) -> Option<&mut KindStatistics> {
        let kind = kind as usize;
        if kind < MAX_KINDS && self.kinds.len() <= kind {
            self.kinds.resize(kind + 1, KindStatistics::default());
        }
        self.kinds.get_mut(kind)
    }

    /// A first token came after so many aims.
    pub(crate) fn record_load_level(&mut self, now: Nanos, aims: f64) {
        let weight = sample_weight(now, &mut self.load_level_sampled_at);
        move_towards(&mut self.load_level, aims, weight);
    }

    /// The strain, as far as its last sample still says something: where nothing is begun for it, nothing is sampled, and
    /// it would stay for good.
    pub(crate) fn load_level_at(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.load_level_sampled_at) as f64 / SECOND as f64;
        self.load_level * (-age / SAMPLE_HALF_LIFE_S).exp2()
    }

    /// A replica has begun to answer a request.
    pub(crate) fn record_first_token(&mut self, now: Nanos) {
        self.first_tokens.count += 1;
        self.recent_first_tokens.record(now, FLOW_MEMORY_S);
    }

    /// A request has come.
    pub(crate) fn record_arrival(&mut self) {
        self.arrivals.count += 1;
    }

    /// Requests a second that come to this gateway, and that may use what is saved for a cold replica: in a jam more than
    /// replicas begin.
    pub(crate) fn arrivals_per_s(&self, since: Nanos) -> f64 {
        self.arrivals.per_second(self.periods, since)
    }

    /// Own requests begun a second, `since` ns after the last tick. Before the first one it is the mean since the start: a
    /// fleet of gateways that has just restarted would else leave the replicas idle that start with it. Ticks are many
    /// seconds apart, so a burst counts late; that traffic has gone elsewhere, or is less, counts at once: what many
    /// gateways still believe to have would else be more than there is.
    pub(crate) fn first_tokens_per_s(&self, now: Nanos, since: Nanos) -> f64 {
        let mean = self.first_tokens.per_second(self.periods, since);
        if self.periods == 0 {
            return mean;
        }
        let age = now.saturating_sub(self.started_at) as f64 / SECOND as f64;
        let recent = self.recent_first_tokens.decayed(now, FLOW_MEMORY_S)
            / FLOW_MEMORY_S
            / (1.0 - (-age / FLOW_MEMORY_S).exp()).max(1e-3);
        mean.min(FLOW_CHANCE_MULTIPLE * recent)
    }

    /// `dt` seconds have gone by since this was called last. The mean of all ticks while they are few: begun at zero,
    /// the flow of a gateway that has just started would be too low for several periods, and where all have, the
    /// replicas that start with them would be left idle.
    pub(crate) fn end_period(&mut self, dt: f64) {
        self.periods = self.periods.saturating_add(1);
        let weight = RATE_SAMPLE_WEIGHT.max(1.0 / f64::from(self.periods));
        self.first_tokens.end(dt, weight);
        self.arrivals.end(dt, weight);
    }

    /// So many replicas are ready after `dt` seconds more; half of a change is believed within the time that one takes to
    /// warm up: until then those that came can't do their part, and those that left may be back.
    pub(crate) fn record_ready_replicas(&mut self, dt: f64, ready: usize, cold: Nanos) {
        let keep = (-dt * SECOND as f64 / cold.max(1) as f64).exp2();
        self.ready_replicas = ready as f64 + (self.ready_replicas - ready as f64) * keep;
    }

    /// As many are ready in the first list that names any.
    pub(crate) fn begin_ready_replicas(&mut self, ready: usize) {
        if self.ready_replicas == 0.0 {
            self.ready_replicas = ready as f64;
        }
    }

    pub(crate) fn record_stream(&mut self, kind: u32, seconds: f64) {
        self.streams = self.streams.saturating_add(1);
        move_towards(
            &mut self.mean_stream_s,
            seconds,
            STREAM_SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams)),
        );
        let times = if self.mean_stream_s > 0.0 { seconds / self.mean_stream_s } else { 1.0 };
        if let Some(k) = self.kind(kind) {
            k.streams += 1.0;
            move_towards(&mut k.stream_length_ratio, times, STREAM_SAMPLE_WEIGHT.max(1.0 / k.streams));
        }
    }

    /// How fast a kind of machine is seen to be, against the mean of all streams.
    pub(crate) fn speed_of_kind(&self, kind: u32) -> f64 {
        self.kinds.get(kind as usize).map_or(1.0, |k| (1.0 / k.stream_length_ratio).clamp(0.25, 4.0))
    }
}

/// What is counted between ticks and smoothed over them.
#[derive(Default)]
struct PeriodRate {
    /// Since the last tick.
    count: u32,
    /// Smoothed, a second.
    per_s: f64,
}

impl PeriodRate {
    /// `dt` seconds have gone by since the last tick.
    fn end(&mut self, dt: f64, weight: f64) {
        let rate = f64::from(std::mem::take(&mut self.count)) / dt;
        move_towards(&mut self.per_s, rate, weight);
    }

    /// The smoothed rate; before the first tick the mean of the `since` ns from the start.
    fn per_second(&self, ticks: u32, since: Nanos) -> f64 {
        match ticks {
            0 => f64::from(self.count) / (since as f64 / SECOND as f64).max(1.0),
            _ => self.per_s,
        }
    }
}

/// What is seen of a kind of machine.
#[derive(Clone, Copy)]
struct KindStatistics {
    /// Smoothed length of its streams after the first token, as a multiple of all streams' mean, and how many they were,
    /// the prior among them.
    stream_length_ratio: f64,
    streams: f64,
    /// Smoothed wait, ns, and when it was last sampled.
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

/// The subscription to the list.
#[derive(Default)]
pub(crate) struct ListPolling {
    pub(crate) subscribed: bool,
    pub(crate) failures: u32,
    pub(crate) next_poll_at: Nanos,
}

#[cfg(test)]
mod tests;
