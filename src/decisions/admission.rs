//! Decides whether a request is admitted: its tenant must have quota left, and a first token must be likely
//! in time. A rejection carries a Retry-After.

use super::candidate::Selection;
use super::timeouts::LOW_LOAD_LEVEL;
use super::Balancer;
use crate::api::{Action, Nanos, RejectReason, Request, RequestId, SECOND};
use crate::state::request::RequestState;

/// Minimum Retry-After of a request that is rejected for lack of capacity, ns.
const MIN_RETRY_AFTER: Nanos = SECOND / 10;

impl Balancer {
    /// Takes a token from the bucket of the request's tenant; returns whether one was available. A resumed
    /// stream takes none, as it was charged on its first arrival.
    pub(super) fn admit(&mut self, now: Nanos, request: &Request) -> bool {
        if request.resumes_stream {
            return true;
        }
        let bucket = &mut self.buckets[request.tenant.0 as usize];
        bucket.refill(now, self.statistics.load_level);
        bucket.try_take()
    }

    /// Returns the tenant's token if an admitted request ends unserved.
    pub(super) fn refund_quota(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            if state.quota_charged && !state.counted_as_served {
                state.quota_charged = false;
                self.buckets[state.request.tenant.0 as usize].refund();
            }
        }
    }

    /// Returns the latency objective of a request, ns.
    pub(super) fn latency_objective(&self, request: &Request) -> f64 {
        self.settings.classes[request.class.0 as usize].latency_objective_for(request.prompt_tokens)
    }

    /// Returns whether an attempt is likely to get its first token in time: the predicted wait of the replica
    /// and the current average wait must both fit. An attempt that is cancelled later costs the replica work
    /// and delays other requests.
    pub(super) fn first_token_likely_in_time(
        &self,
        now: Nanos,
        state: &RequestState,
        selection: &Selection,
    ) -> bool {
        let time_left = state.deadline.saturating_sub(now) as f64;
        let expected_wait = self.statistics.load_level_at(now) * self.latency_objective(&state.request);
        selection.predicted_wait < self.first_token_time_limit(now, state) && expected_wait < time_left
    }

    /// Returns the time left in which a first token still has value, ns. The limit is the client's deadline.
    /// Under load it is the latency objective for classes whose late answers have less value, because such
    /// attempts would delay other requests.
    fn first_token_time_limit(&self, now: Nanos, state: &RequestState) -> f64 {
        let (request, time_left) = (&state.request, state.deadline.saturating_sub(now) as f64);
        let class = &self.settings.classes[request.class.0 as usize];
        let late_has_full_value = request.resumes_stream || class.late_value_share >= 1.0;
        let is_limited_to_objective =
            !late_has_full_value && self.statistics.load_level_at(now) >= LOW_LOAD_LEVEL;
        if is_limited_to_objective {
            time_left.min(self.latency_objective(request) - state.elapsed(now))
        } else {
            time_left
        }
    }

    /// Rejects a request of a tenant without quota. Retry-After is the time to the bucket's next token,
    /// randomly extended up to twofold so that clients rejected together do not return together.
    pub(super) fn reject_quota_exceeded(&mut self, id: RequestId, tenant: usize, out: &mut Vec<Action>) {
        let wait_s = self.buckets[tenant].seconds_to_next_token();
        let wait = wait_s * SECOND as f64 * (1.0 + self.rng.f64());
        self.reject(id, wait, RejectReason::QuotaExceeded, out);
    }

    /// Rejects a request for lack of capacity. Retry-After is the current first-token wait, randomly spread
    /// so that clients rejected together do not return together.
    pub(super) fn reject_no_capacity(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let wait = self.statistics.first_token_wait.max(MIN_RETRY_AFTER as f64) * (0.5 + self.rng.f64());
        self.reject(id, wait, RejectReason::NoCapacity, out);
    }

    /// Gives a request its final answer: a rejection with a Retry-After of `wait` ns. Only for requests that
    /// are safe to repeat.
    fn reject(&mut self, id: RequestId, wait: f64, reason: RejectReason, out: &mut Vec<Action>) {
        self.refund_quota(id);
        self.close_request(id);
        let retry_after = (wait as Nanos).min(self.settings.max_retry_after);
        out.push(Action::Reject { request: id, retry_after, reason });
    }
}
