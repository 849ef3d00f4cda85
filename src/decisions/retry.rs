//! Decides whether another attempt follows: after one that has failed, or beside one that is silent. Attempts
//! are limited per request, and over all requests by a budget, so that retries cannot make an overload worse.

use super::candidate::Selection;
use super::Balancer;
use crate::api::{Action, Nanos, RequestId};
use crate::state::request::RequestState;

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
