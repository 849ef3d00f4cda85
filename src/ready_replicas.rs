//! Selection of replicas in fleets of any size: at random, or the preferred replicas of a key, without examining every
//! replica.
//!
//! In fleets of up to [`MAX_SCANNED_REPLICAS`] ready replicas, the preferred replicas of a key are the first by
//! rendezvous hashing over all of them (Thaler and Ravishankar, 1998): the fewest keys move when a replica is added or
//! removed, and the load is even. In larger fleets, a scan for each new key costs more than the request itself, so only
//! the replicas that follow the key on a hash ring are considered (Karger et al., 1997). One point per replica is
//! enough: a key uses many consecutive replicas, so a replica's load is an average over many arcs.

use std::collections::BTreeSet;
use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::api::{EndpointEntry, EndpointState, ZoneId};
use crate::prefix_traffic::MAX_TRACKED_PREFIXES;
use crate::rendezvous_hash::{exponential_variate, mix};
use crate::replica_set::ReplicaSet;

/// Maximum number of ready replicas that are all examined for a new key. With 256 that takes 2 us.
pub const MAX_SCANNED_REPLICAS: usize = 256;
/// Maximum number of preferred replicas of a prefix.
pub const MAX_PREFERRED_REPLICAS: usize = 32;
/// Number of replicas taken from the ring after a key: from the own zone, and as many from other zones.
const REPLICAS_AFTER_KEY: usize = 48;

/// The ready replicas of all zones and of the own zone, and the hash ring. Replicas are indices into the decision
/// module's table.
#[derive(Debug, Default)]
pub struct ReadyReplicas {
    /// All ready replicas.
    pub ready: ReplicaSet,
    /// Ready replicas of the own zone.
    pub own_zone: ReplicaSet,
    /// Hash ring: whether the replica is in another zone, its point on the ring, its index.
    ring: BTreeSet<(bool, u64, usize)>,
    /// Cache of preferred replicas by prefix.
    preferred: FxHashMap<u64, PreferredReplicas>,
    /// Number of endpoint entries applied.
    entry_changes: u64,
    /// Replicas that left the endpoint list. Their indices can be reused after their last streams have ended.
    gone: Vec<usize>,
}

/// Preferred replicas of a prefix, best first.
#[derive(Debug)]
struct PreferredReplicas {
    /// Value of `entry_changes` when they were computed; they are recomputed after a further change.
    as_of_change: u64,
    replicas: Rc<[usize]>,
}

/// A ready replica that competes for a key.
struct Contender {
    /// Random variate; the lowest wins. A replica's chance is proportional to its weight.
    variate: f64,
    /// Breaks ties in the same way at every router.
    replica: u64,
    index: usize,
}

impl ReadyReplicas {
    /// Applies a change of the endpoint entry of the replica at `index` from `before` to `now`. `own_zone` is the router's
    /// zone.
    pub fn apply_entry(
        &mut self,
        index: usize,
        before: &EndpointEntry,
        now: &EndpointEntry,
        own_zone: ZoneId,
    ) {
        self.entry_changes += 1;
        // The point is the same at every router, so that routers agree on the replicas after a key.
        let point = |entry: &EndpointEntry| mix(entry.replica.0, 0);
        if before.state == EndpointState::Ready {
            self.remove(index, point(before), before.zone != own_zone);
        }
        if now.state == EndpointState::Ready {
            self.add(index, point(now), now.zone != own_zone);
        }
        match (before.state == EndpointState::Gone, now.state == EndpointState::Gone) {
            (false, true) => self.gone.push(index),
            (true, false) => self.gone.retain(|&gone| gone != index),
            _ => {}
        }
    }

    /// Returns the preferred replicas of a prefix, best first: the ready ones by rendezvous hash, on which routers
    /// agree without messages. Replicas of other zones have weight `other_zone_weight`, which is lower the more crossing
    /// costs. So a zone with few replicas uses more of the other zones, and its own are not overloaded. `entry` returns
    /// the endpoint entry of the replica at an index.
    pub fn preferred_replicas<'a>(
        &mut self,
        prefix: u64,
        own_zone: ZoneId,
        other_zone_weight: f64,
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
        self.for_each_contender(mix(prefix, 0), |index| {
            let entry = entry(index);
            let weight = if entry.zone == own_zone { 1.0 } else { other_zone_weight };
            let variate = exponential_variate(mix(prefix, entry.replica.0)) / weight;
            contenders.push(Contender { variate, replica: entry.replica.0, index });
        });
        contenders.sort_unstable_by(|a, b| a.variate.total_cmp(&b.variate).then(a.replica.cmp(&b.replica)));
        contenders.truncate(MAX_PREFERRED_REPLICAS);
        let replicas: Rc<[usize]> = contenders.into_iter().map(|contender| contender.index).collect();
        let computed = PreferredReplicas { as_of_change: self.entry_changes, replicas: replicas.clone() };
        self.preferred.insert(prefix, computed);
        replicas
    }

    /// Returns the index of a replica that left the endpoint list and `is_free`, if there is one. The index counts as
    /// used from then on.
    pub fn reuse_index(&mut self, is_free: impl Fn(usize) -> bool) -> Option<usize> {
        let at = self.gone.iter().rposition(|&index| is_free(index))?;
        Some(self.gone.swap_remove(at))
    }

    /// Adds a ready replica at `point` on the ring; `other_zone` says whether it is in another zone.
    fn add(&mut self, index: usize, point: u64, other_zone: bool) {
        self.ready.add(index);
        if !other_zone {
            self.own_zone.add(index);
        }
        self.ring.insert((other_zone, point, index));
    }

    /// Removes a replica that is no longer ready. `point` and `other_zone` must be those it was added with.
    fn remove(&mut self, index: usize, point: u64, other_zone: bool) {
        self.ready.remove(index);
        self.own_zone.remove(index);
        self.ring.remove(&(other_zone, point, index));
    }

    /// Calls `visit` with each replica that competes for a key: all of them in small fleets, those after the key on the
    /// ring in large ones.
    pub fn for_each_contender(&self, key: u64, mut visit: impl FnMut(usize)) {
        if self.ready.all().len() <= MAX_SCANNED_REPLICAS {
            return self.ready.all().iter().for_each(|&index| visit(index));
        }
        for other_zone in [false, true] {
            let after = self.ring.range((other_zone, key, 0)..=(other_zone, u64::MAX, usize::MAX));
            let before = self.ring.range((other_zone, 0, 0)..(other_zone, key, 0));
            after.chain(before).take(REPLICAS_AFTER_KEY).for_each(|&(_, _, index)| visit(index));
        }
    }
}

#[cfg(test)]
mod tests;
