//! What outcomes and reports say of a replica's health: its exclusion and its return.

use super::{
    Balancer, EJECTION_TIME_RANGE, FAILURES_TO_EJECT, RESTART_SUSPECTED_AFTER, TIMEOUT_LOAD_MULTIPLE,
};
use crate::api::{LoadField, Nanos, Outcome};

impl Balancer {
    pub(super) fn record_load_report(&mut self, now: Nanos, i: usize, load: &[f64]) {
        let r = &mut self.replicas[i];
        for (field, &x) in self.settings.report_fields.iter().zip(load) {
            if *field == LoadField::PrefillBacklogThousands && x.is_finite() && x >= 0.0 {
                r.prefill_backlog = x * 1000.0;
                r.backlog_reported_at = now;
            }
        }
    }

    pub(super) fn record_success(&mut self, now: Nanos, i: usize) {
        let r = &mut self.replicas[i];
        let silent = now.saturating_sub(r.last_response_at);
        (r.last_response_at, r.unanswered_since) = (now, 0);
        if r.ejected_until > 0 && silent > RESTART_SUSPECTED_AFTER {
            // Back after silence: perhaps started anew, perhaps not. Treated as cold from now on.
            r.warming_up_since = Some(now);
            (r.slow_start_credit, r.credit_updated_at) = (0.0, now);
            self.update_warming_up(i);
        }
        let r = &mut self.replicas[i];
        (r.consecutive_failures, r.ejected_until, r.next_ejection) = (0, 0, EJECTION_TIME_RANGE.0);
    }

    pub(super) fn record_failure(
        &mut self,
        now: Nanos,
        i: usize,
        outcome: Outcome,
        started: bool,
        after: Nanos,
    ) {
        if outcome == Outcome::TimedOut && !started {
            self.record_wait_sample(now, i, after as f64, 1.0);
        }
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let silence = self.settings.classes[0].latency_objective as f64
            * (TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level).max(1.0);
        let r = &mut self.replicas[i];
        // It answers: one error alone says nothing of its health. Several with nothing else between them do:
        // whoever fails fast always seems free, and would draw all the traffic.
        r.consecutive_failures += 1;
        // Slowness is not silence: unless it had been asked for long without a word to anyone here, a
        // time-out proves only that this prompt was not read yet.
        let silent = now.saturating_sub(r.unanswered_since.max(r.last_response_at)) as f64 >= silence
            || outcome != Outcome::TimedOut;
        if (r.consecutive_failures >= FAILURES_TO_EJECT && silent)
            || outcome == Outcome::ConnectionRefused
            || r.half_open_check
        {
            r.ejected_until = now + (r.next_ejection as f64 * jitter) as Nanos;
            r.next_ejection = (r.next_ejection * 2).min(EJECTION_TIME_RANGE.1);
        }
    }
}
