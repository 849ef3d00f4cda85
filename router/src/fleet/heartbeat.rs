//! Heartbeats to all members of the council, each with a report of what this router does.

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

/// Sends this router's heartbeats and reports.
pub struct HeartbeatSender {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// Source of its status and counts.
    pub control: Rc<dyn RouterControl>,
    /// Source of the digest that it runs.
    pub artifacts: Rc<Artifacts>,
    /// Receives the heartbeats.
    pub council: Rc<Council>,
    /// Receives its own heartbeat, if it is a member.
    pub peers: Rc<PeerTable>,
    /// Takes the versions that members reply.
    pub state: Rc<KnownState>,
    /// Owns the calls.
    pub tasks: Rc<TaskGroup>,
}

impl HeartbeatSender {
    /// Sends them at the heartbeat interval. Never returns.
    pub async fn run(self) {
        let sender = Rc::new(self);
        let mut ticks = interval(sender.settings.heartbeat.interval);
        // After a pause of the process one heartbeat, not all that were missed.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            sender.peers.note_clock(sender.local.now());
            let status = sender.status();
            for member in 0..sender.council.size() {
                let each = sender.clone();
                sender.tasks.spawn(async move {
                    let version = each.send(member, status).await;
                    each.state.note_version(version);
                });
            }
        }
    }

    /// A member that has restarted counts as out of service until it has joined: else the next one could restart as well,
    /// and the council lose its majority.
    fn status(&self) -> AdvertisedStatus {
        match self.council.is_joining() {
            true => AdvertisedStatus::Starting,
            false => self.control.advertised_status(),
        }
    }

    /// The version that the member has accepted; `None`: it has accepted none, or did not answer.
    async fn send(&self, member: usize, status: AdvertisedStatus) -> Option<u64> {
        let report = self.report();
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

    fn report(&self) -> HeartbeatReport {
        self.state.with(|state| HeartbeatReport {
            counts: self.control.answer_counts(),
            applied: state.map(|state| self.applied(state)).unwrap_or_default(),
            running_digest: state
                .and_then(|state| state.release.as_ref())
                .and_then(|release| self.artifacts.running_digest(&release.artifact))
                .map(str::to_string),
        })
    }

    fn applied(&self, state: &FleetState) -> AppliedState {
        let drained = state.replicas.iter().filter(|(_, r)| matches!(r.stage, ReplicaStage::OutOfService(_)));
        let in_use = drained.map(|(id, _)| id.clone()).filter(|id| self.control.has_in_flight(id));
        AppliedState { version: state.version, in_flight: in_use.collect() }
    }
}
