use super::*;
use rand::RngCore;

#[test]
fn streams_are_the_same_each_time_and_differ_by_seed_and_name() {
    let first = |seed, name| stream(seed, name).next_u64();
    assert_eq!(first(1, "arrivals"), first(1, "arrivals"));
    assert_ne!(first(1, "arrivals"), first(2, "arrivals"));
    assert_ne!(first(1, "arrivals"), first(1, "prompts"));
}
