//! Which replicas may get work, for fleets of any size: a draw at random, and the likely holders of a key, without
//! looking at all of them.
//!
//! In fleets of up to [`SCANNED`] ready replicas the holders of a key are the first by rendezvous hash over all (Thaler
//! and Ravishankar, 1998): the least is moved when one comes or goes, and each counts evenly. Beyond, a scan for each
//! new key costs more than the request, and the race is held among those that follow the key on a ring of hashes
//! (Karger et al., 1997). One point a replica is enough: a key takes many in a row, so what a replica bears is an
//! average over the arcs of as many, and not its own arc alone.

use crate::api::{ReplicaRow, ReplicaState, ZoneId};
use crate::stats::{mix, unit_race};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The most ready replicas among which holders are found by a look at each. At 256 that takes 2 us.
pub const SCANNED: usize = 256;
/// The most homes (likely holders) of a shared beginning that a pick looks at.
pub const MOST_HOMES: usize = 32;
/// The most beginnings whose traffic and homes are remembered.
pub const MOST_KEYS: usize = 4096;
/// Those that follow a key on the ring: of the own zone, and of the others.
const FOLLOWING: usize = 48;

/// Replicas by place, in no order: one comes, goes or is drawn at the same cost whatever their number.
#[derive(Debug, Default)]
pub struct Members {
    places: Vec<usize>,
    /// Where a place stands in `places`, plus one; 0: not there.
    stands: Vec<usize>,
}

impl Members {
    /// Adds a place; false if it was there.
    pub fn add(&mut self, place: usize) -> bool {
        if self.stands.len() <= place {
            self.stands.resize(place + 1, 0);
        }
        let new = self.stands[place] == 0;
        if new {
            self.places.push(place);
            self.stands[place] = self.places.len();
        }
        new
    }

    /// Takes a place out; false if it was not there.
    pub fn remove(&mut self, place: usize) -> bool {
        let Some(at) = self.stands.get(place).and_then(|s| s.checked_sub(1)) else { return false };
        self.stands[place] = 0;
        self.places.swap_remove(at);
        if let Some(&moved) = self.places.get(at) {
            self.stands[moved] = at + 1;
        }
        true
    }

    /// All places.
    pub fn all(&self) -> &[usize] {
        &self.places
    }
}

/// The ready replicas, those of the own zone, and the ring of both.
#[derive(Debug, Default)]
pub struct Membership {
    /// All that are ready.
    pub ready: Members,
    /// Those of the own zone.
    pub near: Members,
    /// Of another zone, point, place.
    ring: BTreeSet<(bool, u64, usize)>,
    /// Homes by key, each found when so many rows had been told of; how many there were.
    homes: FxHashMap<u64, (u64, Rc<[usize]>)>,
    rows_told: u64,
    /// Those that are gone and have left their place, free once their last streams have ended.
    gone: Vec<usize>,
}

impl Membership {
    /// The list's word on the replica at a place changed from one row to another.
    pub fn told(&mut self, place: usize, was: &ReplicaRow, now: &ReplicaRow, own: ZoneId) {
        self.rows_told += 1;
        // The same at every gateway, so that they agree on who follows a key.
        let point = |row: &ReplicaRow| mix(row.replica.0, 0);
        if was.state == ReplicaState::Ready {
            self.remove(place, point(was), was.zone != own);
        }
        if now.state == ReplicaState::Ready {
            self.add(place, point(now), now.zone != own);
        }
        match (was.state == ReplicaState::Gone, now.state == ReplicaState::Gone) {
            (false, true) => self.gone.push(place),
            (true, false) => self.gone.retain(|&g| g != place),
            _ => {}
        }
    }

