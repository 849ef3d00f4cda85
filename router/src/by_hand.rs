//! Model nodes that are out by hand, laid over the list: whatever the list says of one, it takes nothing new; when it is
//! put back it comes back cold, as one that has just started. No input or output.

use rustc_hash::{FxHashMap, FxHashSet};
use tallypin::api::{EndpointEntry, EndpointState, ListUpdate, Nanos, ReplicaId};

/// The list as it came, and what is laid over it. Bounded as the list is.
#[derive(Debug, Default)]
pub struct Listed {
    rows: FxHashMap<ReplicaId, EndpointEntry>,
    out: FxHashSet<ReplicaId>,
    back: FxHashMap<ReplicaId, Nanos>,
}

impl Listed {
    /// The rows as they came.
    pub fn rows(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.rows.values()
    }

    /// News of the list: the rows as the module is to have them.
    pub fn told(&mut self, kind: ListUpdate, rows: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        if matches!(kind, ListUpdate::Full | ListUpdate::Cached) {
            self.rows.clear();
        }
        for row in &rows {
            match row.state {
                EndpointState::Gone => drop(self.rows.remove(&row.replica)),
                _ => drop(self.rows.insert(row.replica, row.clone())),
            }
        }
        rows.into_iter().map(|row| self.laid(row)).collect()
    }

    /// What is out and what was put back, from now on: the rows that are otherwise now.
    pub fn by_hand(&mut self, out: &[ReplicaId], back: &[(ReplicaId, Nanos)]) -> Vec<EndpointEntry> {
        let before: Vec<EndpointEntry> = self.rows.values().map(|row| self.laid(row.clone())).collect();
        self.out = out.iter().copied().collect();
        // Kept once it is no longer told: a start that goes back would pass for another one.
        self.back.retain(|replica, _| self.rows.contains_key(replica));
        self.back.extend(back.iter().copied());
        let now = before.into_iter().filter_map(|was| {
            let row = self.laid(self.rows.get(&was.replica)?.clone());
            (row != was).then_some(row)
        });
        now.collect()
    }

    fn laid(&self, mut row: EndpointEntry) -> EndpointEntry {
        if row.state == EndpointState::Ready && self.out.contains(&row.replica) {
            row.state = EndpointState::Draining;
        }
        // Rule 4 goes by the time of the start: the same at all routers, as they read it from what they agree on. One that
        // has really started since is as cold as that makes it.
        if let Some(at) = self.back.get(&row.replica) {
            row.started_at = row.started_at.max(*at);
        }
        row
    }
}

#[cfg(test)]
mod tests;
