//! What outcomes and reports say of a replica's health: its exclusion and its return.

use super::{Balancer, EJECT, FAILS, PATIENCE, SILENCE};
use crate::api::{LoadField, Nanos, Outcome};

impl Balancer {
    pub(super) fn note_load(&mut self, now: Nanos, i: usize, load: &[f64]) {
        let r = &mut self.replicas[i];
        for (field, &x) in self.set.report_fields.iter().zip(load) {
            if *field == LoadField::PrefillBacklogThousands && x.is_finite() && x >= 0.0 {
                r.unread = x * 1000.0;
                r.reported_at = now;
            }
        }
    }

    pub(super) fn well(&mut self, now: Nanos, i: usize) {
        let r = &mut self.replicas[i];
        let silent = now.saturating_sub(r.heard);
        (r.heard, r.asked) = (now, 0);
        if r.ejected_until > 0 && silent > SILENCE {
            // Back after silence: perhaps started anew, perhaps not. Treated as cold from now on.
            r.cold_from = Some(now);
            (r.cold_credit, r.cold_at) = (0.0, now);
            self.note_cold(i);
        }
        let r = &mut self.replicas[i];
        (r.fails, r.ejected_until, r.eject_for) = (0, 0, EJECT.0);
    }

    pub(super) fn ill(&mut self, now: Nanos, i: usize, outcome: Outcome, started: bool, after: Nanos) {
        if outcome == Outcome::TimedOut && !started {
            self.sample(now, i, after as f64, 1.0);
        }
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let silence = self.set.classes[0].latency_objective as f64 * (PATIENCE * self.fleet.strain).max(1.0);
        let r = &mut self.replicas[i];
        // It answers: one error alone says nothing of its health. Several with nothing else between them do:
        // whoever fails fast always seems free, and would draw all the traffic.
        r.fails += 1;
        // Slowness is not silence: unless it had been asked for long without a word to anyone here, a
        // time-out proves only that this prompt was not read yet.
        let silent =
            now.saturating_sub(r.asked.max(r.heard)) as f64 >= silence || outcome != Outcome::TimedOut;
        if (r.fails >= FAILS && silent) || outcome == Outcome::ConnectionRefused || r.trial {
            r.ejected_until = now + (r.eject_for as f64 * jitter) as Nanos;
            r.eject_for = (r.eject_for * 2).min(EJECT.1);
        }
    }
}
