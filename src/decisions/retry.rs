//! Decides whether another attempt follows a failed one, or is sent beside a silent one. Attempts are limited
//! per request, and over all requests by a retry budget, so that retries cannot amplify an overload.

use super::candidate::Selection;
use super::Balancer;
use crate::api::{Action, Nanos, RequestId};
use crate::state::request::RequestState;

impl Balancer {
    /// Sends another attempt or the final answer for a request that has no attempt in flight and no answer.
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

    /// Returns the replica for another attempt, if one is allowed and likely to get its first token in time.
    pub(super) fn retry_target(&mut self, now: Nanos, id: RequestId) -> Option<Selection> {
        let state = self.requests.remove(&id)?;
        let attempts_left = (state.attempts.len() as u32) < self.settings.max_attempts;
        let may_retry = attempts_left && self.retry_budget.allows();
        let selection = if may_retry { self.select_replica(now, &state) } else { None };
        let selection = selection.filter(|selection| self.first_token_likely_in_time(now, &state, selection));
        self.requests.insert(id, state);
        selection
    }

    /// Rule 2: returns whether a rejection may be sent, as it promises that repeating the request is safe.
    fn may_reject(&self, state: &RequestState) -> bool {
        let effect = self.settings.classes[state.request.class.0 as usize].effect;
        effect.may_reject(state.may_have_run())
    }
}
