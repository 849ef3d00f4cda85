//! How long a replica's streams take from their first token on, apart from the wait before it.
//!
//! Streams in progress count by the time they have been under observation: a replica that stops is seen to be slow before
//! any of its streams has ended, and one long answer moves little. For a constant rate of endings this is the usual
//! estimate from censored lifetimes, the time under observation over the endings in it (Lawless, Statistical Models and
//! Methods for Lifetime Data, 2003, 4.1).

use crate::api::{Nanos, SECOND};

/// Evidence loses half of its weight in this time: a slow spell is over for the estimate about so long after it is over
/// at the replica.
const HALF_LIFE: Nanos = 6 * SECOND;
/// As many streams of the fleet's mean duration count as seen before any has ended: with ten in progress, about a second's
/// worth.
const PRIOR_STREAMS: f64 = 4.0;

/// The evidence on one replica's streams.
#[derive(Debug, Default, Clone, Copy)]
pub struct DecodeRate {
    in_progress: u32,
    /// Streams that have ended, decayed to `as_of`.
    ended: f64,
    /// Stream-seconds under observation, decayed to `as_of`.
    observed_s: f64,
    as_of: Nanos,
}

/// How long a replica's streams take, against the fleet's mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeDuration {
    /// Times as long as the fleet's mean stream; 1 without evidence.
    pub factor: f64,
    /// The standard deviation of the factor's logarithm: 0.5 without evidence, less with more.
    pub log_std_dev: f64,
}

impl DecodeRate {
    /// Brings the evidence to `now`; an earlier time changes nothing.
    fn advance(&mut self, now: Nanos) {
        let half_life_s = HALF_LIFE as f64 / SECOND as f64;
        let elapsed_s = now.saturating_sub(self.as_of) as f64 / SECOND as f64;
        let keep = (-elapsed_s / half_life_s).exp2();
        self.observed_s = self.observed_s * keep
            + f64::from(self.in_progress) * half_life_s / std::f64::consts::LN_2 * (1.0 - keep);
        self.ended *= keep;
        self.as_of = self.as_of.max(now);
    }

    /// A stream has begun.
    pub fn stream_began(&mut self, now: Nanos) {
        self.advance(now);
        self.in_progress = self.in_progress.saturating_add(1);
    }

    /// A stream has ended: `completed` with its last token, or broken off, which says nothing of how long it would have
    /// taken.
    pub fn stream_ended(&mut self, now: Nanos, completed: bool) {
        self.advance(now);
        self.in_progress = self.in_progress.saturating_sub(1);
        self.ended += f64::from(u8::from(completed));
    }

    /// How long the streams take against a mean stream of `mean_s` seconds, at a replica known to have `capacity_share` of
    /// its full capacity, as one that warms up: only what that share does not explain counts. A mean of 0 is none yet.
    pub fn relative_duration(&self, now: Nanos, mean_s: f64, capacity_share: f64) -> RelativeDuration {
        let mut here = *self;
        here.advance(now);
        let evidence = here.ended + PRIOR_STREAMS;
        let usual_s = mean_s / capacity_share.max(0.01);
        let factor = if usual_s > 0.0 { (here.observed_s / usual_s + PRIOR_STREAMS) / evidence } else { 1.0 };
        RelativeDuration { factor, log_std_dev: 1.0 / evidence.sqrt() }
    }
}
