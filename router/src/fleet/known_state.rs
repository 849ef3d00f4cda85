//! The newest fleet state that this router knows to be agreed on.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::replica_drains::ReplicaStage;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::control::{RestoredReplica, RouterControl};

/// The newest known state. It never goes back to an older version.
pub struct KnownState {
    control: Rc<dyn RouterControl>,
    state: RefCell<Option<FleetState>>,
    /// The newest version that any member has reported: a hint to read.
    latest_version_seen: Cell<u64>,
    changed: Notify,
    first_known: Notify,
}

impl KnownState {
    /// Of a router that knows nothing yet.
    pub fn new(control: Rc<dyn RouterControl>) -> KnownState {
        KnownState {
            control,
            state: RefCell::default(),
            latest_version_seen: Cell::new(0),
            changed: Notify::new(),
            first_known: Notify::new(),
        }
    }

    /// A copy of it; `None`: nothing is known yet.
    pub fn current(&self) -> Option<FleetState> {
        self.state.borrow().clone()
    }

    /// Looks at it without a copy.
    pub fn with<T>(&self, look: impl FnOnce(Option<&FleetState>) -> T) -> T {
        look(self.state.borrow().as_ref())
    }

    /// Its version.
    pub fn version(&self) -> Option<u64> {
        self.with(|state| state.map(|s| s.version))
    }

    /// Takes a state that was agreed on, if it is newer, and lays its replica drains over the endpoint list.
    pub fn learn(&self, state: &FleetState) {
        if self.version().is_some_and(|known| known >= state.version) {
            return;
        }
        let halted = state.halted.as_deref().unwrap_or("no");
        tracing::info!(target: "fleet", version = state.version, halted, drains = state.drains.len(), "fleet state changed");
        self.state.replace(Some(state.clone()));
        self.first_known.notify_one();
        self.changed.notify_one();
        let (mut drained, mut restored) = (Vec::new(), Vec::new());
        for (id, entry) in &state.replicas {
            match entry.stage {
                ReplicaStage::OutOfService(_) => drained.push(id.clone()),
                ReplicaStage::Restored(at) => restored.push(RestoredReplica { id: id.clone(), at }),
                ReplicaStage::Requested => {}
            }
        }
        self.control.set_replica_overrides(&drained, &restored);
    }

    /// Notes the version that a member has accepted; `None`: it has accepted none, or did not answer.
    pub fn note_version(&self, version: Option<u64>) {
        self.latest_version_seen.set(self.latest_version_seen.get().max(version.unwrap_or(0)));
        if version > self.version() {
            self.changed.notify_one();
        }
    }

    /// Whether a member has reported a newer version than the known one.
    pub fn is_behind(&self) -> bool {
        Some(self.latest_version_seen.get()) > self.version()
    }

    /// Waits for a change, or for so long. Cancel-safe: a change that comes meanwhile is not lost.
    pub async fn changed_or_after(&self, longest: Duration) {
        let _ = timeout(longest, self.changed.notified()).await;
    }

    /// Waits until a state is known, or for so long. A router that serves before would send to drained replicas.
    pub async fn wait_for_first(&self, longest: Duration) {
        if self.version().is_none() && timeout(longest, self.first_known.notified()).await.is_err() {
            tracing::warn!(target: "fleet", "serving without a known fleet state: no majority of the council answers");
        }
    }
}
