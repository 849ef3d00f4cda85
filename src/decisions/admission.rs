//! Decides whether a request is admitted: whether its tenant has quota left, and whether a first token is
//! likely to come in time. A rejected client is told when to come back.

use super::candidate::Selection;
use super::timeouts::CALM_LOAD_LEVEL;
use super::Balancer;
use crate::api::{Action, Nanos, RejectReason, Request, RequestId, SECOND};
use crate::state::request::RequestState;

/// The least Retry-After of a request that is rejected for want of capacity, ns.
const MIN_RETRY_AFTER: Nanos = SECOND / 10;

impl Balancer {
    /// Takes a token of the request's tenant; whether there was one. A resumed stream was charged when it
    /// first came.
    pub(super) fn admit(&mut self, now: Nanos, request: &Request) -> bool {
        if request.resumes_stream {
            return true;
        }
        let bucket = &mut self.buckets[request.tenant.0 as usize];
        bucket.refill(now, self.statistics.load_level);
        bucket.try_take()
    }

    /// A token comes back when an admitted request ends unserved.
    pub(super) fn refund_quota(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            if state.quota_charged && !state.counted_as_served {
                state.quota_charged = false;
                self.buckets[state.request.tenant.0 as usize].refund();
            }
        }
    }

    /// The latency objective of a request, ns.
    pub(super) fn latency_objective(&self, request: &Request) -> f64 {
        self.settings.classes[request.class.0 as usize].latency_objective_for(request.prompt_tokens)
    }

    /// Whether an attempt is likely to have its first token in time: the replica is not known to take longer,
    /// and what first tokens take on the average is left. An attempt that is cancelled costs replicas work,
    /// and others time.
    pub(super) fn begins_in_time(&self, now: Nanos, state: &RequestState, selection: &Selection) -> bool {
        let time_left = state.deadline.saturating_sub(now) as f64;
        let usual_wait = self.statistics.load_level_at(now) * self.latency_objective(&state.request);
        selection.predicted_wait < self.first_token_wanted_within(now, state) && usual_wait < time_left
    }

    /// So many ns from now a first token is wanted: before the client leaves; under load within the latency
    /// objective, where late answers have less value. Those that lost their cached tokens would delay the
    /// others.
    fn first_token_wanted_within(&self, now: Nanos, state: &RequestState) -> f64 {
        let (request, time_left) = (&state.request, state.deadline.saturating_sub(now) as f64);
        let class = &self.settings.classes[request.class.0 as usize];
        let late_has_full_value = request.resumes_stream || class.late_value_share >= 1.0;
        let within_objective = !late_has_full_value && self.statistics.load_level_at(now) >= CALM_LOAD_LEVEL;
        if within_objective {
            time_left.min(self.latency_objective(request) - state.elapsed(now))
        } else {
            time_left
        }
    }

    /// The next token of the tenant's bucket tells when to come back; up to twice as late, so that those
    /// rejected together do not come back together.
    pub(super) fn reject_quota_exceeded(&mut self, id: RequestId, tenant: usize, out: &mut Vec<Action>) {
        let wait_s = self.buckets[tenant].seconds_to_next_token();
        let wait = wait_s * SECOND as f64 * (1.0 + self.rng.f64());
        self.reject(id, wait, RejectReason::QuotaExceeded, out);
    }

    /// No quota is short, so no bucket tells when to come back: what first tokens wait for now does, spread
    /// out so that those rejected together do not come back together.
    pub(super) fn reject_no_capacity(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let wait = self.statistics.first_token_wait.max(MIN_RETRY_AFTER as f64) * (0.5 + self.rng.f64());
        self.reject(id, wait, RejectReason::NoCapacity, out);
    }

    /// The final answer to a request that may be repeated safely, with the wait in ns that its client is
    /// told.
    fn reject(&mut self, id: RequestId, wait: f64, reason: RejectReason, out: &mut Vec<Action>) {
        self.refund_quota(id);
        self.close_request(id);
        let retry_after = (wait as Nanos).min(self.settings.max_retry_after);
        out.push(Action::Reject { request: id, retry_after, reason });
    }
}
