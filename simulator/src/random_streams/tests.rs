use super::*;
use rand::RngCore;

#[test]
fn streams_are_reproducible_and_differ_by_seed_and_name() {
    let first_number = |seed, name| stream(seed, name).next_u64();
    assert_eq!(first_number(1, "arrivals"), first_number(1, "arrivals"));
    assert_ne!(first_number(1, "arrivals"), first_number(2, "arrivals"));
    assert_ne!(first_number(1, "arrivals"), first_number(1, "prompts"));
}
