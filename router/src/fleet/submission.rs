//! Submission of this router's commands to the council, and reads of the chosen fleet state.

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
use super::wire::{CommandOutcome, RemainingUse, Request, Response};

/// Why a command was not applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The command was rejected when it was applied to the fleet state.
    #[error("{0}")]
    Rejected(#[from] Rejection),
    /// No majority of the council answered in time. The command may still take effect: a later round may complete an
    /// interrupted one.
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
    /// Connections for commands, by member; `None` for this router. Separate from the council's connections, as a command
    /// takes longer than other calls.
    connections: Vec<Option<CouncilConnection>>,
    /// Drained replicas and the routers that still use them, by replica id, as of the last read.
    remaining_uses: RefCell<BTreeMap<String, RemainingUse>>,
}

impl CommandSubmitter {
    /// Creates a submitter with its own connections.
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
            remaining_uses: RefCell::default(),
        }
    }

    /// Submits a command and returns the fleet state after it. All routers submit to the first member that replies, which
    /// proposes many commands in one round.
    ///
    /// # Errors
    ///
    /// The command was rejected, or no majority answered within the order timeout.
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

    /// Submits a command to one member after the other until one replies. Members that replied to their last call come
    /// first.
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
            return self.proposer.enqueue(self.local.identity(), command.clone()).await;
        };
        let call = self.local.next_call(Request::Submit(command.clone()), None);
        // Dropping either branch is safe: a started call continues in the task of its connection, and
        // `until_unreachable` only waits.
        tokio::select! {
            reply = connection.call(call) => match reply?.response {
                Response::Submitted(outcome) => outcome,
                _ => None,
            },
            // Missing replies to heartbeats show a stalled member sooner than the timeout of the command.
            () = self.until_unreachable(member) => None,
        }
    }

    /// Waits until a member is unreachable. The initial wait lets at least one more heartbeat to it complete or time out.
    async fn until_unreachable(&self, member: usize) {
        let interval = self.settings.heartbeat.interval;
        sleep(interval + self.settings.reply_timeout).await;
        while self.council.is_reachable(member) {
            sleep(interval).await;
        }
    }

    /// Reads the chosen fleet state; `None` if no majority reports the same accepted value. A proposal round can then
    /// determine it.
    pub async fn read(&self) -> Option<FleetState> {
        let mut reports = vec![None; self.council.size()];
        let mut remaining_uses = BTreeMap::new();
        let mut answers = self.council.send_to_all(&AcceptorRequest::Read);
        while let Some(CouncilAnswer { member, answer, .. }) = answers.recv().await {
            let Some(MemberAnswer {
                reply: AcceptorReply::Current { incarnation, accepted },
                remaining_uses: member_uses,
                ..
            }) = answer
            else {
                continue;
            };
            reports[usize::from(member)] = Some(MemberReport { incarnation, accepted });
            merge_remaining_uses(&mut remaining_uses, member_uses);
            if let Some(chosen) = chosen_value(&reports) {
                self.council.join(chosen.clone());
                self.remaining_uses.replace(remaining_uses);
                self.state.learn(&chosen.value.state);
                return Some(chosen.value.state);
            }
        }
        None
    }

    /// Reads the chosen fleet state within the order timeout; `None` also if it expires.
    pub async fn read_in_time(&self) -> Option<FleetState> {
        timeout(self.settings.order_timeout, self.read()).await.ok().flatten()
    }

    /// Returns the routers that still use a drained replica, as of the last read.
    pub fn remaining_use(&self, replica: &str) -> Option<RemainingUse> {
        self.remaining_uses.borrow().get(replica).cloned()
    }
}

/// Merges the remaining uses that one member reports, keeping the entry with the fewest routers per replica. A router that
/// one member knows to have stopped using a replica has stopped, even if another member has not received its report.
fn merge_remaining_uses(known: &mut BTreeMap<String, RemainingUse>, member_uses: Vec<RemainingUse>) {
    for new in member_uses {
        match known.get_mut(&new.replica) {
            Some(fewest) if fewest.router_count <= new.router_count => {}
            Some(fewest) => *fewest = new,
            None => drop(known.insert(new.replica.clone(), new)),
        }
    }
}
