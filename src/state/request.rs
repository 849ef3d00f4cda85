//! State of one request and its attempts, kept until the last attempt has ended.

use crate::api::{Effect, EndpointEntry, Nanos, Outcome, Request};
use smallvec::SmallVec;

/// One attempt of a request.
pub(crate) struct Attempt {
    /// Slot of the replica in the replica table. Valid while the attempt is in flight.
    pub(crate) slot: usize,
    /// Entry of the replica at the time of the send.
    pub(crate) entry: EndpointEntry,
    /// Time of the send.
    pub(crate) sent_at: Nanos,
    /// Prompt tokens that the replica was expected to prefill.
    pub(crate) prefill_tokens: f64,
    /// Own requests in flight at the replica at the send, including this one.
    pub(crate) concurrency: f64,
    /// Time from the send to the first token, ns; 0 before the first token.
    pub(crate) time_to_first_token: Nanos,
    /// Earliest time at which the attempt is cancelled without a first token; a hedged request may be sent
    /// before.
    pub(crate) first_token_timeout_at: Nanos,
    /// Outcome of the attempt; `None` while in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the replica may have run the attempt or may still run it.
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// State of a request that is unanswered or has attempts in flight.
pub(crate) struct RequestState {
    /// The request, with its class and tenant limited to those in the settings.
    pub(crate) request: Request,
    /// Time of arrival.
    pub(crate) arrived_at: Nanos,
    /// Time at which the client gives up.
    pub(crate) deadline: Nanos,
    /// Attempts in order. The first is stored inline, as most requests have only one.
    pub(crate) attempts: SmallVec<[Attempt; 1]>,
    /// Whether the request needs no further answer: it was answered, or its client has disconnected.
    pub(crate) answered: bool,
    /// Whether an attempt has had its first token.
    pub(crate) stream_started: bool,
    /// Whether a token of the tenant's leaky bucket was taken for the request.
    pub(crate) quota_charged: bool,
    /// Whether the request has been counted as served in the reports to peers.
    pub(crate) counted_as_served: bool,
}

impl RequestState {
    /// Creates the state of a request that has just arrived.
    pub(crate) fn new(now: Nanos, deadline: Nanos, request: Request) -> Self {
        RequestState {
            request,
            arrived_at: now,
            deadline,
            attempts: SmallVec::new(),
            answered: false,
            stream_started: false,
            quota_charged: false,
            counted_as_served: false,
        }
    }

    /// Returns the time since the arrival, ns.
    pub(crate) fn elapsed(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.arrived_at) as f64
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Returns an attempt by its index, if it is in flight.
    pub(crate) fn attempt_in_flight(&mut self, index: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(index as usize).filter(|attempt| attempt.outcome.is_none())
    }

    /// Returns whether any replica may have run the request or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Rule 2: returns whether another attempt may go to `target`. An attempt that may have run restricts
    /// later ones to its deduplication scope and window, or forbids them.
    pub(crate) fn may_repeat(
        &self,
        now: Nanos,
        effect: Effect,
        target: &EndpointEntry,
        concurrent_attempts: bool,
    ) -> bool {
        let allows = |earlier: &Attempt| {
            let is_alone = concurrent_attempts || earlier.outcome.is_some();
            is_alone
                && effect.may_resend(now, earlier.sent_at)
                && effect.same_deduplication_scope(&earlier.entry, target)
        };
        self.attempts.iter().all(|earlier| !earlier.may_have_run() || allows(earlier))
    }
}
