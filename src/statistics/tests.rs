use super::*;

#[test]
fn a_beginning_s_share_is_believed_with_the_requests_seen_and_forgotten_with_time() {
    let mut b = PrefixTraffic::default();
    let (one, never) = (Some(PrefixKey(1)), Some(PrefixKey(9)));
    assert!((b.share(one, 0.2, 150.0) - 0.2).abs() < 1e-9, "nothing seen: the prior");
    for n in 0..600u64 {
        b.record(SECOND, if n % 4 == 0 { one } else { None });
    }
    let share = b.share(one, 0.0, 150.0);
    assert!((share - 150.0 / 750.0).abs() < 1e-9, "{share}: a quarter, believed for four fifths");
    assert_eq!(b.share(never, 0.0, 150.0), 0.0);
    b.record(SECOND + 200 * SECOND, never);
    assert!(b.share(never, 0.0, 1.0) > 0.45, "what was so long ago says little");
}

/// Guards against clients that never name the same beginning twice.
#[test]
fn the_beginnings_remembered_are_bounded() {
    let mut b = PrefixTraffic::default();
    (0..5 * MAX_TRACKED_PREFIXES as u64).for_each(|n| b.record(SECOND, Some(PrefixKey(n))));
    assert!(b.by_prefix.len() <= MAX_TRACKED_PREFIXES + 1, "{}", b.by_prefix.len());
}
