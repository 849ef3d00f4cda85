//! How a member of the council takes part after its start: the others agree on its incarnation, or, where too few
//! remember anything, all begin anew on the newest state that one of them has stored.

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

/// Has this member take part in the council.
pub struct CouncilJoin {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// The council that it joins.
    pub council: Rc<Council>,
    /// Numbers the ballots.
    pub proposer: Rc<CommandProposer>,
    /// Has the new incarnation agreed on.
    pub submitter: Rc<CommandSubmitter>,
    /// Takes a first state.
    pub state: Rc<KnownState>,
}

/// What the members answered to a prepare, for a first value.
struct Survey {
    /// By member; `None`: it did not answer.
    reports: Vec<Option<MemberReport<FleetState>>>,
    /// What those without a value have on their disks.
    stored: Vec<FleetState>,
}

impl CouncilJoin {
    /// Tries again and again until this member takes part.
    pub async fn run(self) {
        let interval = self.settings.heartbeat.interval;
        let own = self.settings.own_member_index().unwrap_or(0);
        let member = CouncilMember { member: own as MemberIndex, incarnation: self.local.incarnation() };
        while self.council.is_joining() {
            // By whoever proposes for all: a round of its own would be overtaken by theirs, again and again.
            match self.submitter.submit(&Command::JoinCouncil(member)).await {
                Ok(_) => drop(self.submitter.read_in_time().await),
                Err(_) => drop(timeout(self.settings.order_timeout, self.bootstrap()).await),
            }
            if !self.council.is_joining() {
                break;
            }
            sleep(self.local.jittered(interval)).await;
        }
        tracing::info!(target: "fleet", "joined the council");
    }

    /// Has all members accept a first state, if too few remember to agree on anything. Any member without a value may: of
    /// two at once one fails, as its prepare is no longer the last that all have answered.
    async fn bootstrap(&self) {
        let ballot = self.proposer.next_ballot();
        let Survey { reports, stored } = self.survey(ballot).await;
        let newest = |held: Option<&FleetState>| {
            FleetState::bootstrap(held.into_iter().chain(&stored).max_by_key(|state| state.version))
        };
        let Some(value) = bootstrap_value(&reports, newest) else { return };
        let state = value.state.clone();
        let mut answers = self.council.ask_all(&AcceptorRequest::Bootstrap(Proposal { ballot, value }));
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

    async fn survey(&self, ballot: Ballot) -> Survey {
        let mut survey = Survey { reports: vec![None; self.council.size()], stored: vec![] };
        let mut answers = self.council.ask_all(&AcceptorRequest::Prepare(ballot));
        while let Some(CouncilAnswer { member, answer, .. }) = answers.recv().await {
            let Some(MemberAnswer { reply, .. }) = answer else { continue };
            let report = match reply {
                AcceptorReply::Uninitialized { incarnation, stored } => {
                    survey.stored.extend(stored);
                    Some(MemberReport { incarnation, accepted: None })
                }
                AcceptorReply::Promised { incarnation, accepted } => {
                    Some(MemberReport { incarnation, accepted })
                }
                AcceptorReply::Superseded(higher) => {
                    self.proposer.note_ballot(higher);
                    None
                }
                _ => None,
            };
            survey.reports[usize::from(member)] = report;
        }
        survey
    }
}
