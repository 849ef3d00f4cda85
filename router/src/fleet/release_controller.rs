//! What members of the council submit on behalf of all: the next wave of a release or its end, replicas that are to leave
//! service or whose time has come.
//!
//! Each member could. They take turns, so that one submits first, and the others after it if it does not.

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

/// Heartbeat intervals between the turns of two members: enough for the first one's command to be agreed on.
const TURN_HEARTBEATS: u64 = 4;

/// What a command is about: of two about the same only one is due at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    WaveCompleted,
    WaveFailed,
    Replica(String),
}

struct DueCommand {
    subject: Subject,
    command: Command,
}

/// Submits what is due for all.
pub struct ReleaseController {
    settings: Rc<FleetSettings>,
    local: Rc<LocalRouter>,
    peers: Rc<PeerTable>,
    state: Rc<KnownState>,
    submitter: Rc<CommandSubmitter>,
    monitor: ReleaseMonitor,
    /// When it is this member's turn to submit what is due.
    turns: BTreeMap<Subject, Nanos>,
}

impl ReleaseController {
    /// One that watches from now on.
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

    /// Looks at each heartbeat interval. Never returns.
    pub async fn run(mut self) {
        loop {
            sleep(self.settings.heartbeat.interval).await;
            let due = self.due_commands();
            self.turns.retain(|subject, _| due.iter().any(|d| d.subject == *subject));
            for DueCommand { subject, command } in due {
                if !self.is_own_turn(subject) {
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

    /// Whether it is this member's turn; if so, the next one is after all the others'.
    fn is_own_turn(&mut self, subject: Subject) -> bool {
        let turn = TURN_HEARTBEATS * self.settings.heartbeat.interval.as_nanos() as Nanos;
        let own = self.settings.own_member_index().unwrap_or(0) as u64;
        let now = self.local.now();
        let next = self.turns.entry(subject).or_insert(now + own * turn);
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
        let of_release = command.map(|command| {
            let subject = match command {
                Command::FailWave(_) => Subject::WaveFailed,
                _ => Subject::WaveCompleted,
            };
            DueCommand { subject, command }
        });
        of_release.into_iter().chain(due_replicas(&state)).collect()
    }
}

fn due_replicas(state: &FleetState) -> Vec<DueCommand> {
    let now = unix_ms();
    let due = state.replicas.iter().filter(|(_, entry)| {
        let time_is_over = entry.until.is_some_and(|until| now >= until);
        match entry.stage {
            ReplicaStage::Requested => state.halted.is_none() || time_is_over,
            ReplicaStage::OutOfService(_) => time_is_over,
            ReplicaStage::Restored(_) => false,
        }
    });
    due.map(|(id, _)| DueCommand {
        subject: Subject::Replica(id.clone()),
        command: Command::AdvanceReplica(id.clone()),
    })
    .collect()
}
