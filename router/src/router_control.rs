//! What the fleet has this process do: it drains in the stages that health checks show to balancers, serves again, shuts
//! down to start with another file, and sends nothing new to replicas that operators have drained.

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

use crate::checks::{signals, Board};
use crate::components::Components;
use crate::config::Config;
use crate::fleet::{InvalidArtifact, RestoredReplica, RouterControl, ShuttingDown};
use crate::installation::Installation;
use crate::operator_override::Restoration;

const NANOS_PER_MS: Nanos = 1_000_000;

/// This process as the fleet controls it.
pub struct ProcessControl {
    /// Its requests and connections.
    pub components: Rc<Components>,
    /// The state that balancers see.
    pub board: Rc<Board>,
    /// Its settings file: a released one is read in its place.
    pub settings: PathBuf,
}

impl ProcessControl {
    fn request_phase(&self, wish: DrainGoal, order: OperatorOrder) -> Result<(), ShuttingDown> {
        if !self.board.want(wish, order) {
            return Err(ShuttingDown);
        }
        signals::follow(&self.components.lifecycle, self.board.phase());
        Ok(())
    }

    /// Reads a settings file with this text in its place, and the files that it includes as they are.
    fn validate_settings(&self, text: &str) -> Result<(), InvalidArtifact> {
        let read = |path: &Path| match path == self.settings {
            true => Ok(text.to_string()),
            false => std::fs::read_to_string(path),
        };
        match Installation::read_by(&self.settings, &self.components.deployment, &read) {
            Ok(_) => Ok(()),
            Err(problems) => {
                let first = problems.short().next();
                Err(InvalidArtifact::Settings(first.unwrap_or_else(|| "not understood".into())))
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
        // Streams that were taken before are finished: the end itself waits for them as well.
        self.board.phase() == DrainPhase::Drained && self.components.with(|core, _| core.open_requests()) == 0
    }

    fn shut_down(&self) {
        // It shuts down already: as wanted.
        let _ = self.request_phase(DrainGoal::Exit, OperatorOrder::Drain);
    }

    fn advertised_status(&self) -> AdvertisedStatus {
        match (self.board.phase(), self.board.assessment().state) {
            (DrainPhase::ShuttingDown, _) => AdvertisedStatus::Ending,
            // It has just started, or has lost all: whoever came would be turned away.
            (DrainPhase::Serving, _) if self.components.replicas.ready_count() == 0 => {
                AdvertisedStatus::Starting
            }
            (DrainPhase::Serving, HealthState::Up | HealthState::Degraded) => AdvertisedStatus::Serving,
            _ => AdvertisedStatus::Draining,
        }
    }

    fn answer_counts(&self) -> AnswerCounts {
        let (counts, late) = self.components.with(|core, _| (core.counts().clone(), core.late_streams()));
        AnswerCounts {
            answered: counts.completed + counts.interrupted + counts.rejected + counts.failed,
            failed: counts.failed + counts.interrupted,
            late,
            // A tenant over its quota says nothing of the release.
            rejected: counts.rejected - counts.rejected_over_quota,
        }
    }

    fn replica_views(&self) -> Option<BTreeMap<String, ReplicaView>> {
        let components = &self.components;
        if !components.endpoint_list.state.is_fresh() {
            return None;
        }
        let (entries, snapshots) = components
            .with(|core, now| (core.listed_replicas().cloned().collect::<Vec<_>>(), core.view(now)));
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
        self.components.with(|core, now| {
            let restored = restored.iter().map(|replica| {
                // A clock that is ahead of ours makes no replica warm up for longer than one that starts now.
                let at = replica.at.saturating_mul(NANOS_PER_MS).min(now);
                Restoration { replica: name_hash::replica_id(&replica.id), at }
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
            // Of a program nothing is known before it starts.
            _ => Ok(()),
        }
    }
}
