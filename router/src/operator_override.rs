//! Model nodes that are out by hand, effective over the list: whatever the list says of one, it takes nothing new; when it is
//! put back it comes back cold, as one that has just started. No input or output.

use rustc_hash::{FxHashMap, FxHashSet};
use tallypin::api::{EndpointEntry, EndpointState, ListUpdate, Nanos, ReplicaId};

/// The list as it came, and what is effective over it. Bounded as the list is.
#[derive(Debug, Default)]
pub struct OverriddenList {
    listed: FxHashMap<ReplicaId, EndpointEntry>,
    drained: FxHashSet<ReplicaId>,
    restored: FxHashMap<ReplicaId, Nanos>,
}

impl OverriddenList {
    /// The rows as they came.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.listed.values()
    }

    /// News of the list: the rows as the module is to have them.
    pub fn apply_update(&mut self, kind: ListUpdate, rows: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        if matches!(kind, ListUpdate::Full | ListUpdate::Cached) {
            self.listed.clear();
        }
        for row in &rows {
            match row.state {
                EndpointState::Gone => drop(self.listed.remove(&row.replica)),
                _ => drop(self.listed.insert(row.replica, row.clone())),
            }
        }
        rows.into_iter().map(|row| self.effective(row)).collect()
    }

    /// What is out and what was put back, from now on: the rows that are otherwise now.
    pub fn set_overrides(&mut self, out: &[ReplicaId], back: &[(ReplicaId, Nanos)]) -> Vec<EndpointEntry> {
        let before: Vec<EndpointEntry> =
            self.listed.values().map(|row| self.effective(row.clone())).collect();
        self.drained = out.iter().copied().collect();
        // Kept once it is no longer told: a start that goes back would pass for another one.
        self.restored.retain(|replica, _| self.listed.contains_key(replica));
        self.restored.extend(back.iter().copied());
        let now = before.into_iter().filter_map(|was| {
            let row = self.effective(self.listed.get(&was.replica)?.clone());
            (row != was).then_some(row)
        });
        now.collect()
    }

    fn effective(&self, mut row: EndpointEntry) -> EndpointEntry {
        if row.state == EndpointState::Ready && self.drained.contains(&row.replica) {
            row.state = EndpointState::Draining;
        }
        // Rule 4 goes by the time of the start: the same at all routers, as they read it from what they agree on. One that
        // has really started since is as cold as that makes it.
        if let Some(at) = self.restored.get(&row.replica) {
            row.started_at = row.started_at.max(*at);
        }
        row
    }
}

#[cfg(test)]
mod tests;
