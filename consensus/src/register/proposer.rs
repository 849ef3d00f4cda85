//! The proposer: one round that reads the register, changes the value and gets the change accepted.

use tallypin_membership::Incarnation;

use super::defect::{defect, Defect};
use super::{
    AcceptorReply, AcceptorRequest, Ballot, CouncilMember, MemberIndex, MemberReport, Proposal, RegisterValue,
};

/// The next step of a round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoundStep<D> {
    /// The caller waits for more replies.
    Wait,
    /// The first phase is over: the caller changes this state and passes it to [`Proposer::propose`].
    Propose(D),
    /// The round is over: this value has been chosen.
    Chosen(RegisterValue<D>),
    /// The round is over: a higher ballot was promised. Its value may still be chosen by a later round that builds on it.
    Superseded(Ballot),
}

/// One proposal round before all acceptors of a council.
///
/// The caller sends [`Proposer::request`] to each member and hands each reply to [`Proposer::handle_reply`]. After
/// [`RoundStep::Propose`] it calls [`Proposer::propose`], and sends the next request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer<D> {
    ballot: Ballot,
    members: usize,
    /// Restarted members that join with this round. Their replies do not count in it.
    joining: Vec<CouncilMember>,
    /// The replies to the current request, by member.
    reports: Vec<Option<MemberReport<D>>>,
    /// The proposed value, once the first phase is over.
    proposed: Option<RegisterValue<D>>,
    /// Number of replies counted twice because of the defect `CountsDuplicates`.
    duplicates: usize,
    defect: Option<Defect>,
}

impl<D: Clone + PartialEq> Proposer<D> {
    /// Creates a round with this ballot for a council of this number of members.
    pub fn new(ballot: Ballot, members: usize) -> Proposer<D> {
        Proposer {
            ballot,
            members,
            joining: vec![],
            reports: vec![None; members],
            proposed: None,
            duplicates: 0,
            defect: None,
        }
    }

    /// Creates a round in which the restarted members `joining` join in their new incarnations.
    pub fn with_joining_members(ballot: Ballot, members: usize, joining: Vec<CouncilMember>) -> Proposer<D> {
        Proposer { joining, ..Proposer::new(ballot, members) }
    }

    /// Enables a deliberate defect.
    #[cfg(feature = "defects")]
    pub fn with_defect(self, defect: Option<Defect>) -> Proposer<D> {
        Proposer { defect, ..self }
    }

    /// Returns the ballot of the round.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the request to send to all members in the current phase.
    pub fn request(&self) -> AcceptorRequest<D> {
        match &self.proposed {
            None => AcceptorRequest::Prepare(self.ballot),
            Some(value) => AcceptorRequest::Accept(Proposal { ballot: self.ballot, value: value.clone() }),
        }
    }

    /// Handles a member's reply to `request`.
    ///
    /// Replies to an earlier request of this round, duplicates and replies from outside the council have no effect.
    pub fn handle_reply(
        &mut self,
        from: MemberIndex,
        request: &AcceptorRequest<D>,
        reply: AcceptorReply<D>,
    ) -> RoundStep<D> {
        let from = usize::from(from);
        if from >= self.members {
            return RoundStep::Wait;
        }
        match (request, reply) {
            (_, AcceptorReply::Superseded(seen)) if seen > self.ballot => RoundStep::Superseded(seen),
            (AcceptorRequest::Prepare(ballot), AcceptorReply::Promised { incarnation, accepted })
                if *ballot == self.ballot && self.proposed.is_none() =>
            {
                self.record(from, MemberReport { incarnation, accepted });
                self.after_promise()
            }
            (AcceptorRequest::Accept(proposal), AcceptorReply::Accepted { incarnation })
                if proposal.ballot == self.ballot && self.proposed.as_ref() == Some(&proposal.value) =>
            {
                self.record(from, MemberReport { incarnation, accepted: None });
                self.after_acceptance()
            }
            _ => RoundStep::Wait,
        }
    }

    /// Begins the second phase with this changed state, after [`RoundStep::Propose`]. An earlier call has no effect.
    pub fn propose(&mut self, state: D) {
        let Some(newest) = self.newest_proposal() else { return };
        let mut incarnations = newest.value.incarnations.clone();
        for joining in &self.joining {
            if let Some(current) = incarnations.get_mut(usize::from(joining.member)) {
                // A request to join that arrives late must not replace a later incarnation.
                *current = (*current).max(joining.incarnation);
            }
        }
        self.proposed = Some(RegisterValue { incarnations, state });
        self.reports = vec![None; self.members];
        self.duplicates = 0;
    }

    fn record(&mut self, from: usize, report: MemberReport<D>) {
        let duplicate = self.reports[from].is_some() && defect!(self, CountsDuplicates);
        self.duplicates += usize::from(duplicate);
        self.reports[from] = Some(report);
    }

    fn after_promise(&self) -> RoundStep<D> {
        match self.newest_proposal() {
            Some(newest) if self.has_majority(&newest.value.incarnations) => {
                RoundStep::Propose(newest.value.state.clone())
            }
            _ => RoundStep::Wait,
        }
    }

    fn after_acceptance(&self) -> RoundStep<D> {
        match &self.proposed {
            Some(value) if self.has_majority(&value.incarnations) => RoundStep::Chosen(value.clone()),
            _ => RoundStep::Wait,
        }
    }

    /// Returns the newest proposal that any member has reported, even a member whose incarnation does not count towards a
    /// majority (see `has_majority`): every reported proposal was accepted by an acceptor.
    fn newest_proposal(&self) -> Option<&Proposal<D>> {
        let accepted = self.reports.iter().flatten().filter_map(|report| report.accepted.as_ref());
        match defect!(self, BuildsOnOldest) {
            true => accepted.min_by_key(|proposal| proposal.ballot),
            false => accepted.max_by_key(|proposal| proposal.ballot),
        }
    }

    /// Whether a majority has replied in the incarnations that count. A member may have lost the promises that it gave in
    /// another incarnation.
    fn has_majority(&self, incarnations: &[Incarnation]) -> bool {
        let counts = |(member, report): &(usize, &Option<MemberReport<D>>)| {
            report.as_ref().is_some_and(|report| {
                incarnations.get(*member) == Some(&report.incarnation)
                    || defect!(self, AnyIncarnation)
                    || defect!(self, JoinsAtOnce)
            })
        };
        let replies = self.reports.iter().enumerate().filter(counts).count() + self.duplicates;
        replies * 2 > self.members || (defect!(self, OneShortOfMajority) && (replies + 1) * 2 > self.members)
    }
}
