//! Estimate of how long a replica's streams take after the first token.
//!
//! Streams in progress count by the time observed so far: a replica that stalls is recognised before any of its streams
//! has ended, and one long answer changes little. For a constant rate of endings, this is the usual estimate from
//! censored lifetimes: the time observed divided by the endings in it (Lawless, Statistical Models and Methods for
//! Lifetime Data, 2003, 4.1).

use crate::api::{Nanos, SECOND};

/// Half-life of observations: the estimate recovers about as long after the replica does.
const HALF_LIFE: Nanos = 6 * SECOND;
/// Weight of the prior, in ended streams of the fleet's mean duration; with ten streams in progress it equals about a
/// second of observation.
const PRIOR_STREAMS: f64 = 4.0;

/// Observations of one replica's streams.
#[derive(Debug, Default, Clone, Copy)]
pub struct DecodeRate {
    in_progress: u32,
    /// Number of streams that have ended, decayed to `as_of`.
    ended: f64,
    /// Observed stream-seconds, decayed to `as_of`.
    observed_s: f64,
    as_of: Nanos,
}

/// Duration of a replica's streams relative to the fleet's mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeDuration {
    /// Multiple of the fleet's mean duration; 1 without observations.
    pub factor: f64,
    /// Standard deviation of the factor's logarithm: 0.5 without observations, less with more.
    pub log_std_dev: f64,
}

impl DecodeRate {
    /// Advances the observations to `now`; an earlier time changes nothing.
    fn advance(&mut self, now: Nanos) {
        let half_life_s = HALF_LIFE as f64 / SECOND as f64;
        let elapsed_s = now.saturating_sub(self.as_of) as f64 / SECOND as f64;
        let decay = (-elapsed_s / half_life_s).exp2();
        self.observed_s = self.observed_s * decay
            + f64::from(self.in_progress) * half_life_s / std::f64::consts::LN_2 * (1.0 - decay);
        self.ended *= decay;
        self.as_of = self.as_of.max(now);
    }

    /// Records that a stream began.
    pub fn stream_began(&mut self, now: Nanos) {
        self.advance(now);
        self.in_progress = self.in_progress.saturating_add(1);
    }

    /// Records that a stream ended. `completed` is false for a stream that broke off, which does not show how long it
    /// would have taken.
    pub fn stream_ended(&mut self, now: Nanos, completed: bool) {
        self.advance(now);
        self.in_progress = self.in_progress.saturating_sub(1);
        self.ended += f64::from(u8::from(completed));
    }

    /// Returns the streams' duration relative to a mean stream of `mean_s` seconds (0 if not known yet). Slowness
    /// explained by the replica's `capacity_share`, as during warm-up, does not count.
    pub fn relative_duration(&self, now: Nanos, mean_s: f64, capacity_share: f64) -> RelativeDuration {
        let mut current = *self;
        current.advance(now);
        let evidence = current.ended + PRIOR_STREAMS;
        let usual_s = mean_s / capacity_share.max(0.01);
        let factor =
            if usual_s > 0.0 { (current.observed_s / usual_s + PRIOR_STREAMS) / evidence } else { 1.0 };
        RelativeDuration { factor, log_std_dev: 1.0 / evidence.sqrt() }
    }
}
