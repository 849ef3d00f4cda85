//! Which replicas may get work, for fleets of any size: a draw at random, and the likely holders of a key, without
//! looking at all of them.
//!
//! In fleets of up to [`MAX_SCANNED_REPLICAS`] ready replicas the holders of a key are the first by rendezvous hash over all (Thaler
//! and Ravishankar, 1998): the least is moved when one comes or goes, and each counts evenly. Beyond, a scan for each
//! new key costs more than the request, and the race is held among those that follow the key on a ring of hashes
//! (Karger et al., 1997). One point a replica is enough: a key takes many in a row, so what a replica bears is an
//! average over the arcs of as many, and not its own arc alone.

use crate::api::{EndpointEntry, EndpointState, ZoneId};
use crate::prefix_traffic::MAX_TRACKED_PREFIXES;
use crate::rendezvous_hash::{mix, unit_race};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The most ready replicas among which holders are found by a look at each. At 256 that takes 2 us.
pub const MAX_SCANNED_REPLICAS: usize = 256;
/// The most homes (likely holders) of a shared beginning that a pick looks at.
pub const MAX_PREFERRED_REPLICAS: usize = 32;
/// Those that follow a key on the ring: of the own zone, and of the others.
const REPLICAS_AFTER_KEY: usize = 48;

/// Replicas by place, in no order: one comes, goes or is drawn at the same cost whatever their number.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    indices: Vec<usize>,
    /// Where a place stands in `places`, plus one; 0: not there.
    positions: Vec<usize>,
}

impl ReplicaSet {
    /// Adds a place; false if it was there.
    pub fn add(&mut self, place: usize) -> bool {
        if self.positions.len() <= place {
            self.positions.resize(place + 1, 0);
        }
        let new = self.positions[place] == 0;
        if new {
            self.indices.push(place);
            self.positions[place] = self.indices.len();
        }
        new
    }

    /// Takes a place out; false if it was not there.
    pub fn remove(&mut self, place: usize) -> bool {
        let Some(at) = self.positions.get(place).and_then(|s| s.checked_sub(1)) else { return false };
        self.positions[place] = 0;
        self.indices.swap_remove(at);
        if let Some(&moved) = self.indices.get(at) {
            self.positions[moved] = at + 1;
        }
        true
    }

    /// All places.
    pub fn all(&self) -> &[usize] {
        &self.indices
    }
}

/// The ready replicas, those of the own zone, and the ring of both.
#[derive(Debug, Default)]
pub struct ReadyReplicas {
    /// All that are ready.
    pub ready: ReplicaSet,
    /// Those of the own zone.
    pub nearby: ReplicaSet,
    /// Of another zone, point, place.
    ring: BTreeSet<(bool, u64, usize)>,
    /// Homes by key, each found when so many rows had been told of; how many there were.
    preferred: FxHashMap<u64, (u64, Rc<[usize]>)>,
    entry_changes: u64,
    /// Those that are gone and have left their place, free once their last streams have ended.
    gone: Vec<usize>,
}

impl ReadyReplicas {
    /// The list's word on the replica at a place changed from one row to another.
    pub fn apply_entry(&mut self, place: usize, was: &EndpointEntry, now: &EndpointEntry, own: ZoneId) {
        self.entry_changes += 1;
        // The same at every gateway, so that they agree on who follows a key.
        let point = |row: &EndpointEntry| mix(row.replica.0, 0);
        if was.state == EndpointState::Ready {
            self.remove(place, point(was), was.zone != own);
        }
        if now.state == EndpointState::Ready {
            self.add(place, point(now), now.zone != own);
        }
        match (was.state == EndpointState::Gone, now.state == EndpointState::Gone) {
            (false, true) => self.gone.push(place),
            (true, false) => self.gone.retain(|&g| g != place),
            _ => {}
        }
    }

    /// The homes of a prompt's beginning, first the likeliest: the ready replicas by rendezvous hash, which gateways
    /// agree on without a word. Other zones' replicas weigh `far`, the less the dearer crossing is; so a zone with few
    /// replicas has more of its homes elsewhere, and its own are not overrun.
    pub fn preferred_replicas<'a>(
        &mut self,
        key: u64,
        own: ZoneId,
        far: f64,
        row: impl Fn(usize) -> &'a EndpointEntry,
    ) -> Rc<[usize]> {
        if self.preferred.len() > MAX_TRACKED_PREFIXES {
            self.preferred.clear();
        }
        if let Some((_, homes)) = self.preferred.get(&key).filter(|(as_of, _)| *as_of == self.entry_changes) {
            return homes.clone();
        }
        let mut ranked: Vec<(f64, u64, usize)> = Vec::with_capacity(MAX_SCANNED_REPLICAS);
        self.for_each_near_key(mix(key, 0), |i| {
            let row = row(i);
            let race = unit_race(mix(key, row.replica.0)) / if row.zone == own { 1.0 } else { far };
            ranked.push((race, row.replica.0, i));
        });
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked.truncate(MAX_PREFERRED_REPLICAS);
        let homes: Rc<[usize]> = ranked.into_iter().map(|(_, _, i)| i).collect();
        self.preferred.insert(key, (self.entry_changes, homes.clone()));
        homes
    }

    /// The place of one that is gone, if it is free.
    pub fn reuse_index(&mut self, free: impl Fn(usize) -> bool) -> Option<usize> {
        let at = self.gone.iter().rposition(|&i| free(i))?;
        Some(self.gone.swap_remove(at))
    }

    /// A replica at a place, with its point on the ring and whether it is of another zone, is ready.
    fn add(&mut self, place: usize, point: u64, far: bool) {
        self.ready.add(place);
        if !far {
            self.nearby.add(place);
        }
        self.ring.insert((far, point, place));
    }

    /// It takes no new work any longer. `point` and `far` are those it was added with.
    fn remove(&mut self, place: usize, point: u64, far: bool) {
        self.ready.remove(place);
        self.nearby.remove(place);
        self.ring.remove(&(far, point, place));
    }

    /// Calls `take` with each place that a key's holders are to be found among.
    pub fn for_each_near_key(&self, key: u64, mut take: impl FnMut(usize)) {
        if self.ready.all().len() <= MAX_SCANNED_REPLICAS {
            return self.ready.all().iter().for_each(|&i| take(i));
        }
        for far in [false, true] {
            let after = self.ring.range((far, key, 0)..=(far, u64::MAX, usize::MAX));
            let before = self.ring.range((far, 0, 0)..(far, key, 0));
            after.chain(before).take(REPLICAS_AFTER_KEY).for_each(|&(_, _, i)| take(i));
        }
    }
}

#[cfg(test)]
mod tests;
