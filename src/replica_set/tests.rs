use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    /// Whatever comes and goes, in whatever order: the same as an ordered set holds.
    #[test]
    fn it_holds_what_an_ordered_set_holds(changes in proptest::collection::vec((any::<bool>(), 0usize..40), 0..200)) {
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
