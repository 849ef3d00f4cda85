use super::*;

/// Returns the smoothed wait and load level after `samples` samples of 1, `per_s` per second, that follow a sample of 0.
fn smoothed_after(samples: u64, per_s: u64) -> (f64, f64) {
    let mut statistics = ReplicaStatistics::with_load_level(0.0);
    statistics.record_wait(SECOND, 0, 1e-9, 1.0);
    statistics.record_load_level(SECOND, 0.0);
    for k in 1..=samples {
        let now = SECOND + k * SECOND / per_s;
        statistics.record_wait(now, 0, 1.0, 1.0);
        statistics.record_load_level(now, 1.0);
    }
    (statistics.first_token_wait, statistics.load_level)
}

#[test]
fn few_samples_over_time_weigh_more_than_many_at_once() {
    let (wait, load_level) = smoothed_after(5, 1);
    assert!(wait > 0.6 && load_level > 0.6, "{wait:.2} and {load_level:.2} after 5 samples in 5 s");
    let (wait, load_level) = smoothed_after(5, 100);
    assert!(wait < 0.25 && load_level < 0.25, "5 samples in 50 ms may be chance: {wait:.2}, {load_level:.2}");
}

#[test]
fn speed_of_a_kind_is_shrunk_to_the_mean_until_it_has_many_streams() {
    let mut statistics = ReplicaStatistics::with_load_level(0.0);
    (0..50).for_each(|_| statistics.record_stream(0, 1.0));
    statistics.record_stream(1, 10.0);
    assert!(
        (0.5..1.0).contains(&statistics.speed_of_kind(1)),
        "after one long stream: {}",
        statistics.speed_of_kind(1)
    );
    (0..400).for_each(|n| statistics.record_stream(n % 2, f64::from(1 + n % 2)));
    let times = statistics.speed_of_kind(0) / statistics.speed_of_kind(1);
    assert!((1.8..2.2).contains(&times), "{times} times as fast after many streams");
    assert_eq!(statistics.speed_of_kind(7), 1.0, "kind without streams");
}

/// Guards against a kind that is avoided forever: without requests it gets no samples that could lower its wait.
#[test]
fn wait_of_a_kind_decays_to_the_mean_without_samples() {
    let mut statistics = ReplicaStatistics::with_load_level(0.0);
    assert_eq!(statistics.smoothed_wait_of_kind(SECOND, 1), 0.0);
    (1..=20).for_each(|n| statistics.record_wait(n * SECOND, 1, 1e9, 1.0));
    (21..=40).for_each(|n| statistics.record_wait(n * SECOND, 0, 0.0, 1.0));
    assert_eq!(
        statistics.smoothed_wait_of_kind(40 * SECOND, 9),
        statistics.first_token_wait,
        "never sampled"
    );
    let (before, after) =
        (statistics.smoothed_wait_of_kind(20 * SECOND, 1), statistics.smoothed_wait_of_kind(44 * SECOND, 1));
    assert!(before > 0.9e9 && after < 0.1e9, "{before}, {after} after 24 s without samples");
}

#[test]
fn first_token_rate_averages_the_first_periods_and_follows_drops_at_once() {
    let mut statistics = ReplicaStatistics::with_load_level(0.0);
    let send = |statistics: &mut ReplicaStatistics, n: u64, from: Nanos| {
        (1..=n).for_each(|k| statistics.record_first_token(from + k * 5 * SECOND / n));
    };
    for period in 0..3 {
        let from = period * 5 * SECOND;
        send(&mut statistics, 10, from);
        let rate = statistics.first_tokens_per_s(from + 5 * SECOND, 5 * SECOND);
        assert!((rate - 2.0).abs() < 1e-9, "{rate} before the period ended");
        statistics.end_period(5.0);
        let rate = statistics.first_tokens_per_s(from + 5 * SECOND, 0);
        assert!((rate - 2.0).abs() < 1e-9, "{rate} after the period ended");
    }
    send(&mut statistics, 1000, 15 * SECOND);
    assert!(
        (statistics.first_tokens_per_s(20 * SECOND, SECOND) - 2.0).abs() < 1e-9,
        "a burst counts after the end of its period"
    );
    assert!(statistics.first_tokens_per_s(70 * SECOND, SECOND) < 0.1, "no first token for 50 s");
}
