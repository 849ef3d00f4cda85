//! Table of all replicas named by the endpoint list, by slot, and of those that take work.

use std::ops::{Index, IndexMut};
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::replica::Replica;
use crate::api::{EndpointEntry, EndpointState, ReplicaId, ZoneId};
use crate::ready_replicas::ReadyReplicas;
use crate::replica_set::ReplicaSet;

/// Table of replicas by slot. A slot is reused only after its replica is gone and has no attempt in flight.
#[derive(Default)]
pub(crate) struct ReplicaTable {
    replicas: Vec<Replica>,
    slots: FxHashMap<ReplicaId, usize>,
    /// Ready replicas. Rule 3: only these are candidates, so a replica gets no new attempts once it is known
    /// to drain or to be gone.
    ready_replicas: ReadyReplicas,
    /// Ready replicas that are warming up.
    warming_up: ReplicaSet,
}

impl Index<usize> for ReplicaTable {
    type Output = Replica;

    fn index(&self, slot: usize) -> &Replica {
        &self.replicas[slot]
    }
}

impl IndexMut<usize> for ReplicaTable {
    fn index_mut(&mut self, slot: usize) -> &mut Replica {
        &mut self.replicas[slot]
    }
}

impl ReplicaTable {
    /// Iterates over all replicas, including gone ones, by slot.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter()
    }

    /// Returns the number of slots.
    pub(crate) fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns the slot of a replica that the endpoint list has contained, even if the replica is gone since;
    /// `None` if it was never listed or if its slot was reused for another replica after it had gone.
    pub(crate) fn slot_of(&self, replica: ReplicaId) -> Option<usize> {
        self.slots.get(&replica).copied()
    }

    /// Returns the slots of the ready replicas.
    pub(crate) fn ready(&self) -> &[usize] {
        self.ready_replicas.ready.all()
    }

    /// Returns the slots of the ready replicas in the router's own zone.
    pub(crate) fn ready_in_own_zone(&self) -> &[usize] {
        self.ready_replicas.own_zone.all()
    }

    /// Returns the slots of the ready replicas that are warming up.
    pub(crate) fn warming_up(&self) -> &[usize] {
        self.warming_up.all()
    }

    /// Returns the preferred replicas of a key, best first; replicas of other zones have weight
    /// `other_zone_weight`.
    pub(crate) fn preferred(&mut self, key: u64, own_zone: ZoneId, other_zone_weight: f64) -> Rc<[usize]> {
        let replicas = &self.replicas;
        self.ready_replicas.preferred_replicas(key, own_zone, other_zone_weight, |slot| &replicas[slot].entry)
    }

    /// Assigns a slot to a replica that was not listed before: that of a gone replica, or a new one.
    pub(crate) fn allocate(&mut self, replica: ReplicaId) -> usize {
        let replicas = &self.replicas;
        let free = self.ready_replicas.reuse_index(|slot| replicas[slot].in_flight == 0);
        let slot = match free {
            Some(slot) => {
                let gone = std::mem::take(&mut self.replicas[slot]);
                self.slots.remove(&gone.entry.replica);
                slot
            }
            None => {
                self.replicas.push(Replica::default());
                self.replicas.len() - 1
            }
        };
        self.slots.insert(replica, slot);
        slot
    }

    /// Replaces the entry of the replica in a slot.
    pub(crate) fn set_entry(&mut self, slot: usize, entry: EndpointEntry, own_zone: ZoneId) {
        let previous = std::mem::replace(&mut self.replicas[slot].entry, entry);
        self.ready_replicas.apply_entry(slot, &previous, &self.replicas[slot].entry, own_zone);
        self.update_warming_up(slot);
    }

    /// Sets the start of a replica's warm-up; `None` if it is warm.
    pub(crate) fn set_warming_up(&mut self, slot: usize, since: Option<u64>) {
        self.replicas[slot].warming_up_since = since;
        self.update_warming_up(slot);
    }

    /// Updates the set of warming replicas. Rule 3: it holds ready replicas only.
    fn update_warming_up(&mut self, slot: usize) {
        let replica = &self.replicas[slot];
        if replica.entry.state == EndpointState::Ready && replica.warming_up_since.is_some() {
            self.warming_up.add(slot);
        } else {
            self.warming_up.remove(slot);
        }
    }
}
