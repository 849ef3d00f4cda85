//! What is believed of a replica's first-token time, beside what was sampled of it.
//!
//! The design ranks replicas by their smoothed first-token time times one plus the own open streams. Samples of that
//! time are noisy: a gateway has few streams on each replica, and a first token comes at once or after a queue that
//! is gone by the next. Taken as they are they outweigh the open streams, so that traffic herds to whoever had a lucky
//! sample, and a replica that has just started, believed to be as slow as the slowest, gets nothing while the others
//! run over. So the samples are shrunk: in the logarithm, towards a prior that is the same for all replicas.

use crate::api::{Nanos, SECOND};

/// The prior, as a share of the aim: about what one own stream more adds to the next first token. Settled on days
/// drawn with seeds 101 to 103: between a sixteenth and a thirty-sixth of the aim the mean G moves by 0.01.
const PRIOR_SHARE: f64 = 1.0 / 20.0;
/// The part that the samples have, in the logarithm: a replica sampled ten times as slow is believed 1.8 times as
/// slow, and one more open stream on two outweighs half as much again. At a half the herds are back.
const SAMPLE_EXPONENT: f64 = 0.25;
/// A smoothed time below this, ns, is as good as none.
const MIN_WAIT: f64 = 1e5;

/// What a replica that started so long ago can do, as a share of what it can when warm: from the cold share at its
/// start evenly to 1 at the end of its cold time. Shares are 0 to 1, times ns.
pub fn capacity_share(age: Nanos, cold: Nanos, cold_share: f64) -> f64 {
    let gone = (age as f64 / cold.max(1) as f64).min(1.0);
    (cold_share + (1.0 - cold_share) * gone).clamp(0.0, 1.0)
}

/// The believed first-token time, ns, of a replica whose samples smoothed to so much, for a request of this aim, ns.
pub fn expected_wait(smoothed: f64, aim: f64) -> f64 {
    (PRIOR_SHARE * aim).powf(1.0 - SAMPLE_EXPONENT) * smoothed.max(MIN_WAIT).powf(SAMPLE_EXPONENT)
}

/// The predicted wait by which replicas are ranked, ns: the believed time for the next stream and each that is open.
pub fn ranked_wait(smoothed: f64, aim: f64, open: u32) -> f64 {
    expected_wait(smoothed, aim) * (1.0 + f64::from(open))
}

/// What a wait of so many ns is beyond the prior: what queues there now. It is not shrunk, so it has to come from
/// many samples, or be the same for all that are compared by it.
pub fn queueing_wait(wait: f64, aim: f64) -> f64 {
    (wait - PRIOR_SHARE * aim).max(0.0)
}

// ---- The pace of streams, apart from the wait before them ----

/// Evidence on a replica's pace loses half of its weight in this time, ns: a slow spell is over for the estimate
/// about so long after it is over at the replica.
const RATE_HALF_LIFE: Nanos = 6 * SECOND;
/// As many streams of the fleet's mean pace are believed before any ended here: with ten open, about a second's worth.
const RATE_PRIOR_STREAMS: f64 = 4.0;

/// How long the streams of a replica take from their first token on. Streams still open count by the time they have
/// been open: whoever stops is seen to be slow before any of its streams has ended, and one long answer moves little.
/// For a constant rate of endings this is the usual estimate from censored lifetimes, the time under observation
/// over the endings in it (Lawless, Statistical Models and Methods for Lifetime Data, 2003, 4.1).
#[derive(Debug, Default, Clone, Copy)]
pub struct DecodeRate {
    running: u32,
    /// Endings, and stream-seconds under observation; both fade.
    ended: f64,
    watched: f64,
    at: Nanos,
}

/// What a pace is believed to be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeDuration {
    /// Times as long as the fleet's mean stream; 1: as usual.
    pub factor: f64,
    /// The standard deviation of its logarithm: 0.5 with no evidence, less with more.
    pub log_std_dev: f64,
}

impl DecodeRate {
    fn fade(&mut self, now: Nanos) {
        let half_s = RATE_HALF_LIFE as f64 / SECOND as f64;
        let dt = now.saturating_sub(self.at) as f64 / SECOND as f64;
        let keep = (-dt / half_s).exp2();
        self.watched =
            self.watched * keep + f64::from(self.running) * half_s / std::f64::consts::LN_2 * (1.0 - keep);
        self.ended *= keep;
        self.at = self.at.max(now);
    }

    /// A stream has begun.
    pub fn stream_began(&mut self, now: Nanos) {
        self.fade(now);
        self.running = self.running.saturating_add(1);
    }

    /// One has ended: with its last token, or broken off, which says nothing of how long it would have taken.
    pub fn stream_ended(&mut self, now: Nanos, completed: bool) {
        self.fade(now);
        self.running = self.running.saturating_sub(1);
        self.ended += f64::from(u8::from(completed));
    }

    /// Against a mean stream of so many seconds, and a share of its full capacity that it is known to have, as when
    /// it has just started: what is left is its own. Without a mean yet it is as usual.
    pub fn relative_duration(&self, now: Nanos, mean_s: f64, warmth: f64) -> RelativeDuration {
        let mut here = *self;
        here.fade(now);
        let evidence = here.ended + RATE_PRIOR_STREAMS;
        let usual = mean_s / warmth.max(0.01);
        let times = if usual > 0.0 { (here.watched / usual + RATE_PRIOR_STREAMS) / evidence } else { 1.0 };
        RelativeDuration { factor: times, log_std_dev: 1.0 / evidence.sqrt() }
    }
}
