//! Joining of a council member after its start. Normally the other members agree on its new incarnation. If too few
//! members have a value to form a majority, all of them bootstrap from the newest state that one of them has stored.

use std::rc::Rc;

use tallypin_consensus::fleet_state::{Command, FleetState};
use tallypin_consensus::register::{
    bootstrap_value, AcceptorReply, AcceptorRequest, Ballot, CouncilMember, MemberIndex, MemberReport,
    Proposal,
};
use tokio::time::{sleep, timeout};

use super::council::{Council, CouncilAnswer, MemberAnswer};
use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::proposer::CommandProposer;
use super::settings::FleetSettings;
use super::submission::CommandSubmitter;

/// Task that joins this member to the council.
pub struct CouncilJoin {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// The council to join.
    pub council: Rc<Council>,
    /// Supplies the ballots of bootstrap rounds.
    pub proposer: Rc<CommandProposer>,
    /// Submits the command that admits the new incarnation.
    pub submitter: Rc<CommandSubmitter>,
    /// Receives the bootstrapped state.
    pub state: Rc<KnownState>,
}

/// Replies of the members to the prepare request of a bootstrap round.
struct PrepareReplies {
    /// Report of each member, by member index; `None` for a member that did not reply.
    reports: Vec<Option<MemberReport<FleetState>>>,
    /// States that members without an accepted value have stored on disk.
    stored: Vec<FleetState>,
}

impl CouncilJoin {
    /// Retries until this member has joined the council.
    pub async fn run(self) {
        let interval = self.settings.heartbeat.interval;
        let own = self.settings.own_member_index().unwrap_or(0);
        let member = CouncilMember { member: own as MemberIndex, incarnation: self.local.incarnation() };
        while self.council.is_joining() {
            // Submitted to the member that proposes for all routers: rounds of a second proposer would be superseded
            // by its rounds repeatedly.
            match self.submitter.submit(&Command::JoinCouncil(member)).await {
                Ok(_) => drop(self.submitter.read_in_time().await),
                Err(_) => drop(timeout(self.settings.order_timeout, self.bootstrap()).await),
            }
            if !self.council.is_joining() {
                break;
            }
            sleep(self.local.jittered(interval)).await;
        }
        tracing::info!(target: "fleet", "router joined the council");
    }

    /// Makes all members accept an initial state if too few of them have a value to form a majority. Any member without a
    /// value may do this. If two do it at the same time, one fails: its prepare is no longer the last one that all members
    /// have answered.
    async fn bootstrap(&self) {
        let ballot = self.proposer.next_ballot();
        let PrepareReplies { reports, stored } = self.prepare_all(ballot).await;
        let newest = |accepted: Option<&FleetState>| {
            FleetState::bootstrap(accepted.into_iter().chain(&stored).max_by_key(|state| state.version))
        };
        let Some(value) = bootstrap_value(&reports, newest) else { return };
        let state = value.state.clone();
        let mut answers = self.council.send_to_all(&AcceptorRequest::Bootstrap(Proposal { ballot, value }));
        let mut accepted = 0;
        while let Some(CouncilAnswer { answer, .. }) = answers.recv().await {
            let reply = answer.map(|answer| answer.reply);
            accepted += usize::from(matches!(reply, Some(AcceptorReply::Accepted { .. })));
        }
        tracing::debug!(target: "fleet", accepted, version = state.version, "first fleet state proposed");
        if accepted == self.council.size() {
            let reason = state.halted.as_deref();
            tracing::warn!(target: "fleet", reason, "fleet state bootstrapped: halted until `resume`");
            self.state.learn(&state);
        }
    }

    async fn prepare_all(&self, ballot: Ballot) -> PrepareReplies {
        let mut replies = PrepareReplies { reports: vec![None; self.council.size()], stored: vec![] };
        let mut answers = self.council.send_to_all(&AcceptorRequest::Prepare(ballot));
        while let Some(CouncilAnswer { member, answer, .. }) = answers.recv().await {
            let Some(MemberAnswer { reply, .. }) = answer else { continue };
            let report = match reply {
                AcceptorReply::Uninitialized { incarnation, stored } => {
                    replies.stored.extend(stored);
                    Some(MemberReport { incarnation, accepted: None })
                }
                AcceptorReply::Promised { incarnation, accepted } => {
                    Some(MemberReport { incarnation, accepted })
                }
                AcceptorReply::Superseded(higher) => {
                    self.proposer.observe_ballot(higher);
                    None
                }
                _ => None,
            };
            replies.reports[usize::from(member)] = report;
        }
        replies
    }
}
