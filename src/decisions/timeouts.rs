//! Decides when an attempt without a first token has waited too long: when it is cancelled, and when a hedged
//! request is sent.

use super::candidate::Selection;
use super::{Balancer, ATTEMPT_CHECK_TIMER};
use crate::api::{Action, Nanos, RequestId};
use crate::state::request::RequestState;

/// Minimum first-token timeout as a share of the latency objective, not counting the prefill allowance.
/// Replicas may keep working on cancelled attempts, so a shorter timeout would let an overload sustain
/// itself.
const TIMEOUT_OBJECTIVE_SHARE: f64 = 1.2;
/// Prefill allowance, as a multiple of the prompt's prefill time: other prompts may be read first.
const TIMEOUT_PREFILL_MULTIPLE: f64 = 1.5;
/// Minimum first-token timeout as a multiple of the current average first-token time.
pub(super) const TIMEOUT_LOAD_MULTIPLE: f64 = 4.0;
/// Minimum first-token timeout as a multiple of the wait predicted for the replica.
const TIMEOUT_PREDICTED_MULTIPLE: f64 = 3.0;
/// First-token timeout as a share of the time left: at least the first share of the time to the latency
/// objective, at most the second share of the time to the deadline, which leaves time for another attempt.
const TIMEOUT_REMAINING_SHARE: (f64, f64) = (0.5, 0.7);
/// Time without a first token after which a hedged request is sent if the replica is silent, as a share of
/// the latency objective, in addition to the prefill allowance.
const HEDGE_OBJECTIVE_SHARE: f64 = 0.4;
/// Load level below which requests are hedged: while most first tokens come at once, waiting for the timeout
/// only makes the answer late. At a higher load, hedging adds work.
pub(super) const LOW_LOAD_LEVEL: f64 = 0.15;

/// Time limits of an attempt.
pub(super) struct Timeouts {
    /// Timeout of the attempt at the socket, ns.
    pub(super) attempt: Nanos,
    /// Time at which the attempt is cancelled if it has no first token.
    pub(super) first_token_timeout_at: Nanos,
    /// Time at which a hedged request may be sent.
    hedge_at: Option<Nanos>,
    /// Whether the attempt is checked at `hedge_at` and `first_token_timeout_at`.
    is_checked: bool,
}

impl Balancer {
    /// Returns the time limits of the next attempt of a request.
    ///
    /// The first-token timeout leaves time for another attempt, if another is allowed. Where attempts can be
    /// cancelled, a check at the timeout distinguishes silent replicas from slow ones; elsewhere the timeout
    /// applies at the socket. It grows with the current first-token times and with the prefill that may be
    /// needed: under overload, cancelling slow attempts and ejecting slow replicas would only add work.
    pub(super) fn timeouts(&self, now: Nanos, state: &RequestState, selection: &Selection) -> Timeouts {
        let time_left = state.deadline.saturating_sub(now) as f64;
        let objective = self.latency_objective(&state.request);
        let may_retry = (state.attempts.len() as u32 + 1) < self.settings.max_attempts;
        let is_checked = may_retry && self.settings.can_cancel;
        let prefill_allowance = TIMEOUT_PREFILL_MULTIPLE
            * f64::from(state.request.prompt_tokens)
            * self.statistics.prefill_ns_per_token();
        let predicted = TIMEOUT_PREDICTED_MULTIPLE * selection.predicted_wait;
        let (objective_share, time_left_share) = TIMEOUT_REMAINING_SHARE;
        let first_token_timeout = (TIMEOUT_OBJECTIVE_SHARE * objective + prefill_allowance)
            .max(predicted)
            .max(TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level * objective)
            .max(objective_share * (objective - state.elapsed(now)))
            .min(time_left * time_left_share);
        let hedge_after = (HEDGE_OBJECTIVE_SHARE * objective + prefill_allowance).max(predicted);
        let may_hedge = self.settings.concurrent_attempts
            && self.statistics.load_level < LOW_LOAD_LEVEL
            && hedge_after < first_token_timeout;
        let attempt = if may_retry && !is_checked { first_token_timeout } else { time_left };
        Timeouts {
            attempt: (attempt as Nanos).max(1),
            first_token_timeout_at: now + first_token_timeout as Nanos,
            hedge_at: may_hedge.then_some(now + hedge_after as Nanos),
            is_checked,
        }
    }

    /// Schedules the checks at which an attempt may be hedged or cancelled.
    pub(super) fn schedule_checks(
        &mut self,
        id: RequestId,
        attempt: u32,
        timeouts: &Timeouts,
        out: &mut Vec<Action>,
    ) {
        if timeouts.is_checked {
            for at in timeouts.hedge_at.into_iter().chain([timeouts.first_token_timeout_at]) {
                self.attempt_checks.add(at, id, attempt);
                out.push(Action::WakeAt { at, token: ATTEMPT_CHECK_TIMER });
            }
        }
    }

    /// Performs the checks that are due.
    pub(super) fn check_attempts(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some((at, id, attempt_index)) = self.attempt_checks.next_due(now) {
            let Some(state) = self.requests.get(&id) else { continue };
            let Some(attempt) = state.attempts.get(attempt_index as usize) else { continue };
            // A replica that has begun another answer since is alive: waiting is faster than starting over.
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

    /// Returns whether a silent attempt may be cancelled. If late answers have value and concurrent attempts
    /// are possible, another replica must be likely to answer in time.
    fn may_cancel(&mut self, now: Nanos, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[state.request.class.0 as usize];
        let needs_target = class.late_value_share > 0.0 && self.settings.concurrent_attempts;
        self.retry_budget.allows() && (!needs_target || self.retry_target(now, id).is_some())
    }

    /// Sends a hedged request for a request with one silent attempt in flight, if it is likely to be in time.
    fn hedge(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        // Warming replicas are slow in any case, and more work would slow them further.
        let any_warming_up =
            self.replicas.warming_up().iter().any(|&slot| self.is_warming_up(now, &self.replicas[slot]));
        let is_low_load = self.statistics.load_level < LOW_LOAD_LEVEL && !any_warming_up;
        if !is_low_load || !self.retry_budget.allows() {
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