    /// The homes of a prompt's beginning, first the likeliest: the ready replicas by rendezvous hash, which gateways
    /// agree on without a word. Other zones' replicas weigh `far`, the less the dearer crossing is; so a zone with few
    /// replicas has more of its homes elsewhere, and its own are not overrun.
    pub fn homes<'a>(
        &mut self,
        key: u64,
        own: ZoneId,
        far: f64,
        row: impl Fn(usize) -> &'a ReplicaRow,
    ) -> Rc<[usize]> {
        if self.homes.len() > MOST_KEYS {
            self.homes.clear();
        }
        if let Some((_, homes)) = self.homes.get(&key).filter(|(as_of, _)| *as_of == self.rows_told) {
            return homes.clone();
        }
        let mut ranked: Vec<(f64, u64, usize)> = Vec::with_capacity(SCANNED);
        self.about(mix(key, 0), |i| {
            let row = row(i);
            let race = unit_race(mix(key, row.replica.0)) / if row.zone == own { 1.0 } else { far };
            ranked.push((race, row.replica.0, i));
        });
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked.truncate(MOST_HOMES);
        let homes: Rc<[usize]> = ranked.into_iter().map(|(_, _, i)| i).collect();
        self.homes.insert(key, (self.rows_told, homes.clone()));
        homes
    }

    /// The place of one that is gone, if it is free.
    pub fn take_gone(&mut self, free: impl Fn(usize) -> bool) -> Option<usize> {
        let at = self.gone.iter().rposition(|&i| free(i))?;
        Some(self.gone.swap_remove(at))
    }

    /// A replica at a place, with its point on the ring and whether it is of another zone, is ready.
    fn add(&mut self, place: usize, point: u64, far: bool) {
        self.ready.add(place);
        if !far {
            self.near.add(place);
        }
        self.ring.insert((far, point, place));
    }

    /// It takes no new work any longer. `point` and `far` are those it was added with.
    fn remove(&mut self, place: usize, point: u64, far: bool) {
        self.ready.remove(place);
        self.near.remove(place);
        self.ring.remove(&(far, point, place));
    }

    /// Calls `take` with each place that a key's holders are to be found among.
    pub fn about(&self, key: u64, mut take: impl FnMut(usize)) {
        if self.ready.all().len() <= SCANNED {
            return self.ready.all().iter().for_each(|&i| take(i));
        }
        for far in [false, true] {
            let after = self.ring.range((far, key, 0)..=(far, u64::MAX, usize::MAX));
            let before = self.ring.range((far, 0, 0)..(far, key, 0));
            after.chain(before).take(FOLLOWING).for_each(|&(_, _, i)| take(i));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    fn holders(m: &Membership, key: u64) -> Vec<usize> {
        let mut found = Vec::new();
        m.about(key, |i| found.push(i));
        found
    }

    fn fleet(n: usize) -> Membership {
        let mut m = Membership::default();
        (0..n).for_each(|i| m.add(i, mix(i as u64, 1), i % 3 != 0));
        m
    }

    proptest! {
        /// Whatever comes and goes, in whatever order: the same as a set holds.
        #[test]
        fn members_are_a_set(changes in proptest::collection::vec((any::<bool>(), 0usize..40), 0..200)) {
            let (mut members, mut set) = (Members::default(), BTreeSet::new());
            for (add, place) in changes {
                let changed = if add { members.add(place) } else { members.remove(place) };
                prop_assert_eq!(changed, if add { set.insert(place) } else { set.remove(&place) });
                let mut all = members.all().to_vec();
                all.sort_unstable();
                prop_assert!(all.iter().eq(set.iter()));
            }
        }

        /// One more moves a key's candidates by itself and the one it takes the place of; gone again, all is as before.
        #[test]
        fn one_that_comes_or_goes_moves_little(n in SCANNED + 1..2_000, key in any::<u64>(), far in any::<bool>()) {
            let mut m = fleet(n);
            let before: BTreeSet<usize> = holders(&m, key).into_iter().collect();
            m.add(n, mix(n as u64, 1), far);
            let with: BTreeSet<usize> = holders(&m, key).into_iter().collect();
            prop_assert!(before.difference(&with).count() <= 1 && with.difference(&before).count() <= 1);
            m.remove(n, mix(n as u64, 1), far);
            prop_assert!(holders(&m, key).into_iter().eq(holders(&fleet(n), key)));
        }
    }

    #[test]
    fn small_fleets_are_looked_at_whole_and_large_ones_about_the_key() {
        assert_eq!(holders(&fleet(SCANNED), 5).len(), SCANNED);
        let large = holders(&fleet(5_000), 5);
        assert_eq!(large.len(), 2 * FOLLOWING);
        let near = large.iter().filter(|&&i| i % 3 == 0).count();
        assert_eq!(near, FOLLOWING, "of the own zone as many, however few they are");
        let one_zone = (0..1000).fold(Membership::default(), |mut m, i| {
            m.add(i, mix(i as u64, 1), false);
            m
        });
        assert_eq!(holders(&one_zone, u64::MAX).len(), FOLLOWING, "past the end it goes on at the beginning");
    }

    #[test]
    fn keys_spread_over_a_large_fleet() {
        let m = fleet(3_000);
        let mut held: BTreeMap<usize, u32> = BTreeMap::new();
        for key in 0..20_000u64 {
            holders(&m, mix(key, 2)).into_iter().for_each(|i| *held.entry(i).or_default() += 1);
        }
        // A third of the fleet is of the own zone and is half of the candidates: 960 keys each, the others 480.
        for (&i, &n) in &held {
            let mean = if i % 3 == 0 { 960.0 } else { 480.0 };
            let share = f64::from(n) / mean;
            assert!((0.4..1.8).contains(&share), "{i} holds {share:.2} of an even part");
        }
        assert_eq!(held.len(), 3_000);
    }
}
