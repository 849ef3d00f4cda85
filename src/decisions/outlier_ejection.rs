//! Decides which replicas are ejected because they fail, and for how long. Ejected replicas rank after all
//! others; they get requests only if there is no other.

use super::timeouts::TIMEOUT_LOAD_MULTIPLE;
use super::Balancer;
use crate::api::{Nanos, Outcome, SECOND};

/// Consecutive failures that eject a replica; one is enough if the connection was refused.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, ns. It doubles with each further ejection without a success in between.
pub(super) const INITIAL_EJECTION: Nanos = 3 * SECOND;
/// Maximum duration of an ejection, ns.
const MAX_EJECTION: Nanos = 24 * SECOND;
/// Silence after which an ejected replica that answers again may have restarted, ns; it then counts as
/// warming up.
const RESTART_SUSPECTED_AFTER: Nanos = 3 * SECOND;

impl Balancer {
    /// Records that a replica began an answer: ends its ejection and its series of failures.
    pub(super) fn record_success(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        let silent_for = now.saturating_sub(replica.last_response_at);
        let was_ejected = replica.ejected_until > 0;
        (replica.last_response_at, replica.unanswered_since) = (now, 0);
        (replica.consecutive_failures, replica.ejected_until) = (0, 0);
        replica.next_ejection = INITIAL_EJECTION;
        if was_ejected && silent_for > RESTART_SUSPECTED_AFTER {
            self.restart_slow_start(now, slot);
        }
    }

    /// Records an attempt that failed `elapsed` ns after its send, and ejects the replica if it is an
    /// outlier.
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
        // One error does not show that a replica is unhealthy; several in a row do. A replica that fails fast
        // always appears idle and would attract all traffic.
        replica.consecutive_failures += 1;
        // A slow replica is not a silent one: a time-out counts only if the replica has sent this router no
        // response for long while requests were waiting. Otherwise it shows only that this prompt was not
        // read yet.
        let silent_for = now.saturating_sub(replica.unanswered_since.max(replica.last_response_at));
        let is_silent = silent_for as f64 >= silence_limit || outcome != Outcome::TimedOut;
        let is_outlier = replica.consecutive_failures >= FAILURES_TO_EJECT && is_silent;
        if is_outlier || outcome == Outcome::ConnectionRefused || replica.half_open_check {
            replica.ejected_until = now + (replica.next_ejection as f64 * jitter) as Nanos;
            replica.next_ejection = (replica.next_ejection * 2).min(MAX_EJECTION);
        }
    }
}
