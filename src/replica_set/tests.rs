use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    /// After random additions and removals, the set equals a `BTreeSet` with the same changes.
    #[test]
    fn random_changes_give_the_same_set_as_btree_set(changes in proptest::collection::vec((any::<bool>(), 0usize..40), 0..200)) {
        let (mut replicas, mut set) = (ReplicaSet::default(), BTreeSet::new());
        for (add, index) in changes {
            let changed = if add { replicas.add(index) } else { replicas.remove(index) };
            prop_assert_eq!(changed, if add { set.insert(index) } else { set.remove(&index) });
            let mut all = replicas.all().to_vec();
            all.sort_unstable();
            prop_assert!(all.iter().eq(set.iter()));
        }
    }
}
