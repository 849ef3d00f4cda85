//! What holds of the estimates of a replica, whatever was sampled.
#![allow(missing_docs)]

use proptest::prelude::*;
use tallypin::decode_rate::DecodeRate;
use tallypin::first_token_wait::{expected_wait, queueing_wait, ranked_wait};
use tallypin::warm_up::capacity_share;

const OBJECTIVE: f64 = 1.2e9;

proptest! {
    #[test]
    fn one_more_open_stream_always_ranks_worse(wait in 0.0f64..1e11, open in 0u32..1000) {
        prop_assert!(ranked_wait(wait, OBJECTIVE, open + 1) > ranked_wait(wait, OBJECTIVE, open));
    }

    /// All replicas slower by the same factor: the order among them stays.
    #[test]
    fn a_common_slowdown_changes_no_order(a in 1e6f64..1e9, b in 1e6f64..1e9, x in 0u32..50, y in 0u32..50, by in 1.0f64..50.0) {
        let (before, after) = (ranked_wait(a, OBJECTIVE, x) / ranked_wait(b, OBJECTIVE, y), ranked_wait(a * by, OBJECTIVE, x) / ranked_wait(b * by, OBJECTIVE, y));
        prop_assert!((before / after - 1.0).abs() < 1e-9);
    }

    /// All times scaled by one factor: the rank and the queue in it scale with them, so whoever was first stays so.
    #[test]
    fn a_ranked_wait_scales_with_all_times(wait in 1e6f64..1e9, objective in 1e8f64..1e10, open in 0u32..50, by in 1.0f64..50.0) {
        let times = ranked_wait(wait * by, objective * by, open) / ranked_wait(wait, objective, open);
        let off = queueing_wait(wait * by, objective * by) - by * queueing_wait(wait, objective);
        prop_assert!((times / by - 1.0).abs() < 1e-9 && off.abs() < 1e-6 * objective, "{} times, {} off", times, off);
    }

    /// However far off the samples are, their influence is bounded: ten times as slow is less than twice.
    #[test]
    fn samples_have_a_bounded_influence(wait in 1e6f64..1e10, off in 1.0f64..10.0) {
        let moved = expected_wait(wait * off, OBJECTIVE) / expected_wait(wait, OBJECTIVE);
        prop_assert!((1.0..2.0).contains(&moved) && (off == 1.0 || moved > 1.0));
    }

    #[test]
    fn it_is_always_a_time(wait in proptest::num::f64::POSITIVE, open in any::<u32>(), objective in 1e6f64..1e12) {
        let rank = ranked_wait(wait, objective, open);
        prop_assert!(rank.is_finite() && rank > 0.0);
    }

    /// From the initial share to all, never less later.
    #[test]
    fn capacity_grows_linearly_from_the_initial_share(share in 0.0f64..=1.0, warm_up in 0u64..100, age in 0u64..200, later in 0u64..200) {
        let at = |age| capacity_share(age, warm_up, share);
        prop_assert!(at(0) == share && at(age) <= at(age + later) && at(age + later) <= 1.0);
        prop_assert!(warm_up == 0 || (at(warm_up) - 1.0).abs() < 1e-12);
    }
}

/// A node with so many streams open at once, each of `secs`, for `spell` s; its rate then.
fn after_streams(rate: &mut DecodeRate, now: &mut u64, open: u32, secs: f64, spell: f64) {
    let every = secs / f64::from(open);
    for _ in 0..(spell / every) as u32 {
        rate.stream_ended(*now, true);
        rate.stream_began(*now);
        *now += (every * 1e9) as u64;
    }
}

fn busy(open: u32) -> DecodeRate {
    let mut rate = DecodeRate::default();
    (0..open).for_each(|_| rate.stream_began(0));
    rate
}

