//! What a router remembers of one replica.

use crate::api::{EndpointEntry, EndpointState, Nanos, SECOND};
use crate::decode_rate::DecodeRate;
use crate::prefix_cache::SessionReplica;

/// State of one replica. Times are of the router's monotonic clock; 0 stands for never.
#[derive(Default)]
pub(crate) struct Replica {
    /// Its entry in the endpoint list.
    pub(crate) entry: EndpointEntry,
    /// Smoothed first-token wait without the prefill of the request's own prompt, ns.
    pub(crate) first_token_wait: f64,
    /// When that wait was last sampled.
    pub(crate) wait_sampled_at: Nanos,
    /// Smoothed own concurrency at which it was sampled.
    pub(crate) concurrency: f64,
    /// How long its streams take.
    pub(crate) decode_rate: DecodeRate,
    /// Own attempts in flight.
    pub(crate) in_flight: u32,
    /// When an own attempt last completed.
    pub(crate) last_completed_at: Nanos,
    /// Send times of own attempts that have no first token yet, oldest first.
    pub(crate) awaiting_first_token: Vec<Nanos>,
    /// When it last began or completed an answer to this router.
    pub(crate) last_response_at: Nanos,
    /// The first attempt sent since then; 0 if there was none.
    pub(crate) unanswered_since: Nanos,
    /// Failures without a success between them.
    pub(crate) consecutive_failures: u32,
    /// How long its next ejection lasts.
    pub(crate) next_ejection: Nanos,
    /// Ejected until then; it stays above 0 until a success after the ejection.
    pub(crate) ejected_until: Nanos,
    /// An attempt is in flight that decides whether it serves again.
    pub(crate) half_open_check: bool,
    /// Warming up from this time on; `None` once warm.
    pub(crate) warming_up_since: Option<Nanos>,
    /// Requests that this router may send it while it warms up, as of `credit_updated_at`.
    pub(crate) slow_start_credit: f64,
    /// When the credit was last computed.
    pub(crate) credit_updated_at: Nanos,
    /// Prompt tokens that it has yet to read, by its last load report.
    pub(crate) prefill_backlog: f64,
    /// When that load report came.
    pub(crate) backlog_reported_at: Nanos,
}

impl Replica {
    /// Whether it takes work and still has what it read for a session, in the same incarnation.
    pub(crate) fn holds_session(&self, holder: &SessionReplica) -> bool {
        self.entry.state == EndpointState::Ready
            && holder.is_incarnation_of(&self.entry, self.warming_up_since)
    }

    /// Whether an idle connection to it is likely to be open, where connections are closed after
    /// `idle_timeout`.
    pub(crate) fn is_connected(&self, now: Nanos, idle_timeout: Nanos) -> bool {
        let idle_for = now.saturating_sub(self.last_completed_at);
        self.in_flight == 0 && self.last_completed_at > 0 && idle_for < idle_timeout / 2
    }

    /// Whether other replicas go before it: it is ejected, or its half-open check is under way.
    pub(crate) fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now || (self.ejected_until > 0 && self.half_open_check)
    }

    /// Whether it has been silent since a time: it has begun or completed no answer.
    pub(crate) fn is_silent_since(&self, sent_at: Nanos) -> bool {
        self.last_response_at < sent_at
    }

    /// The reported prefill backlog in tokens, of which half is taken to be read within each second.
    pub(crate) fn backlog_at(&self, now: Nanos) -> f64 {
        let age_s = now.saturating_sub(self.backlog_reported_at) as f64 / SECOND as f64;
        self.prefill_backlog * (-age_s).exp2()
    }

    /// How long its oldest attempt without a first token has waited, ns; 0 without one.
    pub(crate) fn longest_waiting(&self, now: Nanos) -> f64 {
        self.awaiting_first_token.first().map_or(0.0, |&sent_at| now.saturating_sub(sent_at) as f64)
    }

    /// An attempt sent at that time waits for its first token no longer.
    pub(crate) fn stop_awaiting_first_token(&mut self, sent_at: Nanos) {
        let waiting = &mut self.awaiting_first_token;
        if let Some(index) = waiting.iter().position(|&other| other == sent_at) {
            waiting.remove(index);
        }
    }
}
