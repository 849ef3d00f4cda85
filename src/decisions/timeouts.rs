//! Decides when an attempt without a first token has waited too long: when it is cancelled, and when a hedged
//! request is sent beside it.

use super::candidate::Selection;
use super::{Balancer, ATTEMPT_CHECK_TIMER};
use crate::api::{Action, Nanos, RequestId};
use crate::state::request::RequestState;

/// An attempt may wait for its first token for this share of the latency objective while another is
/// affordable. What is cancelled goes on where it ran: a shorter time-out would let an overload feed itself.
const TIMEOUT_OBJECTIVE_SHARE: f64 = 1.2;
/// It may read its whole prompt so many times over, as others may be read before it.
const TIMEOUT_PREFILL_MULTIPLE: f64 = 1.5;
/// And it may always take so many times what first tokens take on the average.
pub(super) const TIMEOUT_LOAD_MULTIPLE: f64 = 4.0;
/// It may take so many times what was predicted for its replica.
const TIMEOUT_PREDICTED_MULTIPLE: f64 = 3.0;
/// It may take this share of what is left of the latency objective, and at the most that share of the time to
/// the deadline, so that there is time for another.
const TIMEOUT_REMAINING_SHARE: (f64, f64) = (0.5, 0.7);
/// Without a first token after this share of the latency objective and the prefill of the prompt, a hedged
/// request goes to another replica, if its own is silent.
const HEDGE_OBJECTIVE_SHARE: f64 = 0.4;
/// Below this load level (first tokens take less than this share of the latency objective) requests are
/// hedged: where most tokens come at once, waiting for the time-out only makes the answer late. Above it
/// hedging makes more work.
pub(super) const CALM_LOAD_LEVEL: f64 = 0.15;

/// How long an attempt may take.
pub(super) struct Timeouts {
    /// The attempt's time-out at the socket, ns.
    pub(super) attempt: Nanos,
    /// From then on it is cancelled if it has no first token.
    pub(super) first_token_at: Nanos,
    /// When a hedged request may be sent.
    hedge_at: Option<Nanos>,
    /// Whether the attempt is looked at on these two occasions.
    is_checked: bool,
}

impl Balancer {
    /// The time-outs of the next attempt of a request.
    ///
    /// The first-token timeout leaves time for another attempt, unless there will be none. Where attempts can
    /// be cancelled, a check after it tells silence from slowness; elsewhere it is the attempt's time-out. It
    /// grows with what first tokens take now and with what may have to be read: under overload, cancelling
    /// slow attempts and ejecting slow replicas would only make more work.
    pub(super) fn timeouts(&self, now: Nanos, state: &RequestState, selection: &Selection) -> Timeouts {
        let time_left = state.deadline.saturating_sub(now) as f64;
        let objective = self.latency_objective(&state.request);
        let may_retry = (state.attempts.len() as u32 + 1) < self.settings.max_attempts;
        let is_checked = may_retry && self.settings.can_cancel;
        let prefill_allowance = TIMEOUT_PREFILL_MULTIPLE
            * f64::from(state.request.prompt_tokens)
            * self.statistics.prefill_ns_per_token();
        let predicted = TIMEOUT_PREDICTED_MULTIPLE * selection.predicted_wait;
        let (of_objective, of_time_left) = TIMEOUT_REMAINING_SHARE;
        let first_token = (TIMEOUT_OBJECTIVE_SHARE * objective + prefill_allowance)
            .max(predicted)
            .max(TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level * objective)
            .max(of_objective * (objective - state.elapsed(now)))
            .min(time_left * of_time_left);
        let hedge_after = (HEDGE_OBJECTIVE_SHARE * objective + prefill_allowance).max(predicted);
        let may_hedge = self.settings.concurrent_attempts
            && self.statistics.load_level < CALM_LOAD_LEVEL
            && hedge_after < first_token;
        let attempt = if may_retry && !is_checked { first_token } else { time_left };
        Timeouts {
            attempt: (attempt as Nanos).max(1),
            first_token_at: now + first_token as Nanos,
            hedge_at: may_hedge.then_some(now + hedge_after as Nanos),
            is_checked,
        }
    }

    /// Has an attempt, given by its index, looked at when it may have to be hedged or cancelled.
    pub(super) fn schedule_checks(
        &mut self,
        id: RequestId,
        attempt: u32,
        timeouts: &Timeouts,
        out: &mut Vec<Action>,
    ) {
        if timeouts.is_checked {
            for at in timeouts.hedge_at.into_iter().chain([timeouts.first_token_at]) {
                self.attempt_checks.add(at, id, attempt);
                out.push(Action::WakeAt { at, token: ATTEMPT_CHECK_TIMER });
            }
        }
    }

    /// Looks at the attempts whose time has come.
    pub(super) fn check_attempts(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some((at, id, attempt_index)) = self.attempt_checks.next_due(now) {
            let Some(state) = self.requests.get(&id) else { continue };
            let Some(attempt) = state.attempts.get(attempt_index as usize) else { continue };
            // A replica that has begun another answer since is alive: waiting on beats starting over.
            let is_silent = self.replicas[attempt.slot].is_silent_since(attempt.sent_at);
            let is_waiting = !state.answered && !state.stream_started && attempt.outcome.is_none();
            if at < attempt.first_token_timeout_at {
                if is_silent {
                    self.hedge(now, id, out);
                }
            } else if is_waiting && is_silent && self.may_cancel(now, id) {
                out.push(Action::Cancel { request: id, attempt: attempt_index });
            }
        }
    }

    /// Whether a silent attempt is cancelled. Not where no other is likely to be in time, if late answers
    /// have a value and others can be asked for at all.
    fn may_cancel(&mut self, now: Nanos, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[state.request.class.0 as usize];
        let needs_target = class.late_value_share > 0.0 && self.settings.concurrent_attempts;
        self.retry_budget.allows() && (!needs_target || self.retry_target(now, id).is_some())
    }

    /// One attempt is in flight and has no first token where most have: a hedged request, if that is likely
    /// to be in time.
    fn hedge(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        // Replicas that are warming up are slow by nature, and more work makes them slower.
        let any_warming_up =
            self.replicas.warming_up().iter().any(|&slot| self.is_warming_up(now, &self.replicas[slot]));
        let is_calm = self.statistics.load_level < CALM_LOAD_LEVEL && !any_warming_up;
        if !is_calm || !self.retry_budget.allows() {
            return;
        }
        let Some(state) = self.requests.get(&id).filter(|state| !state.answered && !state.stream_started)
        else {
            return;
        };
        let time_left = self.latency_objective(&state.request) - state.elapsed(now);
        let selection = if state.attempts_in_flight() == 1 { self.retry_target(now, id) } else { None };
        if let Some(selection) = selection.filter(|selection| selection.predicted_wait < time_left) {
            self.retry_budget.spend();
            self.send_attempt(now, id, selection, out);
        }
    }
}
