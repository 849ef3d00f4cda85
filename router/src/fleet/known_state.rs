//! The newest chosen fleet state that this router knows.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::replica_drains::ReplicaStage;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::control::{RestoredReplica, RouterControl};

/// The newest known fleet state. Its version never decreases.
pub struct KnownState {
    control: Rc<dyn RouterControl>,
    state: RefCell<Option<FleetState>>,
    /// Highest version that any member has reported. A version above the known one triggers a read.
    latest_version_seen: Cell<u64>,
    changed: Notify,
    first_known: Notify,
}

impl KnownState {
    /// Creates the holder without a known state.
    pub fn new(control: Rc<dyn RouterControl>) -> KnownState {
        KnownState {
            control,
            state: RefCell::default(),
            latest_version_seen: Cell::new(0),
            changed: Notify::new(),
            first_known: Notify::new(),
        }
    }

    /// Returns a copy of the state; `None` before the first state is known.
    pub fn current(&self) -> Option<FleetState> {
        self.state.borrow().clone()
    }

    /// Calls a function with a reference to the state and returns its result. Avoids a copy of the state.
    pub fn with<T>(&self, read: impl FnOnce(Option<&FleetState>) -> T) -> T {
        read(self.state.borrow().as_ref())
    }

    /// Returns the version of the state; `None` before the first state is known.
    pub fn version(&self) -> Option<u64> {
        self.with(|state| state.map(|s| s.version))
    }

    /// Stores a chosen state if it is newer than the known one, and updates the operator overrides of replicas.
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
                ReplicaStage::Restored(restored_at_ms) => {
                    restored.push(RestoredReplica { id: id.clone(), restored_at_ms })
                }
                ReplicaStage::Requested => {}
            }
        }
        self.control.set_replica_overrides(&drained, &restored);
    }

    /// Records the version that a member has accepted; `None` if it has accepted none or did not reply.
    pub fn observe_version(&self, version: Option<u64>) {
        self.latest_version_seen.set(self.latest_version_seen.get().max(version.unwrap_or(0)));
        if version > self.version() {
            self.changed.notify_one();
        }
    }

    /// Returns whether a member has reported a newer version than the known one.
    pub fn is_behind(&self) -> bool {
        Some(self.latest_version_seen.get()) > self.version()
    }

    /// Waits for a change of the state or a newer reported version, at most for `max_wait`. Cancel-safe: a change that
    /// happens while nobody waits is kept for the next call.
    pub async fn wait_for_change(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.changed.notified()).await;
    }

    /// Waits until a state is known, at most for `max_wait`. A router that serves earlier would send requests to drained
    /// replicas.
    pub async fn wait_for_first_state(&self, max_wait: Duration) {
        if self.version().is_none() && timeout(max_wait, self.first_known.notified()).await.is_err() {
            tracing::warn!(target: "fleet", "router starts to serve without a fleet state: no majority of the council replied");
        }
    }
}
