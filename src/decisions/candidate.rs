//! The replicas that an attempt may go to, and the one that it goes to.

use crate::ready_replicas::MAX_PREFERRED_REPLICAS;

/// Replicas drawn at random of the own zone, and as many of all zones.
pub(super) const RANDOM_CANDIDATES: usize = 4;
/// The most warming replicas that are looked at.
pub(super) const MAX_WARMING_CANDIDATES: usize = 64;
/// The most candidates: the preferred replicas, the drawn, the warming, and where the session was last
/// answered.
pub(super) const MAX_CANDIDATES: usize =
    MAX_PREFERRED_REPLICAS + RANDOM_CANDIDATES * 2 + MAX_WARMING_CANDIDATES + 1;

/// A replica that an attempt may go to, and the prompt tokens that it would have to read when warm.
pub(super) struct Candidate {
    pub(super) slot: usize,
    pub(super) prefill_tokens: f64,
}

/// The replica that an attempt goes to.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub(super) slot: usize,
    /// Prompt tokens that it is expected to read.
    pub(super) prefill_tokens: f64,
    /// The first-token wait to expect by what was sampled of it, ns.
    pub(super) predicted_wait: f64,
}
