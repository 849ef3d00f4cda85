//! What holds of the ranking estimate, whatever was sampled.
#![allow(missing_docs)]

use proptest::prelude::*;
use tallypin::estimate::{believed, queued, ranked, warmth, Pace};

const AIM: f64 = 1.2e9;

proptest! {
    #[test]
    fn one_more_open_stream_always_ranks_worse(wait in 0.0f64..1e11, open in 0u32..1000) {
        prop_assert!(ranked(wait, AIM, open + 1) > ranked(wait, AIM, open));
    }

    /// All replicas slower by the same factor: the order among them stays.
    #[test]
    fn a_common_slowdown_changes_no_order(a in 1e6f64..1e9, b in 1e6f64..1e9, x in 0u32..50, y in 0u32..50, by in 1.0f64..50.0) {
        let (before, after) = (ranked(a, AIM, x) / ranked(b, AIM, y), ranked(a * by, AIM, x) / ranked(b * by, AIM, y));
        prop_assert!((before / after - 1.0).abs() < 1e-9);
    }

    /// All times scaled by one factor: the rank and the queue in it scale with them, so whoever was first stays so.
    #[test]
    fn a_rank_has_no_time_of_its_own(wait in 1e6f64..1e9, aim in 1e8f64..1e10, open in 0u32..50, by in 1.0f64..50.0) {
        let times = ranked(wait * by, aim * by, open) / ranked(wait, aim, open);
        let off = queued(wait * by, aim * by) - by * queued(wait, aim);
        prop_assert!((times / by - 1.0).abs() < 1e-9 && off.abs() < 1e-6 * aim, "{} times, {} off", times, off);
    }

    /// However far off the samples are, their influence is bounded: ten times as slow is less than twice.
    #[test]
    fn samples_have_a_bounded_influence(wait in 1e6f64..1e10, off in 1.0f64..10.0) {
        let moved = believed(wait * off, AIM) / believed(wait, AIM);
        prop_assert!((1.0..2.0).contains(&moved) && (off == 1.0 || moved > 1.0));
    }

    #[test]
    fn it_is_always_a_time(wait in proptest::num::f64::POSITIVE, open in any::<u32>(), aim in 1e6f64..1e12) {
        let rank = ranked(wait, aim, open);
        prop_assert!(rank.is_finite() && rank > 0.0);
    }

    /// From the cold share to all, never less later.
    #[test]
    fn warmth_grows_evenly_from_the_cold_share(share in 0.0f64..=1.0, cold in 0u64..100, age in 0u64..200, later in 0u64..200) {
        let at = |age| warmth(age, cold, share);
        prop_assert!(at(0) == share && at(age) <= at(age + later) && at(age + later) <= 1.0);
        prop_assert!(cold == 0 || (at(cold) - 1.0).abs() < 1e-12);
    }
}

/// A node with so many streams open at once, each of `secs`, for `spell` s; its pace then.
fn after_streams(pace: &mut Pace, now: &mut u64, open: u32, secs: f64, spell: f64) {
    let every = secs / f64::from(open);
    for _ in 0..(spell / every) as u32 {
        pace.ended(*now, true);
        pace.begun(*now);
        *now += (every * 1e9) as u64;
    }
}

fn busy(open: u32) -> Pace {
    let mut pace = Pace::default();
    (0..open).for_each(|_| pace.begun(0));
    pace
}

proptest! {
    /// Crowding is no slowness of its own: the pace is that of the streams, however many are open.
    #[test]
    fn a_steady_node_is_seen_as_slow_as_it_is(open in 2u32..40, by in 0.3f64..8.0) {
        let (mut pace, mut now) = (busy(open), 0);
        after_streams(&mut pace, &mut now, open, 3.0 * by, 60.0);
        let seen = pace.slowness(now, 3.0, 1.0);
        // Shrunk towards 1, so between the two; more evidence, nearer.
        let (low, high) = if by < 1.0 { (by * 0.9, 1.05) } else { (0.95, by * 1.1) };
        prop_assert!(low <= seen.times && seen.times <= high, "{} for {}", seen.times, by);
        prop_assert!(seen.unsure > 0.0 && seen.unsure <= 0.5);
        if open > 20 && by < 2.0 {
            prop_assert!((seen.times / by - 1.0).abs() < 0.25, "{} for {}", seen.times, by);
        }
    }

    /// However slow all are together, none is slow.
    #[test]
    fn a_common_slowdown_is_none(open in 2u32..40, secs in 0.5f64..30.0) {
        let (mut pace, mut now) = (busy(open), 0);
        after_streams(&mut pace, &mut now, open, secs, 90.0);
        let seen = pace.slowness(now, secs, 1.0).times;
        prop_assert!((seen - 1.0).abs() < 0.15, "{seen}");
    }

    /// One answer, however long, is no proof.
    #[test]
    fn one_sample_has_a_bounded_influence(open in 5u32..40, long in 1.0f64..1e4) {
        let (mut pace, mut now) = (busy(open), 0);
        after_streams(&mut pace, &mut now, open, 3.0, 30.0);
        let before = pace.slowness(now, 3.0, 1.0).times;
        pace.begun(now);
        // The long one goes on alone beside the usual.
        after_streams(&mut pace, &mut now, open, 3.0, long.min(60.0));
        let after = pace.slowness(now, 3.0, 1.0).times;
        prop_assert!((after / before - 1.0).abs() < 0.35, "{before} to {after}");
    }

    #[test]
    fn a_pace_is_always_a_number(at in any::<u64>(), then in any::<u64>(), mean in 0.0f64..1e6, warm in 0.0f64..=1.0) {
        let mut pace = Pace::default();
        pace.begun(at);
        pace.ended(then, false);
        pace.ended(then, true);
        let seen = pace.slowness(at, mean, warm);
        prop_assert!(seen.times.is_finite() && seen.times >= 0.0 && seen.unsure.is_finite());
    }
}

#[test]
fn who_stops_is_seen_before_any_stream_has_ended_and_a_slow_spell_is_forgotten() {
    let (mut pace, mut now) = (busy(10), 0);
    after_streams(&mut pace, &mut now, 10, 3.0, 30.0);
    assert!((pace.slowness(now, 3.0, 1.0).times - 1.0).abs() < 0.1);
    now += 5_000_000_000;
    let stuck = pace.slowness(now, 3.0, 1.0).times;
    assert!(stuck > 1.5, "{stuck} after 5 s without an end");
    now += 15_000_000_000;
    let longer = pace.slowness(now, 3.0, 1.0).times;
    assert!(longer > 2.0 * stuck, "{longer} after 20 s");
    // At its usual pace again: within four half-lives it counts as usual.
    after_streams(&mut pace, &mut now, 10, 3.0, 24.0);
    let back = pace.slowness(now, 3.0, 1.0).times;
    assert!(back < 1.3, "{back} 24 s later");
}

#[test]
fn a_cold_node_is_as_usual_at_the_pace_of_its_warmth() {
    let (mut pace, mut now) = (busy(10), 0);
    after_streams(&mut pace, &mut now, 10, 12.0, 60.0);
    assert!((pace.slowness(now, 3.0, 0.25).times - 1.0).abs() < 0.1);
    assert!(pace.slowness(now, 3.0, 1.0).times > 2.0);
}
