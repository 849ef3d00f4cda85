//! What `choice.rs` remembers of replicas, requests and tenants.

use crate::api::*;
use crate::choice::{FLEET_HALF_S, FLEET_WEIGHT, FOOT, RATE_WEIGHT};
use crate::decaying_count::DecayingCount;
use crate::decode_rate::DecodeRate;
use crate::linear_fit::LinearFit;
use crate::prefix_cache::SessionReplica;
use smallvec::SmallVec;

/// A smoothed wait loses half of its distance to the fleet's in this time, s.
const STALE_HALF_S: f64 = 4.0;
/// The least weight of a new sample in the pace of streams: answers differ much in length.
const PACE_WEIGHT: f64 = 0.02;
/// A kind of machine is taken to be as fast as all by the weight of so many of its streams. Kinds differ by about a third,
/// lengths of answers by as much as they are: by chance alone a gateway of 300 saw 0.4 to 4.0 times the mean.
const KIND_PRIOR: f64 = 16.0;
/// The most kinds told apart.
const MOST_KINDS: usize = 64;

#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) row: EndpointEntry,
    /// Smoothed first-token wait without the reading of the own prompt, ns, and when it was taken.
    pub(crate) wait: f64,
    pub(crate) sampled_at: Nanos,
    /// Smoothed own crowd that the samples were taken in.
    pub(crate) crowd: f64,
    /// How long its streams take.
    pub(crate) pace: DecodeRate,
    /// Own attempts out, and when one last ended with its whole answer.
    pub(crate) open: u32,
    pub(crate) served_at: Nanos,
    /// Send times of own attempts without a first token yet, oldest first.
    pub(crate) waiting: Vec<Nanos>,
    /// When it last began or completed an answer to this gateway.
    pub(crate) heard: Nanos,
    /// First send since then; 0 if there was none.
    pub(crate) asked: Nanos,
    pub(crate) fails: u32,
    pub(crate) eject_for: Nanos,
    pub(crate) ejected_until: Nanos,
    pub(crate) trial: bool,
    /// Cold from this time on; `None` once warm.
    pub(crate) cold_from: Option<Nanos>,
    pub(crate) cold_credit: f64,
    pub(crate) cold_at: Nanos,
    /// Last load report: prompt tokens unread there.
    pub(crate) unread: f64,
    pub(crate) reported_at: Nanos,
}

impl Replica {
    /// Whether it is the listed holder of a session, in the same life.
    pub(crate) fn holds(&self, holder: &SessionReplica) -> bool {
        self.row.state == EndpointState::Ready && holder.is_incarnation_of(&self.row, self.cold_from)
    }

    /// Whether a connection to it rests that carries nothing, where those that do are closed after `idle_close`.
    pub(crate) fn is_connected(&self, now: Nanos, idle_close: Nanos) -> bool {
        let rested = now.saturating_sub(self.served_at);
        self.open == 0 && self.served_at > 0 && rested < idle_close / 2
    }

    /// An attempt sent then waits for its first token no longer.
    pub(crate) fn unwait(&mut self, sent: Nanos) {
        let waiting = &mut self.waiting;
        waiting.iter().position(|&t| t == sent).map(|k| waiting.remove(k));
    }
}

pub(crate) struct Attempt {
    /// The replica's place, valid while the attempt is out, and its row at the send.
    pub(crate) replica: usize,
    pub(crate) row: EndpointEntry,
    pub(crate) sent: Nanos,
    pub(crate) unread: f64,
    /// One plus the own streams open there at the send.
    pub(crate) crowd: f64,
    /// First token after so long; 0 before it.
    pub(crate) first: Nanos,
    /// Until then it is not called off for want of a first token; a second copy may go out before.
    pub(crate) patient_until: Nanos,
    /// `None` while out.
    pub(crate) outcome: Option<Outcome>,
}

pub(crate) struct Open {
    pub(crate) request: Request,
    pub(crate) arrived: Nanos,
    pub(crate) deadline: Nanos,
    /// The first is held in place: most requests have no other.
    pub(crate) attempts: SmallVec<[Attempt; 1]>,
    pub(crate) answered: bool,
    pub(crate) started: bool,
    pub(crate) paid: bool,
    pub(crate) counted: bool,
}

