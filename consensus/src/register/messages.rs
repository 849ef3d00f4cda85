//! The messages between proposers and acceptors, in their JSON form on the wire.
//!
//! Names in `serde` attributes are those of the wire and must not change: routers of several versions take part in one
//! fleet.

use serde::{Deserialize, Serialize, Serializer};
use tallypin_membership::Incarnation;

use super::Ballot;
use crate::json_array::json_array;

/// An acceptor's position in the council, from 0.
pub type MemberIndex = u8;

/// Maximum number of members of a council.
pub const MAX_MEMBERS: usize = 7;

/// A member of the council in one of its incarnations. On the wire, a JSON array of its two fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(MemberIndex, Incarnation)", into = "(MemberIndex, Incarnation)")]
pub struct CouncilMember {
    /// The member's position in the council.
    pub member: MemberIndex,
    /// The member's incarnation.
    pub incarnation: Incarnation,
}

json_array!(CouncilMember { member: MemberIndex, incarnation: Incarnation });

/// The content of the register: the agreed state, and the incarnations of the acceptors whose replies count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue<D> {
    /// The incarnation in which each member takes part, by [`MemberIndex`].
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
    /// The state that the routers agree on.
    #[serde(rename = "document")]
    pub state: D,
}

/// A value with the ballot under which it was proposed. On the wire, a JSON array of its two fields.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize)]
#[serde(from = "(Ballot, RegisterValue<D>)")]
pub struct Proposal<D> {
    /// The ballot of the round that proposed the value.
    pub ballot: Ballot,
    /// The proposed value.
    pub value: RegisterValue<D>,
}

impl<D> From<(Ballot, RegisterValue<D>)> for Proposal<D> {
    fn from((ballot, value): (Ballot, RegisterValue<D>)) -> Proposal<D> {
        Proposal { ballot, value }
    }
}

impl<D: Serialize> Serialize for Proposal<D> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.ballot, &self.value).serialize(serializer)
    }
}

/// A proposer's request to an acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AcceptorRequest<D> {
    /// Report the last accepted proposal; nothing is promised.
    #[serde(rename = "look")]
    Read,
    /// First phase: promise to accept nothing under a lower ballot, and report the last accepted proposal.
    Prepare(Ballot),
    /// Second phase: accept this proposal, unless a higher ballot has been promised.
    #[serde(rename = "take")]
    Accept(Proposal<D>),
    /// Accept the first value of a council that has lost its memory. Accepted only if nothing has been promised since
    /// the `Prepare` with the same ballot.
    #[serde(rename = "found")]
    Bootstrap(Proposal<D>),
}

/// An acceptor's reply.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AcceptorReply<D> {
    /// Reply to `Read`: the last accepted proposal.
    #[serde(rename = "has")]
    Current {
        /// The acceptor's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The proposal that the acceptor accepted last, if any.
        #[serde(rename = "taken")]
        accepted: Option<Proposal<D>>,
    },
    /// Reply to `Prepare`: the acceptor accepts nothing under a lower ballot from now on.
    Promised {
        /// The incarnation that promises. The promise is void for any other incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The proposal that the acceptor accepted last, if any.
        #[serde(rename = "taken")]
        accepted: Option<Proposal<D>>,
    },
    /// Reply to `Accept` or `Bootstrap`: the proposal is accepted.
    #[serde(rename = "taken")]
    Accepted {
        /// The incarnation that has accepted.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// The request is rejected, because the acceptor has promised this higher ballot.
    #[serde(rename = "newer")]
    Superseded(Ballot),
    /// The acceptor has restarted, has no memory and takes no part yet.
    #[serde(rename = "blank")]
    Uninitialized {
        /// The acceptor's incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// The state that an earlier incarnation stored on disk. It may be outdated, and is used only for a `Bootstrap`.
        #[serde(default = "none", skip_serializing_if = "Option::is_none")]
        stored: Option<D>,
    },
}

/// Default of an absent `stored`. `Option::default` would make the derived implementation require `D: Default`.
fn none<D>() -> Option<D> {
    None
}

/// One acceptor's report to a proposer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberReport<D> {
    /// The incarnation that reports.
    pub incarnation: Incarnation,
    /// The proposal that the acceptor accepted last; `None` if it has accepted none.
    pub accepted: Option<Proposal<D>>,
}

/// The reports of the members of the council, by [`MemberIndex`]; `None` for members that have not replied.
pub type MemberReports<D> = [Option<MemberReport<D>>];
