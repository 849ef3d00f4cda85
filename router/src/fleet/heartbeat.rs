//! Heartbeats to all council members, each with a report on this router's answers, applied state and running artifact.

use std::rc::Rc;

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::replica_drains::{AppliedState, ReplicaStage};
use tallypin_membership::AdvertisedStatus;
use tokio::time::{interval, MissedTickBehavior};

use super::artifacts::Artifacts;
use super::control::RouterControl;
use super::council::Council;
use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::peer_table::PeerTable;
use super::settings::FleetSettings;
use super::tasks::TaskGroup;
use super::wire::{HeartbeatReport, Request, Response};

/// Task that sends this router's heartbeats and reports.
pub struct HeartbeatSender {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// Source of the advertised status and the answer counts.
    pub control: Rc<dyn RouterControl>,
    /// Source of the running digest.
    pub artifacts: Rc<Artifacts>,
    /// The council that receives the heartbeats.
    pub council: Rc<Council>,
    /// Records this router's own heartbeat if it is a member.
    pub peers: Rc<PeerTable>,
    /// Receives the state versions that members return.
    pub state: Rc<KnownState>,
    /// Owns the tasks of the calls.
    pub tasks: Rc<TaskGroup>,
}

impl HeartbeatSender {
    /// Sends a heartbeat to each member per heartbeat interval. Never returns.
    pub async fn run(self) {
        let sender = Rc::new(self);
        let mut ticks = interval(sender.settings.heartbeat.interval);
        // After a pause of the process, sends one heartbeat instead of all missed ones.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            sender.peers.observe_clock(sender.local.now());
            let status = sender.status();
            for member in 0..sender.council.size() {
                let task_sender = sender.clone();
                sender.tasks.spawn(async move {
                    let version = task_sender.send(member, status).await;
                    task_sender.state.observe_version(version);
                });
            }
        }
    }

    /// Returns the status to advertise. A member that has restarted advertises `Starting` until it has joined: otherwise
    /// the next member could restart too early, and the council would lose its majority.
    fn status(&self) -> AdvertisedStatus {
        match self.council.is_joining() {
            true => AdvertisedStatus::Starting,
            false => self.control.advertised_status(),
        }
    }

    /// Sends a heartbeat and returns the state version that the member has accepted; `None` if it has accepted none or did
    /// not reply.
    async fn send(&self, member: usize, status: AdvertisedStatus) -> Option<u64> {
        let report = self.build_report();
        let Some(connection) = self.council.connection(member) else {
            let (now, index) = (self.local.now(), self.local.index());
            self.peers.record_heartbeat(now, index, self.local.incarnation(), status, report);
            return self.council.accepted_version();
        };
        let call = self.local.next_call(Request::Heartbeat(status), Some(report));
        match connection.call(call).await?.response {
            Response::HeartbeatReceived(version) => version,
            _ => None,
        }
    }

    fn build_report(&self) -> HeartbeatReport {
        self.state.with(|state| HeartbeatReport {
            counts: self.control.answer_counts(),
            applied: state.map(|state| self.applied_state(state)).unwrap_or_default(),
            running_digest: state
                .and_then(|state| state.release.as_ref())
                .and_then(|release| self.artifacts.running_digest(&release.artifact))
                .map(str::to_string),
        })
    }

    fn applied_state(&self, state: &FleetState) -> AppliedState {
        let drained = state.replicas.iter().filter(|(_, r)| matches!(r.stage, ReplicaStage::OutOfService(_)));
        let in_flight = drained.map(|(id, _)| id.clone()).filter(|id| self.control.has_in_flight(id));
        AppliedState { version: state.version, in_flight: in_flight.collect() }
    }
}
