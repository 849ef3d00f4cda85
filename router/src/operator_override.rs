//! Operator overrides: replicas that the fleet's operators have drained or put back, laid over the endpoint list. No input
//! or output.
//!
//! A drained replica gets nothing new, whatever the list says of it. One that was put back warms up as if it had just
//! started.

use rustc_hash::{FxHashMap, FxHashSet};
use tallypin::api::{EndpointEntry, EndpointState, ListUpdate, Nanos, ReplicaId};

/// A replica that was put back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restoration {
    /// The replica.
    pub replica: ReplicaId,
    /// When it was put back, ns: it warms up from then on.
    pub at: Nanos,
}

/// The endpoint list as it came, and the overrides over it. No larger than the list and the fleet state.
#[derive(Debug, Default)]
pub struct OverriddenList {
    listed: FxHashMap<ReplicaId, EndpointEntry>,
    drained: FxHashSet<ReplicaId>,
    restored_at: FxHashMap<ReplicaId, Nanos>,
}

impl OverriddenList {
    /// The entries as they came.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.listed.values()
    }

    /// Takes an update of the list; its entries with the overrides, as the decisions are to have them.
    pub fn apply_update(&mut self, update: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.listed.clear();
        }
        for entry in &entries {
            match entry.state {
                EndpointState::Gone => drop(self.listed.remove(&entry.replica)),
                _ => drop(self.listed.insert(entry.replica, entry.clone())),
            }
        }
        entries.into_iter().map(|entry| self.overridden(entry)).collect()
    }

    /// Replaces the overrides; the entries that change by it.
    pub fn set_overrides(&mut self, drained: &[ReplicaId], restored: &[Restoration]) -> Vec<EndpointEntry> {
        let before: Vec<EndpointEntry> =
            self.listed.values().map(|entry| self.overridden(entry.clone())).collect();
        self.drained = drained.iter().copied().collect();
        // Kept when it is no longer named: a start that goes back would pass for another one.
        self.restored_at.retain(|replica, _| self.listed.contains_key(replica));
        self.restored_at.extend(restored.iter().map(|restored| (restored.replica, restored.at)));
        let changed = before.into_iter().filter_map(|before| {
            let now = self.overridden(self.listed.get(&before.replica)?.clone());
            (now != before).then_some(now)
        });
        changed.collect()
    }

    fn overridden(&self, mut entry: EndpointEntry) -> EndpointEntry {
        if entry.state == EndpointState::Ready && self.drained.contains(&entry.replica) {
            entry.state = EndpointState::Draining;
        }
        // Slow start goes by the time of the start: the same at all routers, as the fleet state has it. A replica that has
        // really started since warms up from then.
        if let Some(at) = self.restored_at.get(&entry.replica) {
            entry.started_at = entry.started_at.max(*at);
        }
        entry
    }
}

#[cfg(test)]
mod tests;
