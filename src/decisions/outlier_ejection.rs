//! Decides which replicas are ejected, that is left out for a time because they fail, and when they are back.
//! Ejected replicas are ranked after all others; they get requests only where there is no other.

use super::timeouts::TIMEOUT_LOAD_MULTIPLE;
use super::Balancer;
use crate::api::{Nanos, Outcome, SECOND};

/// Consecutive failures that eject a replica; one is enough where the connection was refused.
const FAILURES_TO_EJECT: u32 = 3;
/// The first ejection, ns. Each further one without a success between them is twice as long.
pub(super) const FIRST_EJECTION: Nanos = 3 * SECOND;
/// The longest ejection, ns.
const LONGEST_EJECTION: Nanos = 24 * SECOND;
/// An ejected replica heard again after so long, ns, may have started anew in between: it is taken to be
/// warming up.
const RESTART_SUSPECTED_AFTER: Nanos = 3 * SECOND;

impl Balancer {
    /// A replica has begun an answer: it serves.
    pub(super) fn record_success(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        let silent_for = now.saturating_sub(replica.last_response_at);
        let was_ejected = replica.ejected_until > 0;
        (replica.last_response_at, replica.unanswered_since) = (now, 0);
        (replica.consecutive_failures, replica.ejected_until) = (0, 0);
        replica.next_ejection = FIRST_EJECTION;
        if was_ejected && silent_for > RESTART_SUSPECTED_AFTER {
            self.restart_slow_start(now, slot);
        }
    }

    /// An attempt at a replica has failed, so long after its send: counts it, and ejects the replica if it is
    /// an outlier.
    pub(super) fn record_failure(
        &mut self,
        now: Nanos,
        slot: usize,
        outcome: Outcome,
        stream_started: bool,
        elapsed: Nanos,
    ) {
        if outcome == Outcome::TimedOut && !stream_started {
            self.statistics.record_wait_sample(now, &mut self.replicas[slot], elapsed as f64, 1.0);
        }
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let silence_limit = self.settings.classes[0].latency_objective as f64
            * (TIMEOUT_LOAD_MULTIPLE * self.statistics.load_level).max(1.0);
        let replica = &mut self.replicas[slot];
        // It answers: one error alone says nothing of its health. Several with nothing else between them do:
        // a replica that fails fast always seems free, and would draw all the traffic.
        replica.consecutive_failures += 1;
        // Slowness is not silence: unless it had been asked for long without a response to anyone here, a
        // time-out proves only that this prompt was not read yet.
        let silent_for = now.saturating_sub(replica.unanswered_since.max(replica.last_response_at));
        let is_silent = silent_for as f64 >= silence_limit || outcome != Outcome::TimedOut;
        let is_outlier = replica.consecutive_failures >= FAILURES_TO_EJECT && is_silent;
        if is_outlier || outcome == Outcome::ConnectionRefused || replica.half_open_check {
            replica.ejected_until = now + (replica.next_ejection as f64 * jitter) as Nanos;
            replica.next_ejection = (replica.next_ejection * 2).min(LONGEST_EJECTION);
        }
    }
}
