//! The number of a round.

use serde::{Deserialize, Serialize};
use tallypin_membership::{Incarnation, RouterIndex};

/// The number of one proposal round, as Paxos uses it.
///
/// Ballots are totally ordered, by `number` first. No two rounds share one: a router raises `number` with each of its
/// rounds within an incarnation, and its index and incarnation break ties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than the number of every ballot that the proposer had seen when it began the round.
    pub number: u64,
    /// The router that proposes.
    #[serde(rename = "by")]
    pub proposer: RouterIndex,
    /// The proposer's incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

impl Ballot {
    /// Returns the same proposer's next ballot, higher than both this one and `seen`.
    ///
    /// The number saturates at `u64::MAX`. From there on rounds can't be distinguished, and nothing more is chosen.
    pub fn above(self, seen: Ballot) -> Ballot {
        Ballot { number: self.number.max(seen.number).saturating_add(1), ..self }
    }
}
