//! Commands that council members submit on behalf of the fleet: the next wave of a release or its end, and replica drains
//! that are to begin or have expired.
//!
//! Every member evaluates which commands are due. Members take turns at submitting: if one member does not submit a due
//! command, the next one does.

use std::collections::BTreeMap;
use std::rc::Rc;

use tallypin_consensus::fleet_state::{Command, FleetState};
use tallypin_consensus::release_monitor::ReleaseMonitor;
use tallypin_consensus::replica_drains::ReplicaStage;
use tallypin_membership::Nanos;
use tokio::time::sleep;

use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::peer_table::PeerTable;
use super::settings::FleetSettings;
use super::submission::{CommandSubmitter, SubmitError};
use super::unix_ms;

/// Length of a member's turn, in heartbeat intervals: long enough for a submitted command to be chosen.
const HEARTBEATS_PER_TURN: u64 = 4;

/// What a due command affects. At most one command per target is due at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum CommandTarget {
    WaveCompleted,
    WaveFailed,
    Replica(String),
}

struct DueCommand {
    target: CommandTarget,
    command: Command,
}

/// Submits the due commands of the fleet.
pub struct ReleaseController {
    settings: Rc<FleetSettings>,
    local: Rc<LocalRouter>,
    peers: Rc<PeerTable>,
    state: Rc<KnownState>,
    submitter: Rc<CommandSubmitter>,
    monitor: ReleaseMonitor,
    /// Time at which this member's next turn begins, by target of the due command.
    turns: BTreeMap<CommandTarget, Nanos>,
}

impl ReleaseController {
    /// Creates the controller. It monitors releases from now on.
    pub fn new(
        settings: Rc<FleetSettings>,
        local: Rc<LocalRouter>,
        peers: Rc<PeerTable>,
        state: Rc<KnownState>,
        submitter: Rc<CommandSubmitter>,
    ) -> ReleaseController {
        let (monitor, turns) = (ReleaseMonitor::default(), BTreeMap::new());
        ReleaseController { settings, local, peers, state, submitter, monitor, turns }
    }

    /// Checks for due commands at each heartbeat interval. Never returns.
    pub async fn run(mut self) {
        loop {
            sleep(self.settings.heartbeat.interval).await;
            let due = self.due_commands();
            self.turns.retain(|target, _| due.iter().any(|d| d.target == *target));
            for DueCommand { target, command } in due {
                if !self.is_own_turn(target) {
                    continue;
                }
                match self.submitter.submit(&command).await {
                    Ok(_) => tracing::info!(target: "fleet", ?command, "command applied for the fleet"),
                    Err(SubmitError::Rejected(reason)) => {
                        tracing::debug!(target: "fleet", ?command, %reason, "command rejected");
                    }
                    Err(SubmitError::NoMajority) => break,
                }
            }
        }
    }

    /// Returns whether it is this member's turn to submit a command. If so, its next turn follows those of all other members.
    fn is_own_turn(&mut self, target: CommandTarget) -> bool {
        let turn = HEARTBEATS_PER_TURN * self.settings.heartbeat.interval.as_nanos() as Nanos;
        let own = self.settings.own_member_index().unwrap_or(0) as u64;
        let now = self.local.now();
        let next = self.turns.entry(target).or_insert(now + own * turn);
        if now < *next {
            return false;
        }
        *next = now + self.settings.council.len() as u64 * turn;
        true
    }

    fn due_commands(&mut self) -> Vec<DueCommand> {
        let Some(state) = self.state.current() else { return vec![] };
        let now = self.local.now();
        let Some(reports) = self.peers.release_reports(now) else { return vec![] };
        let command = self.monitor.next_command(now, &state, &self.settings.limits, &reports);
        let release_command = command.map(|command| {
            let target = match command {
                Command::FailWave(_) => CommandTarget::WaveFailed,
                _ => CommandTarget::WaveCompleted,
            };
            DueCommand { target, command }
        });
        release_command.into_iter().chain(due_replica_commands(&state)).collect()
    }
}

fn due_replica_commands(state: &FleetState) -> Vec<DueCommand> {
    let now_ms = unix_ms();
    let due = state.replicas.iter().filter(|(_, entry)| {
        let is_expired = entry.until.is_some_and(|until| now_ms >= until);
        match entry.stage {
            ReplicaStage::Requested => state.halted.is_none() || is_expired,
            ReplicaStage::OutOfService(_) => is_expired,
            ReplicaStage::Restored(_) => false,
        }
    });
    due.map(|(id, _)| DueCommand {
        target: CommandTarget::Replica(id.clone()),
        command: Command::AdvanceReplica(id.clone()),
    })
    .collect()
}
