//! The JSON answer to an executed order: the fleet state, and the state of the other routers as known to this one.
//!
//! Operators' scripts read its keys, so they must not change.

use std::rc::Rc;

use serde_json::{json, Value};
use tallypin_consensus::fleet_state::{DrainEntry, DrainStage, FleetState};
use tallypin_consensus::release::{Release, ReleasePhase};
use tallypin_consensus::replica_drains::{ReplicaEntry, ReplicaStage};
use tallypin_membership::RouterIndex;

use super::artifacts::Artifacts;
use super::council::Council;
use super::local_router::LocalRouter;
use super::peer_table::PeerTable;
use super::server::RejectedMessages;
use super::settings::FleetSettings;
use super::submission::CommandSubmitter;

/// Builds the answers to orders.
pub struct StatusReporter {
    /// The fleet's settings.
    pub settings: Rc<FleetSettings>,
    /// This router.
    pub local: Rc<LocalRouter>,
    /// Source of the reachable members, and of whether this router is a member.
    pub council: Rc<Council>,
    /// Source of the number of routers that report each digest, that of the file a router runs, and of the list of routers
    /// that are out of service.
    pub peers: Rc<PeerTable>,
    /// Source of the digest that this router runs.
    pub artifacts: Rc<Artifacts>,
    /// Source of the routers that still use a drained replica.
    pub submitter: Rc<CommandSubmitter>,
    /// Source of the number of rejected messages.
    pub rejected: Rc<RejectedMessages>,
}

impl StatusReporter {
    /// Returns the answer to the order with this id.
    pub fn report(&self, id: &str, state: &FleetState) -> Value {
        let limits = &self.settings.limits;
        let mut report = json!({
            "done": true,
            "id": id,
            "version": state.version,
            "halted": state.halted,
            "entries": state.drains.iter().map(|(router, drain)| self.drain_report(*router, drain)).collect::<Vec<_>>(),
            "bounds": {"all": limits.total, "zone": limits.per_zone},
            "council": self.reachable_members(),
            "spoilt": self.rejected.count(),
            "nodes": state.replicas.iter().map(|(id, entry)| self.replica_report(id, entry)).collect::<Vec<_>>(),
        });
        if let Some(release) = &state.release {
            report["release"] = self.release_report(release);
        }
        if self.council.is_member() {
            report["runs"] = json!(self.peers.running_digests());
            let out_of_service = self.peers.out_of_service(self.local.now());
            report["out_here"] = out_of_service.iter().map(|router| self.router_name(*router)).collect();
        }
        report
    }

    /// Returns the names of the council members that replied to their last call.
    pub fn reachable_members(&self) -> Vec<&str> {
        let members = self.settings.council.iter().enumerate();
        let reachable = members.filter(|(member, _)| self.council.is_reachable(*member));
        reachable.map(|(_, router)| self.router_name(*router)).collect()
    }

    fn router_name(&self, router: RouterIndex) -> &str {
        self.settings.routers.get(usize::from(router)).map_or("?", |router| router.name.as_str())
    }

    fn drain_report(&self, router: RouterIndex, drain: &DrainEntry) -> Value {
        let stage = match drain.stage {
            DrainStage::Requested => "wanted",
            DrainStage::Leased(_) => "leave",
            DrainStage::OutOfService(_) => "out",
            DrainStage::Returning(_) => "back",
        };
        let mut report = json!({"router": self.router_name(router), "stage": stage, "order": drain.order});
        if let Some(digest) = &drain.target_digest {
            report["to"] = digest.as_str().into();
        }
        report
    }

    fn replica_report(&self, id: &str, entry: &ReplicaEntry) -> Value {
        let mut report = json!({"node": id, "order": entry.order, "until_ms": entry.until});
        match entry.stage {
            ReplicaStage::Requested => report["stage"] = "wanted".into(),
            ReplicaStage::Restored(at) => {
                report["stage"] = "back".into();
                report["since_ms"] = at.into();
            }
            ReplicaStage::OutOfService(_) => {
                let remaining_use = self.submitter.remaining_use(id);
                let names = |routers: &[RouterIndex]| -> Vec<&str> {
                    routers.iter().map(|router| self.router_name(*router)).collect()
                };
                report["stage"] = "out".into();
                report["clear"] = remaining_use.as_ref().is_some_and(|known| known.router_count == 0).into();
                report["not_clear"] = remaining_use.as_ref().map(|known| known.router_count).into();
                report["first"] = remaining_use.as_ref().map(|known| names(&known.first_routers)).into();
            }
        }
        report
    }

    fn release_report(&self, release: &Release) -> Value {
        let (phase, cause) = match &release.phase {
            ReleasePhase::Running => ("running", None),
            ReleasePhase::Failed(cause) => ("failed", Some(cause)),
            ReleasePhase::RollingBack(cause) => ("back", Some(cause)),
            ReleasePhase::Done => ("done", None),
            ReleasePhase::RolledBack(cause) => ("undone", Some(cause)),
        };
        json!({
            "order": release.order,
            "what": release.artifact,
            "digest": release.digest,
            "phase": phase,
            "cause": cause,
            "wave": release.wave + 1,
            "waves": release.waves.len(),
            "runs_here": self.artifacts.running_digest(&release.artifact),
        })
    }
}
