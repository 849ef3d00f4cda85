use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn events_are_ordered_by_time_and_then_by_insertion(times in proptest::collection::vec(0u64..20, 0..300)) {
        let mut queue = Queue::default();
        let mut expected: Vec<(Time, usize)> = times.iter().copied().zip(0..).collect();
        expected.sort_unstable();
        times.iter().zip(0..).for_each(|(&at, n)| queue.push(at, n));
        prop_assert_eq!(queue.next_time(), expected.first().map(|e| e.0));
        let popped: Vec<(Time, usize)> = std::iter::from_fn(|| queue.pop()).collect();
        prop_assert_eq!(popped, expected);
        prop_assert!(queue.is_empty());
    }
}
