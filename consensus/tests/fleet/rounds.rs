//! Register rounds that routers propose.

use tallypin_consensus::drain_lease::SubmitOutcome;
use tallypin_consensus::fleet_state::{Command, CouncilView, FleetState};
use tallypin_consensus::register::{
    AcceptorReply, AcceptorRequest, Ballot, CouncilMember, Proposal, Proposer, RegisterValue, RoundStep,
};
use tallypin_membership::{Nanos, RouterIndex};

use crate::events::Event;
use crate::router::Round;
use crate::world::{World, COUNCIL, S};

/// Time limit of a round.
const ROUND_TIMEOUT: Nanos = 2 * S;

impl World {
    pub fn begin_round(&mut self, r: usize, command: Command) {
        let now = self.now;
        let router = &mut self.routers[r];
        let incarnation = router.incarnation;
        let ballot = Ballot { number: 0, proposer: r as u16, incarnation }.above(router.highest_ballot);
        router.highest_ballot = ballot;
        let needs_to_join = router.acceptor.as_ref().is_some_and(|acceptor| !acceptor.joined());
        let joining = needs_to_join.then_some(CouncilMember { member: r as u8, incarnation });
        let proposer = Proposer::with_joining_members(ballot, COUNCIL, joining.into_iter().collect());
        let view = CouncilView { majority: COUNCIL / 2 + 1, ..CouncilView::default() };
        router.round = Some(Round { proposer, command, began_at: now, view });
        self.send_round(r);
        self.schedule(now + ROUND_TIMEOUT, Event::RoundTimeout { router: r, incarnation, ballot });
    }

    pub fn handle_reply(
        &mut self,
        r: usize,
        from: usize,
        request: &AcceptorRequest<FleetState>,
        reply: AcceptorReply<FleetState>,
        out_of_service: Option<Vec<RouterIndex>>,
    ) {
        let router = &mut self.routers[r];
        if let AcceptorReply::Superseded(seen) = &reply {
            router.highest_ballot = router.highest_ballot.max(*seen);
        }
        let Some(round) = &mut router.round else { return };
        if let (AcceptorReply::Promised { .. }, Some(out), AcceptorRequest::Prepare(ballot)) =
            (&reply, out_of_service, request)
        {
            if *ballot == round.proposer.ballot() {
                round.view.informed_members += 1;
                round.view.out_of_service.extend(out);
            }
        }
        match round.proposer.handle_reply(from as u8, request, reply) {
            RoundStep::Wait => {}
            RoundStep::Superseded(_) => self.end_round(r, false),
            RoundStep::Propose(state) => match state.apply(&round.command, &self.limits, &round.view) {
                Ok(state) => {
                    round.proposer.propose(state);
                    self.send_round(r);
                }
                Err(_) => self.end_round(r, false),
            },
            RoundStep::Chosen(value) => self.learn_chosen(r, value),
        }
    }

    fn learn_chosen(&mut self, r: usize, value: RegisterValue<FleetState>) {
        self.record_resume(&value.state);
        let router = &mut self.routers[r];
        if router.known.as_ref().is_none_or(|known| known.version < value.state.version) {
            router.known = Some(value.state.clone());
        }
        let ballot = router.round.as_ref().map(|round| round.proposer.ballot());
        if let (Some(acceptor), Some(ballot)) = (&mut router.acceptor, ballot) {
            acceptor.join(Proposal { ballot, value });
        }
        self.end_round(r, true);
    }

    pub fn end_round(&mut self, r: usize, applied: bool) {
        let now = self.now;
        let router = &mut self.routers[r];
        let Some(Round { command, began_at, .. }) = router.round.take() else { return };
        let outcome = if applied { SubmitOutcome::Applied } else { SubmitOutcome::NotApplied };
        router.lease.record_outcome(began_at, now, &command, outcome);
        if router.orders.first() == Some(&command) {
            if applied {
                router.orders.remove(0);
                if matches!(command, Command::Halt { .. }) {
                    self.record_halt(r, began_at);
                }
            } else if self.rng.bool() {
                self.routers[r].orders.remove(0);
            }
        }
        // A command that was not chosen is proposed again at the next heartbeat: rounds begun at once would overtake each other
        // for ever.
        if applied {
            self.act(r);
        }
    }
}
