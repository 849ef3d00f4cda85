use super::*;
use crate::api::SECOND;

#[test]
fn a_prefix_share_is_shrunk_to_the_prior_and_decays() {
    let mut traffic = PrefixTraffic::default();
    let (one, never) = (Some(PrefixKey(1)), Some(PrefixKey(9)));
    assert!((traffic.share(one, 0.2, 150.0) - 0.2).abs() < 1e-9, "without requests the share is the prior");
    for n in 0..600u64 {
        traffic.record(SECOND, if n % 4 == 0 { one } else { None });
    }
    let share = traffic.share(one, 0.0, 150.0);
    assert!((share - 150.0 / 750.0).abs() < 1e-9, "{share}: a measured share of 1/4 with 4/5 of the weight");
    assert_eq!(traffic.share(never, 0.0, 150.0), 0.0);
    traffic.record(SECOND + 200 * SECOND, never);
    assert!(traffic.share(never, 0.0, 1.0) > 0.45, "old requests have little weight");
}

/// Guards against unbounded memory if clients never use a prefix twice.
#[test]
fn the_number_of_tracked_prefixes_is_bounded() {
    let mut traffic = PrefixTraffic::default();
    (0..5 * MAX_TRACKED_PREFIXES as u64).for_each(|n| traffic.record(SECOND, Some(PrefixKey(n))));
    assert!(traffic.by_prefix.len() <= MAX_TRACKED_PREFIXES + 1, "{}", traffic.by_prefix.len());
}
