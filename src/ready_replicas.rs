//! Which replicas may get requests, for fleets of any size: a draw at random, and the preferred replicas of a key, without
//! looking at all of them.
//!
//! In fleets of up to [`MAX_SCANNED_REPLICAS`] ready replicas the preferred ones of a key are the first by rendezvous hash
//! over all (Thaler and Ravishankar, 1998): the fewest keys move when a replica comes or goes, and each replica counts
//! evenly. Beyond, a scan for each new key costs more than the request, and the choice is among the replicas that follow
//! the key on a ring of hashes (Karger et al., 1997). One point a replica is enough: a key takes many in a row, so the load
//! of a replica is an average over the arcs of as many, and not its own arc alone.

use std::collections::BTreeSet;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::api::{EndpointEntry, EndpointState, ZoneId};
use crate::prefix_traffic::MAX_TRACKED_PREFIXES;
use crate::rendezvous_hash::{mix, unit_race};
use crate::replica_set::ReplicaSet;

/// The most ready replicas that are all looked at for a new key. At 256 that takes 2 us.
pub const MAX_SCANNED_REPLICAS: usize = 256;
/// The most preferred replicas of a prefix.
pub const MAX_PREFERRED_REPLICAS: usize = 32;
/// The replicas that follow a key on the ring: of the own zone, and as many of the others.
const REPLICAS_AFTER_KEY: usize = 48;

/// The ready replicas, those of the own zone, and the ring of both. Replicas are indices into the decision module's table.
#[derive(Debug, Default)]
pub struct ReadyReplicas {
    /// All ready replicas.
    pub ready: ReplicaSet,
    /// Those of the own zone.
    pub nearby: ReplicaSet,
    /// Whether a replica is of another zone, its point on the ring, its index.
    ring: BTreeSet<(bool, u64, usize)>,
    /// Preferred replicas by prefix.
    preferred: FxHashMap<u64, PreferredReplicas>,
    /// How often an endpoint entry has been applied.
    entry_changes: u64,
    /// Replicas that have left the endpoint list: their indices are free once their last streams have ended.
    gone: Vec<usize>,
}

/// The preferred replicas of a prefix, the most preferred first.
#[derive(Debug)]
struct PreferredReplicas {
    /// The endpoint changes known when they were found; after further ones they are found anew.
    as_of_change: u64,
    replicas: Rc<[usize]>,
}

/// A ready replica in the race for a key.
struct Contender {
    /// The least wins; each replica's chance is proportional to its weight.
    race: f64,
    /// Decides between equal races in the same way at every router.
    replica: u64,
    index: usize,
}

impl ReadyReplicas {
    /// The endpoint entry of the replica at `index` has changed from `before` to `now`; `own` is the router's zone.
    pub fn apply_entry(&mut self, index: usize, before: &EndpointEntry, now: &EndpointEntry, own: ZoneId) {
        self.entry_changes += 1;
        // The same at every router, so that they agree on which replicas follow a key.
        let point = |entry: &EndpointEntry| mix(entry.replica.0, 0);
        if before.state == EndpointState::Ready {
            self.remove(index, point(before), before.zone != own);
        }
        if now.state == EndpointState::Ready {
            self.add(index, point(now), now.zone != own);
        }
        match (before.state == EndpointState::Gone, now.state == EndpointState::Gone) {
            (false, true) => self.gone.push(index),
            (true, false) => self.gone.retain(|&gone| gone != index),
            _ => {}
        }
    }

    /// The preferred replicas of a prefix, the most preferred first: the ready ones by rendezvous hash, on which routers
    /// agree without a message. Replicas of other zones weigh `far_weight`, the less the dearer crossing is; so a zone with
    /// few replicas has more of its preferred ones elsewhere, and its own are not overloaded. `entry` is the endpoint entry
    /// of the replica at an index.
    pub fn preferred_replicas<'a>(
        &mut self,
        prefix: u64,
        own: ZoneId,
        far_weight: f64,
        entry: impl Fn(usize) -> &'a EndpointEntry,
    ) -> Rc<[usize]> {
        if self.preferred.len() > MAX_TRACKED_PREFIXES {
            self.preferred.clear();
        }
        let current = |known: &&PreferredReplicas| known.as_of_change == self.entry_changes;
        if let Some(known) = self.preferred.get(&prefix).filter(current) {
            return known.replicas.clone();
        }
        let mut contenders: Vec<Contender> = Vec::with_capacity(MAX_SCANNED_REPLICAS);
        self.for_each_near_key(mix(prefix, 0), |index| {
            let entry = entry(index);
            let weight = if entry.zone == own { 1.0 } else { far_weight };
            let race = unit_race(mix(prefix, entry.replica.0)) / weight;
            contenders.push(Contender { race, replica: entry.replica.0, index });
        });
        contenders.sort_unstable_by(|a, b| a.race.total_cmp(&b.race).then(a.replica.cmp(&b.replica)));
        contenders.truncate(MAX_PREFERRED_REPLICAS);
        let replicas: Rc<[usize]> = contenders.into_iter().map(|contender| contender.index).collect();
        let found = PreferredReplicas { as_of_change: self.entry_changes, replicas: replicas.clone() };
        self.preferred.insert(prefix, found);
        replicas
    }

    /// The index of a replica that has left the endpoint list, if there is one that `is_free`; it counts as used from now
    /// on.
    pub fn reuse_index(&mut self, is_free: impl Fn(usize) -> bool) -> Option<usize> {
        let at = self.gone.iter().rposition(|&index| is_free(index))?;
        Some(self.gone.swap_remove(at))
    }

    /// A replica, with its point on the ring and whether it is of another zone, is ready.
    fn add(&mut self, index: usize, point: u64, far: bool) {
        self.ready.add(index);
        if !far {
            self.nearby.add(index);
        }
        self.ring.insert((far, point, index));
    }

    /// It is no longer ready. `point` and `far` are those it was added with.
    fn remove(&mut self, index: usize, point: u64, far: bool) {
        self.ready.remove(index);
        self.nearby.remove(index);
        self.ring.remove(&(far, point, index));
    }

    /// Calls `take` with each replica that is in the race for a key: all of them in small fleets, those that follow the key
    /// on the ring in large ones.
    pub fn for_each_near_key(&self, key: u64, mut take: impl FnMut(usize)) {
        if self.ready.all().len() <= MAX_SCANNED_REPLICAS {
            return self.ready.all().iter().for_each(|&index| take(index));
        }
        for far in [false, true] {
            let after = self.ring.range((far, key, 0)..=(far, u64::MAX, usize::MAX));
            let before = self.ring.range((far, 0, 0)..(far, key, 0));
            after.chain(before).take(REPLICAS_AFTER_KEY).for_each(|&(_, _, index)| take(index));
        }
    }
}

#[cfg(test)]
mod tests;
