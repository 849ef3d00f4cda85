//! Properties that the estimates of a replica keep for any samples.
#![allow(missing_docs)]

use proptest::prelude::*;
use tallypin::decode_rate::DecodeRate;
use tallypin::first_token_wait::{expected_wait, queueing_wait, ranking_wait};
use tallypin::warm_up::capacity_share;

const OBJECTIVE: f64 = 1.2e9;

proptest! {
    #[test]
    fn one_more_open_stream_always_ranks_a_replica_worse(wait in 0.0f64..1e11, open_streams in 0u32..1000) {
        prop_assert!(ranking_wait(wait, OBJECTIVE, open_streams + 1) > ranking_wait(wait, OBJECTIVE, open_streams));
    }

    /// If all replicas slow down by the same factor, their order stays.
    #[test]
    fn a_common_slowdown_keeps_the_order(
        wait_a in 1e6f64..1e9, wait_b in 1e6f64..1e9, open_a in 0u32..50, open_b in 0u32..50, factor in 1.0f64..50.0
    ) {
        let (before, after) = (
            ranking_wait(wait_a, OBJECTIVE, open_a) / ranking_wait(wait_b, OBJECTIVE, open_b),
            ranking_wait(wait_a * factor, OBJECTIVE, open_a) / ranking_wait(wait_b * factor, OBJECTIVE, open_b)
        );
        prop_assert!((before / after - 1.0).abs() < 1e-9);
    }

    /// If all times scale by one factor, ranked wait and queueing wait scale with them, so the order stays.
    #[test]
    fn a_ranked_wait_scales_with_all_times(
        wait in 1e6f64..1e9, objective in 1e8f64..1e10, open_streams in 0u32..50, factor in 1.0f64..50.0
    ) {
        let scale = ranking_wait(wait * factor, objective * factor, open_streams) / ranking_wait(wait, objective, open_streams);
        let queueing_error = queueing_wait(wait * factor, objective * factor) - factor * queueing_wait(wait, objective);
        prop_assert!(
            (scale / factor - 1.0).abs() < 1e-9 && queueing_error.abs() < 1e-6 * objective,
            "ranked wait scaled by {}, queueing wait off by {}", scale, queueing_error
        );
    }

    /// The influence of a sample is bounded: a wait up to ten times as long less than doubles the expected wait.
    #[test]
    fn samples_have_a_bounded_influence(wait in 1e6f64..1e10, deviation in 1.0f64..10.0) {
        let change = expected_wait(wait * deviation, OBJECTIVE) / expected_wait(wait, OBJECTIVE);
        prop_assert!((1.0..2.0).contains(&change) && (deviation == 1.0 || change > 1.0));
    }

    #[test]
    fn a_ranked_wait_is_always_finite_and_positive(
        wait in proptest::num::f64::POSITIVE, open_streams in any::<u32>(), objective in 1e6f64..1e12
    ) {
        let rank = ranking_wait(wait, objective, open_streams);
        prop_assert!(rank.is_finite() && rank > 0.0);
    }

    /// The capacity share grows from the initial share to 1 and never falls.
    #[test]
    fn capacity_grows_from_the_initial_share_to_1(
        share in 0.0f64..=1.0, warm_up in 0u64..100, age in 0u64..200, later in 0u64..200
    ) {
        let at = |age| capacity_share(age, warm_up, share);
        prop_assert!(at(0) == share && at(age) <= at(age + later) && at(age + later) <= 1.0);
        prop_assert!(warm_up == 0 || (at(warm_up) - 1.0).abs() < 1e-12);
    }
}

/// Runs `open_streams` concurrent streams of `stream_secs` s each for `run_secs` s at a replica.
fn run_streams(rate: &mut DecodeRate, now: &mut u64, open_streams: u32, stream_secs: f64, run_secs: f64) {
    let interval_secs = stream_secs / f64::from(open_streams);
    for _ in 0..(run_secs / interval_secs) as u32 {
        rate.stream_ended(*now, true);
        rate.stream_began(*now);
        *now += (interval_secs * 1e9) as u64;
    }
}

/// The estimate at the end of [`run_streams`], as sums over its streams: the streams that have ended and the seconds observed,
/// each with half of its weight 6 s later, and 4 streams of the mean duration as prior.
fn expected_relative_duration(open_streams: u32, stream_secs: f64, run_secs: f64, mean_secs: f64) -> f64 {
    let interval_secs = stream_secs / f64::from(open_streams);
    let count = (run_secs / interval_secs) as u32;
    let ended: f64 = (1..=count).map(|n| (-f64::from(n) * interval_secs / 6.0).exp2()).sum();
    let weight = 1.0 - (-f64::from(count) * interval_secs / 6.0).exp2();
    let observed_secs = f64::from(open_streams) * weight * 6.0 / std::f64::consts::LN_2;
    (observed_secs / mean_secs + 4.0) / (ended + 4.0)
}

