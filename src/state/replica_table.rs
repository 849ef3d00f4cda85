//! All replicas that the endpoint list has named, by slot, and which of them take work.

use std::ops::{Index, IndexMut};
use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::replica::Replica;
use crate::api::{EndpointEntry, EndpointState, ReplicaId, ZoneId};
use crate::ready_replicas::ReadyReplicas;
use crate::replica_set::ReplicaSet;

/// The replicas by slot. A slot is given to another replica only once its own is gone and has no attempt in
/// flight.
#[derive(Default)]
pub(crate) struct ReplicaTable {
    replicas: Vec<Replica>,
    slots: FxHashMap<ReplicaId, usize>,
    /// Those that are ready. Rule 3: only these are candidates, so nothing new goes to a replica from the
    /// moment that it is known to drain or to be gone.
    membership: ReadyReplicas,
    /// Those of them that are taken to be warming up.
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
    /// All replicas, gone ones among them, in the order of their slots.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter()
    }

    /// The number of slots.
    pub(crate) fn len(&self) -> usize {
        self.replicas.len()
    }

    /// The slot of a replica that was listed.
    pub(crate) fn slot_of(&self, replica: ReplicaId) -> Option<usize> {
        self.slots.get(&replica).copied()
    }

    /// Slots of the replicas that take work.
    pub(crate) fn ready(&self) -> &[usize] {
        self.membership.ready.all()
    }

    /// Slots of those in the router's own zone.
    pub(crate) fn ready_in_own_zone(&self) -> &[usize] {
        self.membership.nearby.all()
    }

    /// Slots of those that are taken to be warming up.
    pub(crate) fn warming_up(&self) -> &[usize] {
        self.warming_up.all()
    }

    /// The preferred replicas of a key, the most likely first; those of other zones have that weight.
    pub(crate) fn preferred(&mut self, key: u64, own_zone: ZoneId, other_zone_weight: f64) -> Rc<[usize]> {
        let replicas = &self.replicas;
        self.membership.preferred_replicas(key, own_zone, other_zone_weight, |slot| &replicas[slot].entry)
    }

    /// A slot for a replica that was not listed: that of one gone for good, or a new one.
    pub(crate) fn allocate(&mut self, replica: ReplicaId) -> usize {
        let replicas = &self.replicas;
        let free = self.membership.reuse_index(|slot| replicas[slot].in_flight == 0);
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

    /// The endpoint list has a new entry for the replica in a slot.
    pub(crate) fn set_entry(&mut self, slot: usize, entry: EndpointEntry, own_zone: ZoneId) {
        let previous = std::mem::replace(&mut self.replicas[slot].entry, entry);
        self.membership.apply_entry(slot, &previous, &self.replicas[slot].entry, own_zone);
        self.update_warming_up(slot);
    }

    /// Warming up from a time on, or warm.
    pub(crate) fn set_warming_up(&mut self, slot: usize, since: Option<u64>) {
        self.replicas[slot].warming_up_since = since;
        self.update_warming_up(slot);
    }

    /// Keeps the set of those that are ready and warming up. Rule 3: no others.
    fn update_warming_up(&mut self, slot: usize) {
        let replica = &self.replicas[slot];
        if replica.entry.state == EndpointState::Ready && replica.warming_up_since.is_some() {
            self.warming_up.add(slot);
        } else {
            self.warming_up.remove(slot);
        }
    }
}
