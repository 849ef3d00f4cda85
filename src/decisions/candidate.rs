//! The replicas considered for an attempt, and the one selected.

use crate::ready_replicas::MAX_PREFERRED_REPLICAS;

/// Number of replicas sampled at random from the own zone, and again from all zones.
pub(super) const RANDOM_CANDIDATES: usize = 4;
/// Maximum number of warming replicas considered for an attempt.
pub(super) const MAX_WARMING_CANDIDATES: usize = 64;
/// Maximum number of candidates: preferred, random and warming replicas, and the one that last answered the
/// session.
pub(super) const MAX_CANDIDATES: usize =
    MAX_PREFERRED_REPLICAS + RANDOM_CANDIDATES * 2 + MAX_WARMING_CANDIDATES + 1;

/// A replica that an attempt may go to, with the prompt tokens that it would have to prefill when warm.
pub(super) struct Candidate {
    pub(super) slot: usize,
    pub(super) prefill_tokens: f64,
}

/// The replica selected for an attempt.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub(super) slot: usize,
    /// Expected number of prompt tokens to prefill.
    pub(super) prefill_tokens: f64,
    /// Predicted first-token wait by the replica's samples, ns.
    pub(super) predicted_wait: f64,
}
