//! What repeating a request does, and what follows from it: when it may be rejected, and when a further attempt may be
//! sent.

use crate::api::endpoint::EndpointEntry;
use crate::api::ids::{Nanos, SECOND};

/// The longest from the decision to send a further attempt to the arrival of its last byte: the router may be held up
/// between the two.
const MAX_WRITE_TIME: Nanos = 3 * SECOND / 20;

/// What repeating a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and rejected at will.
    Idempotent,
    /// Repeats are dropped within `scope`, for `window` from the send of the first attempt that may have run.
    IdempotentByKey {
        /// The replicas that recognise each other's requests.
        scope: DeduplicationScope,
        /// How long they do.
        window: Nanos,
    },
    /// The effect would happen again: it is repeated or rejected only if no attempt can have run.
    NotIdempotent,
}

/// The replicas among which an [`Effect::IdempotentByKey`] request has its effect once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    AllReplicas,
    /// Those in one zone.
    Zone,
    /// Those of one cell (see [`EndpointEntry::cell`]).
    Cell,
}

impl Effect {
    /// Whether a request may be answered as rejected, which promises that another try does no harm. `may_have_run`: a
    /// replica may have run it, or may yet.
    pub fn may_reject(self, may_have_run: bool) -> bool {
        match self {
            Effect::Idempotent | Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, .. } => {
                true
            }
            Effect::IdempotentByKey { .. } | Effect::NotIdempotent => !may_have_run,
        }
    }

    /// Whether a further attempt may be sent at `now` after one that may have run, sent at `sent`; to a replica of the same
    /// scope where there are scopes. Time for the write is left: the window counts until the last byte has arrived.
    pub fn may_resend(self, now: Nanos, sent: Nanos) -> bool {
        match self {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { window, .. } => {
                now.saturating_add(MAX_WRITE_TIME) < sent.saturating_add(window)
            }
            Effect::NotIdempotent => false,
        }
    }

    /// Whether two replicas drop each other's repeats, as far as that depends on where they are.
    pub fn share_deduplication(self, one: &EndpointEntry, other: &EndpointEntry) -> bool {
        match self {
            Effect::IdempotentByKey { scope: DeduplicationScope::Zone, .. } => one.zone == other.zone,
            Effect::IdempotentByKey { scope: DeduplicationScope::Cell, .. } => one.cell == other.cell,
            _ => true,
        }
    }
}
