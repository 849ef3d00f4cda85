use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    /// Whatever comes and goes, in whatever order: the same as an ordered set holds.
    #[test]
    fn members_are_a_set(changes in proptest::collection::vec((any::<bool>(), 0usize..40), 0..200)) {
        let (mut members, mut set) = (ReplicaSet::default(), BTreeSet::new());
        for (add, place) in changes {
            let changed = if add { members.add(place) } else { members.remove(place) };
            prop_assert_eq!(changed, if add { set.insert(place) } else { set.remove(&place) });
            let mut all = members.all().to_vec();
            all.sort_unstable();
            prop_assert!(all.iter().eq(set.iter()));
        }
    }
}
