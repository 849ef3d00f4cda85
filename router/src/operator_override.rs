//! Operator overrides of the endpoint list: replicas that operators of the fleet have drained or returned to service. Does
//! no input or output.
//!
//! A drained replica receives no new requests, whatever state the list has for it. A replica that was returned to service
//! goes through a slow start as if it had just started.

use rustc_hash::{FxHashMap, FxHashSet};
use tallypin::api::{EndpointEntry, EndpointState, ListUpdate, Nanos, ReplicaId};

/// A replica that was returned to service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaRestoration {
    /// The replica.
    pub replica: ReplicaId,
    /// Time of its return to service, in ns, at which its slow start begins.
    pub restored_at: Nanos,
}

/// The endpoint list as received, and the operator overrides. Its size is bounded by the list and the fleet state.
#[derive(Debug, Default)]
pub struct OverriddenEndpointList {
    received: FxHashMap<ReplicaId, EndpointEntry>,
    drained: FxHashSet<ReplicaId>,
    restored_at: FxHashMap<ReplicaId, Nanos>,
}

impl OverriddenEndpointList {
    /// Returns the entries as received, without overrides.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.received.values()
    }

    /// Applies an update of the list and returns its entries with the overrides applied.
    pub fn apply_update(&mut self, update: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.received.clear();
        }
        for entry in &entries {
            match entry.state {
                EndpointState::Gone => drop(self.received.remove(&entry.replica)),
                _ => drop(self.received.insert(entry.replica, entry.clone())),
            }
        }
        entries.into_iter().map(|entry| self.overridden(entry)).collect()
    }

    /// Replaces the overrides and returns the entries that change.
    pub fn set_overrides(
        &mut self,
        drained: &[ReplicaId],
        restored: &[ReplicaRestoration],
    ) -> Vec<EndpointEntry> {
        let before: Vec<EndpointEntry> =
            self.received.values().map(|entry| self.overridden(entry.clone())).collect();
        self.drained = drained.iter().copied().collect();
        // Restorations that are no longer named are kept while the replica is listed: a start time that moves back would
        // look like another start.
        self.restored_at.retain(|replica, _| self.received.contains_key(replica));
        self.restored_at.extend(restored.iter().map(|restored| (restored.replica, restored.restored_at)));
        let changed = before.into_iter().filter_map(|before| {
            let now = self.overridden(self.received.get(&before.replica)?.clone());
            (now != before).then_some(now)
        });
        changed.collect()
    }

    fn overridden(&self, mut entry: EndpointEntry) -> EndpointEntry {
        if entry.state == EndpointState::Ready && self.drained.contains(&entry.replica) {
            entry.state = EndpointState::Draining;
        }
        // Slow start begins at the start time. The time of return to service comes from the fleet state, so it is the same
        // at all routers. If the replica has started after its return, its slow start begins at that start.
        if let Some(at) = self.restored_at.get(&entry.replica) {
            entry.started_at = entry.started_at.max(*at);
        }
        entry
    }
}

#[cfg(test)]
mod tests;
