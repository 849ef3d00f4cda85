use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn events_come_by_time_and_then_as_put_in(times in proptest::collection::vec(0u64..20, 0..300)) {
        let mut queue = Queue::default();
        let mut expected: Vec<(Time, usize)> = times.iter().copied().zip(0..).collect();
        expected.sort_unstable();
        times.iter().zip(0..).for_each(|(&at, n)| queue.put(at, n));
        prop_assert_eq!(queue.next_at(), expected.first().map(|e| e.0));
        let came: Vec<(Time, usize)> = std::iter::from_fn(|| queue.take()).collect();
        prop_assert_eq!(came, expected);
        prop_assert!(queue.is_empty());
    }
}
