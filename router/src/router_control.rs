//! Control of the router process by the fleet agent: draining in the stages that health checks show to load balancers,
//! return to service, shutdown to start with a released file, and operator overrides of replicas.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use rustc_hash::FxHashSet;
use tallypin::api::{EndpointState, Nanos, ReplicaId};
use tallypin::name_hash;
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::ReplicaView;
use tallypin_health::assessment::{HealthState, OperatorOrder};
use tallypin_health::drain_sequence::{DrainGoal, DrainPhase};
use tallypin_membership::AdvertisedStatus;

use crate::checks::{signals, HealthMonitor};
use crate::components::Components;
use crate::config::Config;
use crate::fleet::{InvalidArtifact, RestoredReplica, RouterControl, ShuttingDown};
use crate::installation::Installation;
use crate::operator_override::ReplicaRestoration;

const NANOS_PER_MS: Nanos = 1_000_000;

/// The fleet agent's control of this process.
pub struct ProcessControl {
    /// Requests and connections of the router.
    pub components: Rc<Components>,
    /// Health state that load balancers see.
    pub health_monitor: Rc<HealthMonitor>,
    /// Path of the settings file. A released settings file is validated as if it were at this path.
    pub settings_path: PathBuf,
}

impl ProcessControl {
    fn request_phase(&self, goal: DrainGoal, order: OperatorOrder) -> Result<(), ShuttingDown> {
        if !self.health_monitor.set_drain_goal(goal, order) {
            return Err(ShuttingDown);
        }
        signals::apply_drain_phase(&self.components.lifecycle, self.health_monitor.drain_phase());
        Ok(())
    }

    /// Checks this text as the content of the settings file, with the included files as they are on disk.
    fn validate_settings(&self, text: &str) -> Result<(), InvalidArtifact> {
        let read = |path: &Path| match path == self.settings_path {
            true => Ok(text.to_string()),
            false => std::fs::read_to_string(path),
        };
        match Installation::read_with(&self.settings_path, &self.components.deployment, &read) {
            Ok(_) => Ok(()),
            Err(problems) => {
                let first = problems.short().next();
                Err(InvalidArtifact::Settings(first.unwrap_or_else(|| "the settings are invalid".into())))
            }
        }
    }
}

impl RouterControl for ProcessControl {
    fn begin_drain(&self) -> Result<(), ShuttingDown> {
        self.request_phase(DrainGoal::Drain, OperatorOrder::Drain)
    }

    fn resume_service(&self) -> Result<(), ShuttingDown> {
        self.request_phase(DrainGoal::Serve, OperatorOrder::Ready)
    }

    fn is_drained(&self) -> bool {
        // Streams accepted before the drain have finished too; the shutdown would wait for them as well.
        self.health_monitor.drain_phase() == DrainPhase::Drained
            && self.components.with_core(|core, _| core.open_requests()) == 0
    }

    fn shut_down(&self) {
        // An error means that the process is already shutting down.
        let _ = self.request_phase(DrainGoal::Exit, OperatorOrder::Drain);
    }

    fn advertised_status(&self) -> AdvertisedStatus {
        match (self.health_monitor.drain_phase(), self.health_monitor.assessment().state) {
            (DrainPhase::ShuttingDown, _) => AdvertisedStatus::Ending,
            // No replica is ready, either after the start or because all became unavailable: new requests would be rejected.
            (DrainPhase::Serving, _) if self.components.replicas.ready_count() == 0 => {
                AdvertisedStatus::Starting
            }
            (DrainPhase::Serving, HealthState::Up | HealthState::Degraded) => AdvertisedStatus::Serving,
            _ => AdvertisedStatus::Draining,
        }
    }

    fn answer_counts(&self) -> AnswerCounts {
        let (counts, late) =
            self.components.with_core(|core, _| (core.counts().clone(), core.late_streams()));
        AnswerCounts {
            answered: counts.completed + counts.interrupted + counts.rejected + counts.failed,
            failed: counts.failed + counts.interrupted,
            late,
            // Rejections of tenants over their quota are not attributable to a release.
            rejected: counts.rejected - counts.rejected_over_quota,
        }
    }

    fn replica_views(&self) -> Option<BTreeMap<String, ReplicaView>> {
        let components = &self.components;
        if !components.endpoint_list.state.is_active() {
            return None;
        }
        let (entries, snapshots) = components.with_core(|core, now| {
            (core.listed_replicas().cloned().collect::<Vec<_>>(), core.replica_snapshots(now))
        });
        let impaired: FxHashSet<ReplicaId> = snapshots
            .into_iter()
            .filter(|snapshot| snapshot.is_warming_up || snapshot.ejected_for > 0)
            .map(|snapshot| snapshot.replica)
            .collect();
        let name = |names: &[String], index: u32| names.get(index as usize).cloned().unwrap_or_default();
        let views = entries.into_iter().map(|entry| {
            let view = ReplicaView {
                zone: name(&components.deployment.zones, entry.zone.0),
                kind: name(&components.deployment.kinds, entry.kind),
                out_of_service: entry.state != EndpointState::Ready || impaired.contains(&entry.replica),
            };
            (components.replicas.name(entry.replica).to_string(), view)
        });
        Some(views.collect())
    }

    fn set_replica_overrides(&self, drained: &[String], restored: &[RestoredReplica]) {
        let drained: Vec<_> = drained.iter().map(|id| name_hash::replica_id(id)).collect();
        self.components.with_core(|core, now| {
            let restored = restored.iter().map(|replica| {
                // Limited to the present: if the sender's clock is ahead, the slow start lasts no longer than that of a
                // replica that starts now.
                let restored_at = replica.restored_at_ms.saturating_mul(NANOS_PER_MS).min(now);
                ReplicaRestoration { replica: name_hash::replica_id(&replica.id), restored_at }
            });
            core.override_replicas(now, &drained, &restored.collect::<Vec<_>>());
        });
    }

    fn has_in_flight(&self, replica: &str) -> bool {
        self.components.replicas.in_flight(name_hash::replica_id(replica)) > 0
    }

    fn validate_artifact(&self, artifact: &str, bytes: &[u8]) -> Result<(), InvalidArtifact> {
        let text = || std::str::from_utf8(bytes).map_err(|_| InvalidArtifact::NotText);
        match artifact {
            "settings" => self.validate_settings(text()?),
            "configuration" => match Config::parse(text()?) {
                Ok(_) => Ok(()),
                Err(error) => Err(InvalidArtifact::Configuration(error.to_string())),
            },
            // A program can't be validated without starting it.
            _ => Ok(()),
        }
    }
}
