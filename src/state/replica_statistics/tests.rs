use super::*;

/// After so many samples a second each, of 1 where there was nothing: what the router believes.
fn believed(samples: u64, per_s: u64) -> (f64, f64) {
    let mut fleet = ReplicaStatistics::with_load_level(0.0);
    fleet.record_wait(SECOND, 0, 1e-9, 1.0);
    fleet.record_load_level(SECOND, 0.0);
    for k in 1..=samples {
        let now = SECOND + k * SECOND / per_s;
        fleet.record_wait(now, 0, 1.0, 1.0);
        fleet.record_load_level(now, 1.0);
    }
    (fleet.first_token_wait, fleet.load_level)
}

#[test]
fn what_all_see_is_believed_after_its_time_however_few_the_samples() {
    let (wait, strain) = believed(5, 1);
    assert!(wait > 0.6 && strain > 0.6, "{wait:.2} and {strain:.2} after 5 samples in 5 s");
    let (wait, strain) = believed(5, 100);
    assert!(wait < 0.25 && strain < 0.25, "five in a moment may be chance: {wait:.2}, {strain:.2}");
}

#[test]
fn a_kind_is_as_fast_as_all_until_its_streams_say_otherwise() {
    let mut fleet = ReplicaStatistics::with_load_level(0.0);
    (0..50).for_each(|_| fleet.record_stream(0, 1.0));
    fleet.record_stream(1, 10.0);
    assert!((0.5..1.0).contains(&fleet.speed_of_kind(1)), "one long stream: {}", fleet.speed_of_kind(1));
    (0..400).for_each(|n| fleet.record_stream(n % 2, f64::from(1 + n % 2)));
    let times = fleet.speed_of_kind(0) / fleet.speed_of_kind(1);
    assert!((1.8..2.2).contains(&times), "{times} times as fast, seen often");
    assert_eq!(fleet.speed_of_kind(7), 1.0, "never seen");
}

/// Guards against a kind that is avoided for good: whoever gets nothing has no samples that would say better.
#[test]
fn what_is_known_of_a_kind_fades_to_what_all_wait_for() {
    let mut fleet = ReplicaStatistics::with_load_level(0.0);
    assert_eq!(fleet.wait_for_kind(SECOND, 1), 0.0);
    (1..=20).for_each(|n| fleet.record_wait(n * SECOND, 1, 1e9, 1.0));
    (21..=40).for_each(|n| fleet.record_wait(n * SECOND, 0, 0.0, 1.0));
    assert_eq!(fleet.wait_for_kind(40 * SECOND, 9), fleet.first_token_wait, "never sampled");
    let (then, now) = (fleet.wait_for_kind(20 * SECOND, 1), fleet.wait_for_kind(44 * SECOND, 1));
    assert!(then > 0.9e9 && now < 0.1e9, "{then}, 24 s later {now}");
}

#[test]
fn the_rate_is_known_from_the_start_and_the_first_periods_are_averaged_and_less_counts_at_once() {
    let mut fleet = ReplicaStatistics::with_load_level(0.0);
    let send = |fleet: &mut ReplicaStatistics, n: u64, from: Nanos| {
        (1..=n).for_each(|k| fleet.record_first_token(from + k * 5 * SECOND / n));
    };
    for tick in 0..3 {
        let from = tick * 5 * SECOND;
        send(&mut fleet, 10, from);
        let flow = fleet.first_tokens_per_s(from + 5 * SECOND, 5 * SECOND);
        assert!((flow - 2.0).abs() < 1e-9, "{flow} before the tick");
        fleet.end_period(5.0);
        let flow = fleet.first_tokens_per_s(from + 5 * SECOND, 0);
        assert!((flow - 2.0).abs() < 1e-9, "{flow} after it");
    }
    send(&mut fleet, 1000, 15 * SECOND);
    assert!(
        (fleet.first_tokens_per_s(20 * SECOND, SECOND) - 2.0).abs() < 1e-9,
        "a burst counts from the next tick on"
    );
    assert!(fleet.first_tokens_per_s(70 * SECOND, SECOND) < 0.1, "nothing for 50 s, whatever the tick says");
}
