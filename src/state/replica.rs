//! What a router remembers about one replica.

use crate::api::{EndpointEntry, EndpointState, Nanos, SECOND};
use crate::decode_rate::DecodeRate;
use crate::prefix_cache::SessionReplica;

/// State of one replica. Times are on the router's monotonic clock; 0 means never. "Own" means of this router
/// alone.
#[derive(Default)]
pub(crate) struct Replica {
    /// Entry in the endpoint list.
    pub(crate) entry: EndpointEntry,
    /// Smoothed first-token wait, without the prefill of the request's own prompt, ns.
    pub(crate) first_token_wait: f64,
    /// Time of the last sample of the first-token wait.
    pub(crate) wait_sampled_at: Nanos,
    /// Smoothed number of own requests in flight when the wait was sampled.
    pub(crate) concurrency: f64,
    /// Estimate of how long the replica's streams take.
    pub(crate) decode_rate: DecodeRate,
    /// Own attempts in flight.
    pub(crate) in_flight: u32,
    /// Time at which an own attempt last completed.
    pub(crate) last_completed_at: Nanos,
    /// Send times of own attempts without a first token, oldest first.
    pub(crate) awaiting_first_token: Vec<Nanos>,
    /// Time at which the replica last began or completed an answer to this router.
    pub(crate) last_response_at: Nanos,
    /// Send time of the first attempt since the last response; 0 if there was none.
    pub(crate) unanswered_since: Nanos,
    /// Number of failures since the last success.
    pub(crate) consecutive_failures: u32,
    /// Duration of the next ejection, ns.
    pub(crate) next_ejection: Nanos,
    /// End of the ejection. It stays above 0 until a success after the ejection.
    pub(crate) ejected_until: Nanos,
    /// Whether an attempt is in flight that decides if the ejection ends.
    pub(crate) half_open_check: bool,
    /// Start of the warm-up; `None` once warm.
    pub(crate) warming_up_since: Option<Nanos>,
    /// Requests that this router may send while the replica warms up, as of `credit_updated_at`.
    pub(crate) slow_start_credit: f64,
    /// Time at which the credit was last computed.
    pub(crate) credit_updated_at: Nanos,
    /// Prompt tokens yet to prefill, by the last load report.
    pub(crate) prefill_backlog: f64,
    /// Time of the last load report with a prefill backlog.
    pub(crate) backlog_reported_at: Nanos,
}

impl Replica {
    /// Returns whether the replica takes work and still has a session's prompt cached, in the same
    /// incarnation.
    pub(crate) fn has_session_cached(&self, session_replica: &SessionReplica) -> bool {
        self.entry.state == EndpointState::Ready
            && session_replica.is_incarnation_of(&self.entry, self.warming_up_since)
    }

    /// Returns whether an idle connection to the replica is likely to be open, given that replicas close idle
    /// connections after `idle_timeout`.
    pub(crate) fn is_connected(&self, now: Nanos, idle_timeout: Nanos) -> bool {
        let idle_for = now.saturating_sub(self.last_completed_at);
        self.in_flight == 0 && self.last_completed_at > 0 && idle_for < idle_timeout / 2
    }

    /// Returns whether the replica is ejected, or its half-open check is in flight.
    pub(crate) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now || (self.ejected_until > 0 && self.half_open_check)
    }

    /// Returns whether the replica has begun or completed no answer since `sent_at`.
    pub(crate) fn is_silent_since(&self, sent_at: Nanos) -> bool {
        self.last_response_at < sent_at
    }

    /// Returns the reported prefill backlog in tokens, assuming that half of it is read in each second.
    pub(crate) fn backlog_at(&self, now: Nanos) -> f64 {
        let age_s = now.saturating_sub(self.backlog_reported_at) as f64 / SECOND as f64;
        self.prefill_backlog * (-age_s).exp2()
    }

    /// Returns the wait of the oldest attempt without a first token, ns; 0 without one.
    pub(crate) fn longest_wait(&self, now: Nanos) -> f64 {
        self.awaiting_first_token.first().map_or(0.0, |&sent_at| now.saturating_sub(sent_at) as f64)
    }

    /// Removes the attempt sent at `sent_at` from those without a first token.
    pub(crate) fn stop_awaiting_first_token(&mut self, sent_at: Nanos) {
        let waiting = &mut self.awaiting_first_token;
        if let Some(index) = waiting.iter().position(|&other| other == sent_at) {
            waiting.remove(index);
        }
    }
}