#[derive(Clone, Default)]
pub(crate) struct PeerRate {
    pub(crate) rate: f64,
    pub(crate) scale_then: f64,
    pub(crate) at: Nanos,
}

pub(crate) struct Bucket {
    pub(crate) quota: f64,
    /// The quota and its present headroom.
    pub(crate) rate: f64,
    pub(crate) level: f64,
    pub(crate) at: Nanos,
    /// Hits served since the last report, and their smoothed rate.
    pub(crate) served: u32,
    pub(crate) own_rate: f64,
    pub(crate) peer_rate: f64,
    /// Integral over time of the share of the peers' forecast that is drained.
    pub(crate) scale_sum: f64,
    pub(crate) peers: Vec<PeerRate>,
}

impl Bucket {
    /// The part of the peers' forecast that drains here, and this gateway's share of the tenant's hits.
    /// A gateway that has served nothing lately keeps a foot in the door.
    pub(crate) fn split(&self, gateways: f64) -> (f64, f64) {
        let own = self.own_rate.max(FOOT * self.rate / gateways);
        let all = own + self.peer_rate;
        ((self.rate / all).min(1.0), own / all)
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Pick {
    pub(crate) replica: usize,
    pub(crate) unread: f64,
    /// Predicted first-token wait, ns.
    pub(crate) wait: f64,
}

impl Open {
    pub(crate) fn new(now: Nanos, deadline: Nanos, request: Request) -> Self {
        Open {
            request,
            arrived: now,
            deadline,
            attempts: SmallVec::new(),
            answered: false,
            started: false,
            paid: false,
            counted: false,
        }
    }
}

impl Attempt {
    /// Whether a replica may have run it, or may yet.
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

impl Open {
    /// Whether a replica may have run it, or may yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Rule 2: an attempt that may have run binds later ones to its group and window, or forbids them.
    pub(crate) fn may_repeat(&self, now: Nanos, effect: Effect, at: &EndpointEntry, parallel: bool) -> bool {
        let allows = |earlier: &Attempt| {
            let alone = parallel || earlier.outcome.is_some();
            alone && effect.may_resend(now, earlier.sent) && effect.share_deduplication(&earlier.row, at)
        };
        self.attempts.iter().all(|earlier| !earlier.may_have_run() || allows(earlier))
    }
}

/// What is smoothed or counted over all replicas.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Requests that replicas have begun to answer. Not those that were sent: in a jam they are more than replicas can do.
    begun: Rate,
    /// Requests that have come, whatever became of them.
    asked: Rate,
    ticks: u32,
    /// Those of the last seconds, each counting less the longer ago it was.
    recent: DecayingCount,
    /// When the gateway started.
    pub(crate) started: Nanos,
    /// Smoothed number of replicas that are ready.
    pub(crate) nodes: f64,
    /// Smoothed wait of all replicas, and the highest of any.
    pub(crate) wait: f64,
    pub(crate) peak: f64,
    pub(crate) crowd: f64,
    /// Smoothed first-token time as a share of the aim.
    pub(crate) strain: f64,
    /// When it was last sampled, and when the strain was.
    sampled_at: Nanos,
    strained_at: Nanos,
    /// Share of their beginning that prompts find kept away from its homes.
    pub(crate) stray_kept: f64,
    pub(crate) fit: LinearFit,
    /// Smoothed seconds of a stream after its first token, over so many streams.
    pub(crate) mean_pace: f64,
    paces: u32,
    /// By kind of machine.
    kinds: Vec<Kind>,
}

/// Memory of the requests of the last seconds, s: that of some where a gateway has one in a second, and short of the
/// time in which traffic moves to other gateways and back.
const FLOW_S: f64 = 6.0;
/// Of so few requests there may be less than the mean by chance: so many times as much is taken for possible.
const FLOW_CHANCE: f64 = 1.5;

/// How much of a smoothed wait's distance to the fleet's still holds, 1 to 0: old news is no news. 0: never sampled.
pub(crate) fn fresh(now: Nanos, sampled_at: Nanos) -> f64 {
    let age = now.saturating_sub(sampled_at) as f64 / SECOND as f64;
    if sampled_at == 0 {
        0.0
    } else {
        (-age / STALE_HALF_S).exp2()
    }
}

/// The weight of a sample, as of now, after another at `last`: of its time, as samples may be few, but not under the
/// least. A gateway that has one in a second would else need a minute to see what all the others see at once.
fn weight(now: Nanos, last: &mut Nanos) -> f64 {
    let dt = now.saturating_sub(std::mem::replace(last, now)) as f64 / SECOND as f64;
    (1.0 - (-dt / FLEET_HALF_S).exp2()).max(FLEET_WEIGHT)
}

fn smooth(x: &mut f64, sample: f64, weight: f64) {
    *x += weight * (sample - *x);
}

/// A sample of what was last sampled at `last`, believed whole if it is the first; the weight it has by its time.
fn note(now: Nanos, x: &mut f64, last: &mut Nanos, sample: f64) -> f64 {
    let first = *last == 0;
    let weight = weight(now, last);
    smooth(x, sample, if first { 1.0 } else { weight });
    weight
}

impl Fleet {
    /// Of a gateway that has just started, before any sample.
    pub(crate) fn begin(strain: f64) -> Fleet {
        Fleet { strain, ..Fleet::default() }
    }

    /// A first token's wait without the reading of its prompt, ns, at a kind of machine, in so large a crowd.
    pub(crate) fn note_wait(&mut self, now: Nanos, kind: u32, wait: f64, crowd: f64) {
        let weight = note(now, &mut self.wait, &mut self.sampled_at, wait);
        smooth(&mut self.crowd, crowd, weight);
        if let Some(k) = self.kind(kind) {
            note(now, &mut k.wait, &mut k.waited_at, wait);
        }
    }

    /// What first tokens wait for at a kind of machine, without the reading of their prompts, ns, as far as its last one is
    /// news: a kind that is avoided has none, and would be for good.
    pub(crate) fn wait_of(&self, now: Nanos, kind: u32) -> f64 {
        let kind = self.kinds.get(kind as usize).copied().unwrap_or_default();
        self.wait + (kind.wait - self.wait) * fresh(now, kind.waited_at)
    }

    fn kind(&mut self, kind: u32) -> Option<&mut Kind> {
        let kind = kind as usize;
        if kind < MOST_KINDS && self.kinds.len() <= kind {
            self.kinds.resize(kind + 1, Kind::default());
        }
        self.kinds.get_mut(kind)
    }

    /// A first token came after so many aims.
    pub(crate) fn note_taken(&mut self, now: Nanos, aims: f64) {
        let weight = weight(now, &mut self.strained_at);
        smooth(&mut self.strain, aims, weight);
    }

    /// The strain, as far as its last sample still says something: where nothing is begun for it, nothing is sampled, and
    /// it would stay for good.
    pub(crate) fn strain_at(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.strained_at) as f64 / SECOND as f64;
        self.strain * (-age / FLEET_HALF_S).exp2()
    }

    /// A replica has begun to answer a request.
    pub(crate) fn note_begun(&mut self, now: Nanos) {
        self.begun.count += 1;
        self.recent.record(now, FLOW_S);
    }

    /// A request has come.
    pub(crate) fn note_request(&mut self) {
        self.asked.count += 1;
    }

    /// Requests a second that come to this gateway, and that may use what is saved for a cold replica: in a jam more than
    /// replicas begin.
    pub(crate) fn demand(&self, since: Nanos) -> f64 {
        self.asked.mean(self.ticks, since)
    }

    /// Own requests begun a second, `since` ns after the last tick. Before the first one it is the mean since the start: a
    /// fleet of gateways that has just restarted would else leave the replicas idle that start with it. Ticks are many
    /// seconds apart, so a burst counts late; that traffic has gone elsewhere, or is less, counts at once: what many
    /// gateways still believe to have would else be more than there is.
    pub(crate) fn flow(&self, now: Nanos, since: Nanos) -> f64 {
        let mean = self.begun.mean(self.ticks, since);
        if self.ticks == 0 {
            return mean;
        }
        let age = now.saturating_sub(self.started) as f64 / SECOND as f64;
        let recent = self.recent.decayed(now, FLOW_S) / FLOW_S / (1.0 - (-age / FLOW_S).exp()).max(1e-3);
        mean.min(FLOW_CHANCE * recent)
    }

    /// `dt` seconds have gone by since this was called last. The mean of all ticks while they are few: begun at zero,
    /// the flow of a gateway that has just started would be too low for several periods, and where all have, the
    /// replicas that start with them would be left idle.
    pub(crate) fn note_flow(&mut self, dt: f64) {
        self.ticks = self.ticks.saturating_add(1);
        let weight = RATE_WEIGHT.max(1.0 / f64::from(self.ticks));
        self.begun.tick(dt, weight);
        self.asked.tick(dt, weight);
    }

    /// So many replicas are ready after `dt` seconds more; half of a change is believed within the time that one takes to
    /// warm up: until then those that came can't do their part, and those that left may be back.
    pub(crate) fn note_nodes(&mut self, dt: f64, ready: usize, cold: Nanos) {
        let keep = (-dt * SECOND as f64 / cold.max(1) as f64).exp2();
        self.nodes = ready as f64 + (self.nodes - ready as f64) * keep;
    }

    /// As many are ready in the first list that names any.
    pub(crate) fn first_nodes(&mut self, ready: usize) {
        if self.nodes == 0.0 {
            self.nodes = ready as f64;
        }
    }

    pub(crate) fn note_pace(&mut self, kind: u32, seconds: f64) {
        self.paces = self.paces.saturating_add(1);
        smooth(&mut self.mean_pace, seconds, PACE_WEIGHT.max(1.0 / f64::from(self.paces)));
        let times = if self.mean_pace > 0.0 { seconds / self.mean_pace } else { 1.0 };
        if let Some(k) = self.kind(kind) {
            k.streams += 1.0;
            smooth(&mut k.pace, times, PACE_WEIGHT.max(1.0 / k.streams));
        }
    }

    /// How fast a kind of machine is seen to be, against the mean of all streams.
    pub(crate) fn speed(&self, kind: u32) -> f64 {
        self.kinds.get(kind as usize).map_or(1.0, |k| (1.0 / k.pace).clamp(0.25, 4.0))
    }
}

/// What is counted between ticks and smoothed over them.
#[derive(Default)]
struct Rate {
    /// Since the last tick.
    count: u32,
    /// Smoothed, a second.
    per_s: f64,
}

impl Rate {
    /// `dt` seconds have gone by since the last tick.
    fn tick(&mut self, dt: f64, weight: f64) {
        let rate = f64::from(std::mem::take(&mut self.count)) / dt;
        smooth(&mut self.per_s, rate, weight);
    }

    /// The smoothed rate; before the first tick the mean of the `since` ns from the start.
    fn mean(&self, ticks: u32, since: Nanos) -> f64 {
        match ticks {
            0 => f64::from(self.count) / (since as f64 / SECOND as f64).max(1.0),
            _ => self.per_s,
        }
    }
}

/// What is seen of a kind of machine.
#[derive(Clone, Copy)]
struct Kind {
    /// Smoothed length of its streams after the first token, as a multiple of all streams' mean, and how many they were,
    /// the prior among them.
    pace: f64,
    streams: f64,
    /// Smoothed wait, ns, and when it was last sampled.
    wait: f64,
    waited_at: Nanos,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind { pace: 1.0, streams: KIND_PRIOR, wait: 0.0, waited_at: 0 }
    }
}

/// The subscription to the list.
#[derive(Default)]
pub(crate) struct Watch {
    pub(crate) on: bool,
    pub(crate) fails: u32,
    pub(crate) at: Nanos,
}

#[cfg(test)]
mod tests;
