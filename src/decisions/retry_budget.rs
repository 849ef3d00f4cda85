//! The retry budget: retries and hedged requests are limited to a share of all requests, so that they cannot
//! amplify an overload.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Number of retries and hedged requests that may still be sent. Full at the start.
pub(super) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Adds the retries that a new request contributes to the budget.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Returns whether another retry or hedged request may be sent.
    pub(super) fn allows(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes one retry or hedged request from the budget.
    pub(super) fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
