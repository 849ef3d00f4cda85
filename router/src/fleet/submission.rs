//! How this router has commands agreed on, and reads what is agreed on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use tallypin_consensus::fleet_state::{Command, FleetState, Rejection};
use tallypin_consensus::register::{chosen_value, AcceptorReply, AcceptorRequest, MemberReport};
use tokio::time::{sleep, timeout, timeout_at};

use super::connection::CouncilConnection;
use super::council::{Council, CouncilAnswer, MemberAnswer};
use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::proposer::CommandProposer;
use super::settings::FleetSettings;
use super::wire::{CommandOutcome, NotClearReplica, Request, Response};

/// Why a command was not applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// It was decided that it is not.
    #[error("{0}")]
    Rejected(#[from] Rejection),
    /// No majority of the council answered in time. Whether it was agreed on is not known: a round that was cut off may be
    /// completed by the next one.
    #[error("no majority of the council answered in time")]
    NoMajority,
}

/// Submits commands to the council.
pub struct CommandSubmitter {
    settings: Rc<FleetSettings>,
    local: Rc<LocalRouter>,
    council: Rc<Council>,
    proposer: Rc<CommandProposer>,
    state: Rc<KnownState>,
    /// By member, `None` for this router. Apart from the council's: a command takes longer than other calls.
    connections: Vec<Option<CouncilConnection>>,
    /// By the last read: the drained replicas and who still uses them.
    not_clear: RefCell<BTreeMap<String, NotClearReplica>>,
}

impl CommandSubmitter {
    /// With connections of its own.
    pub fn new(
        settings: Rc<FleetSettings>,
        local: Rc<LocalRouter>,
        council: Rc<Council>,
        proposer: Rc<CommandProposer>,
        state: Rc<KnownState>,
        connections: Vec<Option<CouncilConnection>>,
    ) -> CommandSubmitter {
        CommandSubmitter {
            settings,
            local,
            council,
            proposer,
            state,
            connections,
            not_clear: RefCell::default(),
        }
    }

    /// Has a command agreed on; the fleet state with it. All routers send to the first member that answers, which
    /// proposes many commands in one round.
    ///
    /// # Errors
    ///
    /// It was rejected, or no majority answered within the time of an order.
    pub async fn submit(&self, command: &Command) -> Result<FleetState, SubmitError> {
        let deadline = (Instant::now() + self.settings.order_timeout).into();
        if *command == Command::Read {
            if let Ok(Some(state)) = timeout_at(deadline, self.read()).await {
                return Ok(state);
            }
        }
        match timeout_at(deadline, self.submit_to_any(command)).await {
            Ok(Some(Ok(state))) => {
                self.state.learn(&state);
                Ok(state)
            }
            Ok(Some(Err(rejection))) => Err(SubmitError::Rejected(rejection)),
            Ok(None) | Err(_) => Err(SubmitError::NoMajority),
        }
    }

    /// Members that answered last come first.
    async fn submit_to_any(&self, command: &Command) -> Option<CommandOutcome> {
        let (reachable, others): (Vec<usize>, Vec<usize>) =
            (0..self.council.size()).partition(|&member| self.council.is_reachable(member));
        for member in reachable.into_iter().chain(others) {
            let outcome = self.submit_to(member, command).await;
            if outcome.is_some() {
                return outcome;
            }
        }
        None
    }

    async fn submit_to(&self, member: usize, command: &Command) -> Option<CommandOutcome> {
        let Some(connection) = &self.connections[member] else {
            return self.proposer.enqueue(command.clone()).await;
        };
        let call = self.local.next_call(Request::Submit(command.clone()), None);
        // Either branch may be dropped: a call goes on in its connection, and the other one only waits.
        tokio::select! {
            reply = connection.call(call) => match reply?.response {
                Response::Submitted(outcome) => outcome,
                _ => None,
            },
            // Its replies to heartbeats show sooner that it is stalled.
            () = self.until_unreachable(member) => None,
        }
    }

    /// Waits until a member is seen not to answer, and has been called at least once more by then.
    async fn until_unreachable(&self, member: usize) {
        let interval = self.settings.heartbeat.interval;
        sleep(interval + self.settings.reply_timeout).await;
        while self.council.is_reachable(member) {
            sleep(interval).await;
        }
    }

    /// What is agreed on, if a majority has accepted the same; `None`: a round can tell.
    pub async fn read(&self) -> Option<FleetState> {
        let mut reports = vec![None; self.council.size()];
        let mut not_clear = BTreeMap::new();
        let mut answers = self.council.ask_all(&AcceptorRequest::Read);
        while let Some(CouncilAnswer { member, answer, .. }) = answers.recv().await {
            let Some(MemberAnswer {
                reply: AcceptorReply::Current { incarnation, accepted },
                not_clear: of_member,
                ..
            }) = answer
            else {
                continue;
            };
            reports[usize::from(member)] = Some(MemberReport { incarnation, accepted });
            keep_least(&mut not_clear, of_member);
            if let Some(chosen) = chosen_value(&reports) {
                self.council.join(chosen.clone());
                self.not_clear.replace(not_clear);
                self.state.learn(&chosen.value.state);
                return Some(chosen.value.state);
            }
        }
        None
    }

    /// The same within the time of an order.
    pub async fn read_in_time(&self) -> Option<FleetState> {
        timeout(self.settings.order_timeout, self.read()).await.ok().flatten()
    }

    /// What the last read has shown of a drained replica.
    pub fn not_clear(&self, replica: &str) -> Option<NotClearReplica> {
        self.not_clear.borrow().get(replica).cloned()
    }
}

/// What one member has heard a router report is so, though another has not heard it: the least counts.
fn keep_least(known: &mut BTreeMap<String, NotClearReplica>, more: Vec<NotClearReplica>) {
    for new in more {
        match known.get_mut(&new.replica) {
            Some(least) if least.router_count <= new.router_count => {}
            Some(least) => *least = new,
            None => drop(known.insert(new.replica.clone(), new)),
        }
    }
}
