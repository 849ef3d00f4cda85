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
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    sum_weights: f64,
}

impl LinearFit {
    /// Adds a sample and reduces the weight of the earlier ones.
    pub(crate) fn add(&mut self, x: f64, y: f64) {
        for (sum, value) in [
            (&mut self.sum_weights, 1.0),
            (&mut self.sum_x, x),
            (&mut self.sum_y, y),
            (&mut self.sum_xx, x * x),
            (&mut self.sum_xy, x * y),
        ] {
            *sum = *sum * RETENTION + value;
        }
    }

    /// Returns the slope, shrunk towards `prior` while samples are few or have similar x.
    pub(crate) fn slope(&self, prior: f64) -> f64 {
        let weight = self.sum_weights.max(1.0);
        let covariance = self.sum_xy - self.sum_x * self.sum_y / weight;
        let variance = self.sum_xx - self.sum_x * self.sum_x / weight;
        (covariance + prior * PRIOR_WEIGHT) / (variance + PRIOR_WEIGHT)
    }
}
