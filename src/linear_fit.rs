//! A least-squares fit of a line whose older samples weigh less.

/// Weight kept by older samples at each new one: the last 200 samples have about two thirds of all weight.
const RETENTION: f64 = 0.995;
/// Weight of the prior slope, in squared units of x. Here x are tokens: as much as ten samples that lie 1,000 tokens off
/// the mean.
const PRIOR_WEIGHT: f64 = 1e7;

/// The sums of a fit of y over x.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LinearFit {
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    n: f64,
}

impl LinearFit {
    /// Adds a sample.
    pub(crate) fn add(&mut self, x: f64, y: f64) {
        for (sum, v) in [
            (&mut self.n, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * RETENTION + v;
        }
    }

    /// The slope, pulled towards `prior` while samples are few or have much the same x.
    pub(crate) fn slope(&self, prior: f64) -> f64 {
        let n = self.n.max(1.0);
        let covariance = self.xy - self.x * self.y / n;
        let variance = self.xx - self.x * self.x / n;
        (covariance + prior * PRIOR_WEIGHT) / (variance + PRIOR_WEIGHT)
    }
}
