//! Exponential smoothing of samples that come at irregular times.

use crate::api::{Nanos, SECOND};

/// The least weight of a new sample, so that many samples in a moment do not pass for the whole truth.
pub(crate) const MIN_SAMPLE_WEIGHT: f64 = 0.04;
/// After this time, s, newer samples have half of the weight, however few they are: with many routers each
/// has one sample in a second or two.
pub(crate) const SAMPLE_HALF_LIFE_S: f64 = 3.0;

/// Moves `value` towards a sample by a share of their distance, 0 to 1.
pub(crate) fn move_towards(value: &mut f64, sample: f64, weight: f64) {
    *value += weight * (sample - *value);
}

/// The weight of a sample taken at `now`, after one at `last`, which becomes `now`. It grows with the time
/// between them but has a least value: a router with one sample in a second would otherwise need a minute to
/// see what all see at once.
pub(crate) fn sample_weight(now: Nanos, last: &mut Nanos) -> f64 {
    let elapsed_s = now.saturating_sub(std::mem::replace(last, now)) as f64 / SECOND as f64;
    (1.0 - (-elapsed_s / SAMPLE_HALF_LIFE_S).exp2()).max(MIN_SAMPLE_WEIGHT)
}

/// Takes a sample of a value last sampled at `last` (0: never), which it replaces if it is the first. Returns
/// the weight that the sample has by its time alone.
pub(crate) fn record_sample(now: Nanos, value: &mut f64, last: &mut Nanos, sample: f64) -> f64 {
    let is_first = *last == 0;
    let weight = sample_weight(now, last);
    move_towards(value, sample, if is_first { 1.0 } else { weight });
    weight
}

/// Weight of a new report period in smoothed rates: counts of one period are small and thus noisy.
pub(crate) const RATE_SAMPLE_WEIGHT: f64 = 0.25;

/// A rate that is counted over periods and smoothed from one to the next.
#[derive(Default)]
pub(crate) struct PeriodRate {
    /// Events since the last period ended.
    count: u32,
    /// Smoothed events per second.
    per_s: f64,
}

impl PeriodRate {
    /// One more event.
    pub(crate) fn count(&mut self) {
        self.count += 1;
    }

    /// A period of so many seconds has ended; it has that weight against the earlier ones.
    pub(crate) fn end_period(&mut self, period_s: f64, weight: f64) {
        let rate = f64::from(std::mem::take(&mut self.count)) / period_s;
        move_towards(&mut self.per_s, rate, weight);
    }

    /// Events per second after so many periods; before the end of the first one the mean of the `since` ns
    /// from the start.
    pub(crate) fn per_second(&self, periods: u32, since: Nanos) -> f64 {
        match periods {
            0 => f64::from(self.count) / (since as f64 / SECOND as f64).max(1.0),
            _ => self.per_s,
        }
    }
}
