//! Decides whether another attempt follows: after one that has failed, or beside one that is silent. Attempts
//! are limited per request, and over all requests by a budget, so that retries cannot make an overload worse.

use super::ranking::Selection;
use super::Balancer;
use crate::api::{Action, Nanos, RequestId};
use crate::state::request::RequestState;

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

impl Balancer {
    /// No attempt is in flight and no answer given: another attempt, or the final answer.
    pub(super) fn retry_or_answer(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let selection = self.retry_target(now, id);
        let Some(may_reject) = self.requests.get(&id).map(|state| self.may_reject(state)) else { return };
        match selection {
            Some(selection) => {
                self.retry_budget.spend();
                self.send_attempt(now, id, selection, out);
            }
            None if may_reject => self.reject_no_capacity(id, out),
            None => {
                self.refund_quota(id);
                self.close_request(id);
                out.push(Action::Fail(id));
            }
        }
    }

    /// Where another attempt is likely to have its first token in time, if there may be one.
    pub(super) fn retry_target(&mut self, now: Nanos, id: RequestId) -> Option<Selection> {
        let state = self.requests.remove(&id)?;
        let attempts_left = (state.attempts.len() as u32) < self.settings.max_attempts;
        let may_retry = attempts_left && self.retry_budget.allows();
        let selection = if may_retry { self.select_replica(now, &state) } else { None };
        let selection = selection.filter(|selection| self.begins_in_time(now, &state, selection));
        self.requests.insert(id, state);
        selection
    }

    /// Rule 2: whether a rejection, which promises that the client may repeat the request, would be true.
    fn may_reject(&self, state: &RequestState) -> bool {
        let effect = self.settings.classes[state.request.class.0 as usize].effect;
        effect.may_reject(state.may_have_run())
    }
}
