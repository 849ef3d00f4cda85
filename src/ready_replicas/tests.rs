use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn contenders(replicas: &ReadyReplicas, key: u64) -> Vec<usize> {
    let mut contenders = Vec::new();
    replicas.for_each_contender(key, |index| contenders.push(index));
    contenders
}

fn fleet(n: usize) -> ReadyReplicas {
    let mut replicas = ReadyReplicas::default();
    (0..n).for_each(|i| replicas.add(i, mix(i as u64, 1), i % 3 != 0));
    replicas
}

proptest! {
    /// Adding a replica changes at most one other contender of a key, and removing it restores the former contenders.
    #[test]
    fn adding_or_removing_a_replica_moves_few_contenders(n in MAX_SCANNED_REPLICAS + 1..2_000, key in any::<u64>(), other_zone in any::<bool>()) {
        let mut replicas = fleet(n);
        let before: BTreeSet<usize> = contenders(&replicas, key).into_iter().collect();
        replicas.add(n, mix(n as u64, 1), other_zone);
        let with: BTreeSet<usize> = contenders(&replicas, key).into_iter().collect();
        prop_assert!(before.difference(&with).count() <= 1 && with.difference(&before).count() <= 1);
        replicas.remove(n, mix(n as u64, 1), other_zone);
        prop_assert!(contenders(&replicas, key).into_iter().eq(contenders(&fleet(n), key)));
    }
}

#[test]
fn small_fleets_are_scanned_and_large_ones_searched_on_the_ring() {
    assert_eq!(contenders(&fleet(MAX_SCANNED_REPLICAS), 5).len(), MAX_SCANNED_REPLICAS);
    let large = contenders(&fleet(5_000), 5);
    assert_eq!(large.len(), 2 * REPLICAS_AFTER_KEY);
    let in_own_zone = large.iter().filter(|&&i| i % 3 == 0).count();
    assert_eq!(in_own_zone, REPLICAS_AFTER_KEY, "half of the contenders are of the own zone");
    let one_zone = (0..1000).fold(ReadyReplicas::default(), |mut replicas, i| {
        replicas.add(i, mix(i as u64, 1), false);
        replicas
    });
    assert_eq!(
        contenders(&one_zone, u64::MAX).len(),
        REPLICAS_AFTER_KEY,
        "the search wraps around at the end of the ring"
    );
}

#[test]
fn keys_are_spread_evenly_over_a_large_fleet() {
    let replicas = fleet(3_000);
    let mut keys_of: BTreeMap<usize, u32> = BTreeMap::new();
    for key in 0..20_000u64 {
        contenders(&replicas, mix(key, 2)).into_iter().for_each(|i| *keys_of.entry(i).or_default() += 1);
    }
    // A third of the fleet is in the own zone and gives half of the contenders: 960 keys per replica, and 480 for others.
    for (&i, &n) in &keys_of {
        let mean = if i % 3 == 0 { 960.0 } else { 480.0 };
        let share = f64::from(n) / mean;
        assert!((0.4..1.8).contains(&share), "replica {i} has {share:.2} of an even share");
    }
    assert_eq!(keys_of.len(), 3_000);
}
