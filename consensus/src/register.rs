//! A register that a majority of a council agrees on, changed by compare-and-set: CASPaxos with volatile acceptors.
//!
//! A change is one round of a [`Proposer`]. In the first phase, a majority of the [`Acceptor`]s promises to accept nothing
//! under a lower [`Ballot`] and reports the proposals that it accepted last. The proposer changes the newest of these
//! values. In the second phase, a majority accepts the result, which is thereby chosen.
//!
//! Acceptors keep their state in memory and lose it when they restart. The value therefore contains the incarnation of
//! each member that counts ([`RegisterValue::incarnations`]). A promise counts only if it was given by the incarnation that
//! the newest seen value names: promises of earlier incarnations are void. A restarted member takes part again once a round
//! that was accepted by a majority *without it* names its new incarnation.
//!
//! The very first value must be accepted by all members, each of them uninitialized ([`bootstrap_value`]).
//!
//! Invariant, checked by the model in `tests/model.rs` and on a simulated network in `tests/net`: of any two chosen
//! values, one was built on the other.

mod acceptor;
mod ballot;
mod defect;
mod lookup;
mod messages;
mod proposer;

pub use acceptor::Acceptor;
pub use ballot::Ballot;
#[cfg(feature = "defects")]
pub use defect::Defect;
pub use lookup::{bootstrap_value, chosen_value};
pub use messages::{
    AcceptorReply, AcceptorRequest, CouncilMember, MemberIndex, MemberReport, MemberReports, Proposal,
    RegisterValue, MAX_MEMBERS,
};
pub use proposer::{Proposer, RoundStep};

#[cfg(test)]
mod tests;
