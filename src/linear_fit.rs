//! Least-squares fit of a line with exponentially decaying weights.

/// Factor on the weight of older samples at each new one: the last 200 samples have about two thirds of the total
/// weight.
const RETENTION: f64 = 0.995;
/// Weight of the prior slope, in squared units of x. For x in tokens it equals ten samples that are 1,000 tokens from
/// the mean.
const PRIOR_WEIGHT: f64 = 1e7;

/// Weighted sums for a fit of y over x.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LinearFit {
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    n: f64,
}

impl LinearFit {
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

    /// Returns the slope, shrunk towards `prior` while samples are few or have similar x.
    pub(crate) fn slope(&self, prior: f64) -> f64 {
        let n = self.n.max(1.0);
        let covariance = self.xy - self.x * self.y / n;
        let variance = self.xx - self.x * self.x / n;
        (covariance + prior * PRIOR_WEIGHT) / (variance + PRIOR_WEIGHT)
    }
}
