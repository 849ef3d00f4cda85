//! Exponential smoothing of samples taken at irregular times.

use crate::api::{Nanos, SECOND};

/// Minimum weight of a new sample. It is low, so that many samples taken at once do not outweigh all earlier
/// ones.
pub(crate) const MIN_SAMPLE_WEIGHT: f64 = 0.04;
/// Time in which newer samples reach half of the weight, s, however few they are: with many routers, each has
/// one sample in a second or two.
pub(crate) const SAMPLE_HALF_LIFE_S: f64 = 3.0;

/// Moves `value` towards a sample by a share of their difference, 0 to 1.
pub(crate) fn move_towards(value: &mut f64, sample: f64, weight: f64) {
    *value += weight * (sample - *value);
}

/// Returns the weight of a sample taken at `now` after one at `last`, and sets `last` to `now`. The weight
/// grows with the time between them: with a fixed small weight, a router with one sample per second would
/// need a minute to follow a change.
pub(crate) fn sample_weight(now: Nanos, last: &mut Nanos) -> f64 {
    let elapsed_s = now.saturating_sub(std::mem::replace(last, now)) as f64 / SECOND as f64;
    (1.0 - (-elapsed_s / SAMPLE_HALF_LIFE_S).exp2()).max(MIN_SAMPLE_WEIGHT)
}

/// Records a sample of a value last sampled at `last` (0: never); the first sample replaces the value.
/// Returns the weight that the sample has by its time alone.
pub(crate) fn record_sample(now: Nanos, value: &mut f64, last: &mut Nanos, sample: f64) -> f64 {
    let is_first = *last == 0;
    let weight = sample_weight(now, last);
    move_towards(value, sample, if is_first { 1.0 } else { weight });
    weight
}

/// Weight of a new report period in smoothed rates. It is low because the counts of one period are small and
/// noisy.
pub(crate) const RATE_SAMPLE_WEIGHT: f64 = 0.25;

/// A rate counted over periods and smoothed from one period to the next.
#[derive(Default)]
pub(crate) struct PeriodRate {
    /// Events since the last period ended.
    count: u32,
    /// Smoothed events per second.
    per_s: f64,
}

impl PeriodRate {
    /// Counts an event.
    pub(crate) fn count(&mut self) {
        self.count += 1;
    }

    /// Ends a period of `period_s` seconds, which gets `weight` against the earlier ones.
    pub(crate) fn end_period(&mut self, period_s: f64, weight: f64) {
        let rate = f64::from(std::mem::take(&mut self.count)) / period_s;
        move_towards(&mut self.per_s, rate, weight);
    }

    /// Returns the events per second after `periods` periods; before the end of the first one, the mean over
    /// the `elapsed` ns since the start.
    pub(crate) fn per_second(&self, periods: u32, elapsed: Nanos) -> f64 {
        match periods {
            0 => f64::from(self.count) / (elapsed as f64 / SECOND as f64).max(1.0),
            _ => self.per_s,
        }
    }
}