proptest! {
    /// Crowding is no slowness of its own: the rate is that of the streams, however many are open.
    #[test]
    fn a_steady_replica_is_seen_as_slow_as_it_is(open in 2u32..40, by in 0.3f64..8.0) {
        let (mut rate, mut now) = (busy(open), 0);
        after_streams(&mut rate, &mut now, open, 3.0 * by, 60.0);
        let seen = rate.relative_duration(now, 3.0, 1.0);
        // Shrunk towards 1, so between the two; more evidence, nearer.
        let (low, high) = if by < 1.0 { (by * 0.9, 1.05) } else { (0.95, by * 1.1) };
        prop_assert!(low <= seen.factor && seen.factor <= high, "{} for {}", seen.factor, by);
        prop_assert!(seen.log_std_dev > 0.0 && seen.log_std_dev <= 0.5);
        if open > 20 && by < 2.0 {
            prop_assert!((seen.factor / by - 1.0).abs() < 0.25, "{} for {}", seen.factor, by);
        }
    }

    /// However slow all are together, none is slow.
    #[test]
    fn a_common_slowdown_is_none(open in 2u32..40, secs in 0.5f64..30.0) {
        let (mut rate, mut now) = (busy(open), 0);
        after_streams(&mut rate, &mut now, open, secs, 90.0);
        let seen = rate.relative_duration(now, secs, 1.0).factor;
        prop_assert!((seen - 1.0).abs() < 0.15, "{seen}");
    }

    /// One answer, however long, is no proof.
    #[test]
    fn one_sample_has_a_bounded_influence(open in 5u32..40, long in 1.0f64..1e4) {
        let (mut rate, mut now) = (busy(open), 0);
        after_streams(&mut rate, &mut now, open, 3.0, 30.0);
        let before = rate.relative_duration(now, 3.0, 1.0).factor;
        rate.stream_began(now);
        // The long one goes on alone beside the usual.
        after_streams(&mut rate, &mut now, open, 3.0, long.min(60.0));
        let after = rate.relative_duration(now, 3.0, 1.0).factor;
        prop_assert!((after / before - 1.0).abs() < 0.35, "{before} to {after}");
    }

    #[test]
    fn a_relative_duration_is_always_a_number(at in any::<u64>(), then in any::<u64>(), mean in 0.0f64..1e6, warm in 0.0f64..=1.0) {
        let mut rate = DecodeRate::default();
        rate.stream_began(at);
        rate.stream_ended(then, false);
        rate.stream_ended(then, true);
        let seen = rate.relative_duration(at, mean, warm);
        prop_assert!(seen.factor.is_finite() && seen.factor >= 0.0 && seen.log_std_dev.is_finite());
    }
}

#[test]
fn a_replica_that_stops_is_seen_before_any_stream_has_ended_and_recovers() {
    let (mut rate, mut now) = (busy(10), 0);
    after_streams(&mut rate, &mut now, 10, 3.0, 30.0);
    assert!((rate.relative_duration(now, 3.0, 1.0).factor - 1.0).abs() < 0.1);
    now += 5_000_000_000;
    let stuck = rate.relative_duration(now, 3.0, 1.0).factor;
    assert!(stuck > 1.5, "{stuck} after 5 s without an end");
    now += 15_000_000_000;
    let longer = rate.relative_duration(now, 3.0, 1.0).factor;
    assert!(longer > 2.0 * stuck, "{longer} after 20 s");
    // At its usual rate again: within four half-lives it counts as usual.
    after_streams(&mut rate, &mut now, 10, 3.0, 24.0);
    let back = rate.relative_duration(now, 3.0, 1.0).factor;
    assert!(back < 1.3, "{back} 24 s later");
}

#[test]
fn a_replica_that_warms_up_is_as_usual_at_its_capacity() {
    let (mut rate, mut now) = (busy(10), 0);
    after_streams(&mut rate, &mut now, 10, 12.0, 60.0);
    assert!((rate.relative_duration(now, 3.0, 0.25).factor - 1.0).abs() < 0.1);
    assert!(rate.relative_duration(now, 3.0, 1.0).factor > 2.0);
}
