//! Effect of repeating a request. It determines when a request may be rejected and when a further attempt may be sent.

use crate::api::endpoint::EndpointEntry;
use crate::api::ids::{Nanos, SECOND};

/// Maximum time from the decision to send a further attempt to the arrival of its last byte; the router may be delayed
/// in between.
const MAX_WRITE_TIME: Nanos = 3 * SECOND / 20;

/// Effect of repeating a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Repeating the request does no harm: it may be repeated and rejected freely.
    Idempotent,
    /// Repeats are dropped within `scope`, for `window` from the send of the first attempt that may have run.
    IdempotentByKey {
        /// The replicas that recognise repeats of each other's requests.
        scope: DeduplicationScope,
        /// Time for which these replicas recognise repeats of a request.
        window: Nanos,
    },
    /// The effect would happen again: the request is repeated or rejected only if no attempt can have run.
    NotIdempotent,
}

/// The replicas among which an [`Effect::IdempotentByKey`] request takes effect only once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All replicas.
    AllReplicas,
    /// Replicas in the same zone.
    Zone,
    /// Replicas in the same cell (see [`EndpointEntry::cell`]).
    Cell,
}

impl Effect {
    /// Returns whether a request may be rejected, which promises that a retry by the client is safe. `may_have_run`
    /// says whether a replica may have run it or may still run it.
    pub fn may_reject(self, may_have_run: bool) -> bool {
        match self {
            Effect::Idempotent | Effect::IdempotentByKey { scope: DeduplicationScope::AllReplicas, .. } => {
                true
            }
            Effect::IdempotentByKey { .. } | Effect::NotIdempotent => !may_have_run,
        }
    }

    /// Returns whether a further attempt may be sent at `now` after one that was sent at `sent` and may have run. The
    /// caller also checks [`Effect::same_deduplication_scope`]. The window counts until the last byte has arrived, so
    /// time for the write is reserved.
    pub fn may_resend(self, now: Nanos, sent: Nanos) -> bool {
        match self {
            Effect::Idempotent => true,
            Effect::IdempotentByKey { window, .. } => {
                now.saturating_add(MAX_WRITE_TIME) < sent.saturating_add(window)
            }
            Effect::NotIdempotent => false,
        }
    }

    /// Returns whether two replicas are in the same deduplication scope.
    pub fn same_deduplication_scope(self, one: &EndpointEntry, other: &EndpointEntry) -> bool {
        match self {
            Effect::IdempotentByKey { scope: DeduplicationScope::Zone, .. } => one.zone == other.zone,
            Effect::IdempotentByKey { scope: DeduplicationScope::Cell, .. } => one.cell == other.cell,
            _ => true,
        }
    }
}
