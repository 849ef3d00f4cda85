use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn candidates(replicas: &ReadyReplicas, key: u64) -> Vec<usize> {
    let mut found = Vec::new();
    replicas.for_each_near_key(key, |index| found.push(index));
    found
}

fn fleet(n: usize) -> ReadyReplicas {
    let mut m = ReadyReplicas::default();
    (0..n).for_each(|i| m.add(i, mix(i as u64, 1), i % 3 != 0));
    m
}

proptest! {
    /// One more replica changes a key's candidates by itself and the one it displaces; removed again, all is as before.
    #[test]
    fn a_replica_that_comes_or_goes_moves_few_candidates(n in MAX_SCANNED_REPLICAS + 1..2_000, key in any::<u64>(), far in any::<bool>()) {
        let mut m = fleet(n);
        let before: BTreeSet<usize> = candidates(&m, key).into_iter().collect();
        m.add(n, mix(n as u64, 1), far);
        let with: BTreeSet<usize> = candidates(&m, key).into_iter().collect();
        prop_assert!(before.difference(&with).count() <= 1 && with.difference(&before).count() <= 1);
        m.remove(n, mix(n as u64, 1), far);
        prop_assert!(candidates(&m, key).into_iter().eq(candidates(&fleet(n), key)));
    }
}

#[test]
fn small_fleets_are_scanned_and_large_ones_searched_after_the_key() {
    assert_eq!(candidates(&fleet(MAX_SCANNED_REPLICAS), 5).len(), MAX_SCANNED_REPLICAS);
    let large = candidates(&fleet(5_000), 5);
    assert_eq!(large.len(), 2 * REPLICAS_AFTER_KEY);
    let near = large.iter().filter(|&&i| i % 3 == 0).count();
    assert_eq!(near, REPLICAS_AFTER_KEY, "of the own zone as many, however few they are");
    let one_zone = (0..1000).fold(ReadyReplicas::default(), |mut m, i| {
        m.add(i, mix(i as u64, 1), false);
        m
    });
    assert_eq!(
        candidates(&one_zone, u64::MAX).len(),
        REPLICAS_AFTER_KEY,
        "past the end of the ring it goes on at its start"
    );
}

#[test]
fn keys_spread_over_a_large_fleet() {
    let m = fleet(3_000);
    let mut held: BTreeMap<usize, u32> = BTreeMap::new();
    for key in 0..20_000u64 {
        candidates(&m, mix(key, 2)).into_iter().for_each(|i| *held.entry(i).or_default() += 1);
    }
    // A third of the fleet is of the own zone and is half of the candidates: 960 keys each, the others 480.
    for (&i, &n) in &held {
        let mean = if i % 3 == 0 { 960.0 } else { 480.0 };
        let share = f64::from(n) / mean;
        assert!((0.4..1.8).contains(&share), "{i} holds {share:.2} of an even part");
    }
    assert_eq!(held.len(), 3_000);
}
