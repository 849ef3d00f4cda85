//! What a router remembers of one request and its attempts, until its last attempt has ended.

use crate::api::{Effect, EndpointEntry, Nanos, Outcome, Request};
use smallvec::SmallVec;

/// One attempt of a request.
pub(crate) struct Attempt {
    /// Where the replica stands in the replica table. Valid while the attempt is in flight.
    pub(crate) slot: usize,
    /// The replica's entry at the send.
    pub(crate) entry: EndpointEntry,
    /// When it was sent.
    pub(crate) sent_at: Nanos,
    /// Prompt tokens that the replica was expected to read.
    pub(crate) prefill_tokens: f64,
    /// Own requests in flight at the replica then, this one among them.
    pub(crate) concurrency: f64,
    /// First token so long after the send; 0 before it.
    pub(crate) first_token_after: Nanos,
    /// Until then it is not cancelled for want of a first token; a hedged request may be sent before.
    pub(crate) first_token_timeout_at: Nanos,
    /// `None` while in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the replica may have run it, or may yet.
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that has not been answered, or has attempts in flight.
pub(crate) struct RequestState {
    /// What the client asks for; its class and tenant are in the settings.
    pub(crate) request: Request,
    /// When it came.
    pub(crate) arrived_at: Nanos,
    /// When its client gives up.
    pub(crate) deadline: Nanos,
    /// Its attempts in order. The first is held in place: most requests have no other.
    pub(crate) attempts: SmallVec<[Attempt; 1]>,
    /// No answer is owed any longer.
    pub(crate) answered: bool,
    /// An attempt has had its first token.
    pub(crate) stream_started: bool,
    /// A token of its tenant's leaky bucket was taken for it.
    pub(crate) quota_charged: bool,
    /// It has been counted as served, for the reports to peers.
    pub(crate) counted_as_served: bool,
}

impl RequestState {
    /// A request that has just come.
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

    /// Time since it came, ns.
    pub(crate) fn elapsed(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.arrived_at) as f64
    }

    /// The number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// An attempt that is still in flight.
    pub(crate) fn attempt_in_flight(&mut self, index: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(index as usize).filter(|attempt| attempt.outcome.is_none())
    }

    /// Whether a replica may have run it, or may yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Rule 2: an attempt that may have run binds later ones to its group and window, or forbids them.
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
                && effect.share_deduplication(&earlier.entry, target)
        };
        self.attempts.iter().all(|earlier| !earlier.may_have_run() || allows(earlier))
    }
}
