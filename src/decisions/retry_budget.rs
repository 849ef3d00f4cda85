//! How many retries and hedged requests may be sent over all requests: a share of the requests that come, so
//! that retries cannot make an overload worse.

/// Retries that each request earns for the budget of all.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The most retries that can be saved.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retries and hedged requests that may still be sent, over all requests. Full at the start.
pub(super) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// A request has come.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether a further attempt may be sent.
    pub(super) fn allows(&self) -> bool {
        self.saved >= 1.0
    }

    /// A further attempt is sent.
    pub(super) fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
