//! The acceptor: the part of the register that a member of the council keeps in memory.

use tallypin_membership::Incarnation;

use super::defect::{defect, Defect};
use super::{AcceptorReply, AcceptorRequest, Ballot, Proposal, RegisterValue};

/// One member's promise and last accepted proposal.
///
/// The state is volatile. A restarted acceptor takes no part until a round that was chosen without it names its new
/// incarnation ([`Acceptor::join`]), or until the whole council accepts a first value ([`AcceptorRequest::Bootstrap`]).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptor<D> {
    incarnation: Incarnation,
    joined: bool,
    promised: Ballot,
    accepted: Option<Proposal<D>>,
    /// The state that an earlier incarnation stored on disk. It is reported until this incarnation has joined, and never
    /// counts as accepted.
    stored: Option<D>,
    defect: Option<Defect>,
}

impl<D: Clone + PartialEq> Acceptor<D> {
    /// Creates an acceptor that has just started, with empty memory.
    pub fn new(incarnation: Incarnation) -> Acceptor<D> {
        Acceptor {
            incarnation,
            joined: false,
            promised: Ballot::default(),
            accepted: None,
            stored: None,
            defect: None,
        }
    }

    /// Sets the state that was found on disk, which the acceptor reports until it has joined.
    pub fn with_stored(self, stored: Option<D>) -> Acceptor<D> {
        Acceptor { stored, ..self }
    }

    /// Enables a deliberate defect.
    #[cfg(feature = "defects")]
    pub fn with_defect(self, defect: Option<Defect>) -> Acceptor<D> {
        let joined = self.joined || defect == Some(Defect::JoinsAtOnce);
        Acceptor { defect, joined, ..self }
    }

    /// Whether the acceptor takes part in rounds.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Returns the value accepted last. It can be newer or older than the chosen value, so it is only a hint to read.
    pub fn accepted(&self) -> Option<&RegisterValue<D>> {
        self.accepted.as_ref().map(|proposal| &proposal.value)
    }

    /// Handles one request.
    ///
    /// Requests may arrive late, repeatedly and in any order: the reply and the new state keep the promises given before.
    pub fn handle(&mut self, request: AcceptorRequest<D>) -> AcceptorReply<D> {
        match request {
            AcceptorRequest::Bootstrap(proposal) => self.bootstrap(proposal),
            AcceptorRequest::Prepare(ballot) if self.joined => self.prepare(ballot),
            AcceptorRequest::Prepare(ballot) => self.prepare_uninitialized(ballot),
            _ if !self.joined => self.uninitialized(None),
            AcceptorRequest::Read => {
                AcceptorReply::Current { incarnation: self.incarnation, accepted: self.accepted.clone() }
            }
            AcceptorRequest::Accept(proposal) => self.accept(proposal),
        }
    }

    /// Joins the council if this chosen proposal names this incarnation; otherwise nothing changes.
    ///
    /// The proposal must have been chosen by a majority that does not include this member.
    pub fn join(&mut self, chosen: Proposal<D>) {
        if !self.joined && chosen.value.incarnations.contains(&self.incarnation) {
            self.joined = true;
            self.promised = self.promised.max(chosen.ballot);
            self.accepted = Some(chosen);
        }
    }

    fn bootstrap(&mut self, proposal: Proposal<D>) -> AcceptorReply<D> {
        let ballot = proposal.ballot;
        // The value was computed from all members' replies to a `Prepare` with this ballot. A member that has promised
        // another ballot since, or has restarted, must not accept it.
        if ballot == self.promised && proposal.value.incarnations.contains(&self.incarnation) {
            (self.joined, self.accepted) = (true, Some(proposal));
        }
        match self.accepted.as_ref().is_some_and(|accepted| accepted.ballot == ballot) {
            true => AcceptorReply::Accepted { incarnation: self.incarnation },
            false => AcceptorReply::Superseded(self.promised),
        }
    }

    fn prepare(&mut self, ballot: Ballot) -> AcceptorReply<D> {
        if ballot < self.promised {
            return AcceptorReply::Superseded(self.promised);
        }
        if !defect!(self, ForgetsPromise) {
            self.promised = ballot;
        }
        AcceptorReply::Promised { incarnation: self.incarnation, accepted: self.accepted.clone() }
    }

    /// Handles a `Prepare` before the acceptor has joined: its promise counts only for `Bootstrap`.
    fn prepare_uninitialized(&mut self, ballot: Ballot) -> AcceptorReply<D> {
        if ballot < self.promised {
            return AcceptorReply::Superseded(self.promised);
        }
        self.promised = ballot;
        self.uninitialized(self.stored.clone())
    }

    fn uninitialized(&self, stored: Option<D>) -> AcceptorReply<D> {
        AcceptorReply::Uninitialized { incarnation: self.incarnation, stored }
    }

    fn accept(&mut self, proposal: Proposal<D>) -> AcceptorReply<D> {
        if proposal.ballot < self.promised && !defect!(self, AcceptsOlder) {
            return AcceptorReply::Superseded(self.promised);
        }
        self.promised = self.promised.max(proposal.ballot);
        self.accepted = Some(proposal);
        AcceptorReply::Accepted { incarnation: self.incarnation }
    }
}
