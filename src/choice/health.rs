//! What outcomes and reports say of a replica's health: its exclusion and its return.

use super::{
    Balancer, EJECTION_TIME_RANGE, FAILURES_TO_EJECT, RESTART_SUSPECTED_AFTER, TIMEOUT_LOAD_MULTIPLE,
};
use crate::api::{LoadField, Nanos, Outcome};

impl Balancer {
    pub(super) fn record_load_report(&mut self, now: Nanos, slot: usize, load: &[f64]) {
        let replica = &mut self.replicas[slot];
        for (field, &value) in self.settings.report_fields.iter().zip(load) {
            if *field == LoadField::PrefillBacklogThousands && value.is_finite() && value >= 0.0 {
                replica.prefill_backlog = value * 1000.0;
                replica.backlog_reported_at = now;
            }
        }
    }

    pub(super) fn record_success(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        let silent_for = now.saturating_sub(replica.last_response_at);
        (replica.last_response_at, replica.unanswered_since) = (now, 0);
        if replica.ejected_until > 0 && silent_for > RESTART_SUSPECTED_AFTER {
            // Back after silence: perhaps started anew, perhaps not. Treated as cold from now on.
            replica.warming_up_since = Some(now);
            (replica.slow_start_credit, replica.credit_updated_at) = (0.0, now);
            self.update_warming_up(slot);
        }
        let replica = &mut self.replicas[slot];
        (replica.consecutive_failures, replica.ejected_until, replica.next_ejection) =
            (0, 0, EJECTION_TIME_RANGE.0);
    }

    pub(super) fn record_failure(
        &mut self,
        now: Nanos,
        slot: usize,
        outcome: Outcome,
        stream_started: bool,
        elapsed: Nanos,
    ) {
        if outcome == Outcome::TimedOut && !stream_started {
            self.record_wait_sample(now, slot, elapsed as f64, 1.0);
        }
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let silence_limit = self.settings.classes[0].latency_objective as f64
            * (TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level).max(1.0);
        let replica = &mut self.replicas[slot];
        // It answers: one error alone says nothing of its health. Several with nothing else between them do:
        // whoever fails fast always seems free, and would draw all the traffic.
        replica.consecutive_failures += 1;
        // Slowness is not silence: unless it had been asked for long without a word to anyone here, a
        // time-out proves only that this prompt was not read yet.
        let is_silent = now.saturating_sub(replica.unanswered_since.max(replica.last_response_at)) as f64
            >= silence_limit
            || outcome != Outcome::TimedOut;
        if (replica.consecutive_failures >= FAILURES_TO_EJECT && is_silent)
            || outcome == Outcome::ConnectionRefused
            || replica.half_open_check
        {
            replica.ejected_until = now + (replica.next_ejection as f64 * jitter) as Nanos;
            replica.next_ejection = (replica.next_ejection * 2).min(EJECTION_TIME_RANGE.1);
        }
    }
}