/// The decode rate of a replica with `open_streams` open streams.
fn rate_with_streams(open_streams: u32) -> DecodeRate {
    let mut rate = DecodeRate::default();
    (0..open_streams).for_each(|_| rate.stream_began(0));
    rate
}

proptest! {
    /// The relative duration depends on the duration of the streams, not on their number.
    #[test]
    fn a_steadily_slow_replica_gets_its_relative_duration(open_streams in 2u32..40, factor in 0.3f64..8.0) {
        let (mut rate, mut now) = (rate_with_streams(open_streams), 0);
        run_streams(&mut rate, &mut now, open_streams, 3.0 * factor, 60.0);
        let relative = rate.relative_duration(now, 3.0, 1.0);
        let expected = expected_relative_duration(open_streams, 3.0 * factor, 60.0, 3.0);
        prop_assert!(
            (relative.factor / expected - 1.0).abs() < 1e-6,
            "a relative duration of {}, expected {}", relative.factor, expected
        );
        // The estimate is shrunk towards 1, less with more samples. No stream has ended since the last one, one interval ago.
        let (low, high) = (factor.min(1.0) * 0.9, factor.max(1.0) * 1.1);
        prop_assert!(
            low <= relative.factor && relative.factor <= high,
            "a relative duration of {}, expected about {}", relative.factor, factor
        );
        prop_assert!(relative.log_std_dev > 0.0 && relative.log_std_dev <= 0.5);
        if open_streams > 20 && factor < 2.0 {
            prop_assert!(
                (relative.factor / factor - 1.0).abs() < 0.25,
                "a relative duration of {}, expected about {}", relative.factor, factor
            );
        }
    }

    /// If all replicas are slow alike, none counts as slow.
    #[test]
    fn a_common_slowdown_gives_a_relative_duration_of_1(open_streams in 2u32..40, stream_secs in 0.5f64..30.0) {
        let (mut rate, mut now) = (rate_with_streams(open_streams), 0);
        run_streams(&mut rate, &mut now, open_streams, stream_secs, 90.0);
        let relative = rate.relative_duration(now, stream_secs, 1.0).factor;
        prop_assert!((relative - 1.0).abs() < 0.15, "a relative duration of {relative}");
    }

    /// A single stream, however long, changes the estimate only a little.
    #[test]
    fn one_sample_has_a_bounded_influence(open_streams in 5u32..40, long_secs in 1.0f64..1e4) {
        let (mut rate, mut now) = (rate_with_streams(open_streams), 0);
        run_streams(&mut rate, &mut now, open_streams, 3.0, 30.0);
        let before = rate.relative_duration(now, 3.0, 1.0).factor;
        rate.stream_began(now);
        // One more stream stays open while the usual ones go on.
        run_streams(&mut rate, &mut now, open_streams, 3.0, long_secs.min(60.0));
        let after = rate.relative_duration(now, 3.0, 1.0).factor;
        prop_assert!((after / before - 1.0).abs() < 0.35, "a relative duration from {before} to {after}");
    }

    #[test]
    fn a_relative_duration_is_always_a_number(
        at in any::<u64>(), then in any::<u64>(), mean_secs in 0.0f64..1e6, capacity_share in 0.0f64..=1.0
    ) {
        let mut rate = DecodeRate::default();
        rate.stream_began(at);
        rate.stream_ended(then, false);
        rate.stream_ended(then, true);
        let relative = rate.relative_duration(at, mean_secs, capacity_share);
        prop_assert!(relative.factor.is_finite() && relative.factor >= 0.0 && relative.log_std_dev.is_finite());
    }
}

#[test]
fn a_replica_that_stalls_is_detected_before_any_stream_ends_and_recovers() {
    let (mut rate, mut now) = (rate_with_streams(10), 0);
    run_streams(&mut rate, &mut now, 10, 3.0, 30.0);
    assert!((rate.relative_duration(now, 3.0, 1.0).factor - 1.0).abs() < 0.1);
    now += 5_000_000_000;
    let stalled = rate.relative_duration(now, 3.0, 1.0).factor;
    assert!(stalled > 1.5, "a relative duration of {stalled} after 5 s without the end of a stream");
    now += 15_000_000_000;
    let longer = rate.relative_duration(now, 3.0, 1.0).factor;
    assert!(longer > 2.0 * stalled, "a relative duration of {longer} after 20 s");
    // After four half-lives at its usual rate the replica counts as usual again.
    run_streams(&mut rate, &mut now, 10, 3.0, 24.0);
    let recovered = rate.relative_duration(now, 3.0, 1.0).factor;
    assert!(recovered < 1.3, "a relative duration of {recovered} after 24 s at the usual rate");
}

#[test]
fn a_warming_replica_is_compared_at_its_capacity_share() {
    let (mut rate, mut now) = (rate_with_streams(10), 0);
    run_streams(&mut rate, &mut now, 10, 12.0, 60.0);
    assert!((rate.relative_duration(now, 3.0, 0.25).factor - 1.0).abs() < 0.1);
    assert!(rate.relative_duration(now, 3.0, 1.0).factor > 2.0);
}
