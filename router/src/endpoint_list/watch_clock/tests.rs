use super::*;
use proptest::prelude::*;
use tallypin::api::SECOND;

const MS: Nanos = SECOND / 1000;
const PUSHED: WatchTimeouts = WatchTimeouts {
    answer: Duration::from_millis(250),
    stall: Duration::from_millis(1000),
    silence: Duration::from_secs(3),
    reconnect: Some(Duration::from_millis(200)),
};

/// Simulates an agent that is silent in outages, and otherwise answers immediately and sends a keep-alive every 2 s to
/// watches that have not fallen silent. Returns the longest time in which the agent answered and no watch was established.
fn longest_unwatched(outages: &[(Nanos, Nanos)], silences: &[Nanos], end: Nanos) -> Nanos {
    let clock = WatchClock::new(PUSHED);
    let down = |t: Nanos| outages.iter().any(|&(from, to)| (from..to).contains(&t));
    let (mut watch_silent, mut unwatched, mut longest) = (true, 0, 0);
    clock.request_watch(0);
    for t in (0..end).step_by(MS as usize) {
        watch_silent |= silences.contains(&t) || down(t);
        match clock.next_step(t) {
            WatchStep::Open => {
                clock.watch_opened(t);
                watch_silent = down(t);
                if !watch_silent {
                    clock.record_activity(t);
                }
            }
            WatchStep::Abandon => clock.watch_lost(t, 1.0),
            WatchStep::Wait(_) => {}
        }
        if !watch_silent && t % (2 * SECOND) == 0 {
            clock.record_activity(t);
        }
        unwatched = if watch_silent && !down(t) { unwatched + MS } else { 0 };
        longest = longest.max(unwatched);
    }
    longest
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    /// A router counts as notified of a change, such as a drain, 6 s after it, whether it has received it or not. A watch has
    /// to be established before then. After an outage of the agent longer than the silence timeout (3 s), one is established
    /// within 451 ms. A watch that falls silent is replaced within 3,202 ms, so before the router counts as notified of the
    /// changes that the silent watch missed.
    #[test]
    fn an_agent_is_not_unwatched_for_long(from in 1u64..8_000, duration in 4_001u64..15_000, silences in 0u64..30_000) {
    let outage = [(from * MS, (from + duration) * MS)];
        let after_outage = longest_unwatched(&outage, &[], 30 * SECOND);
        prop_assert!(after_outage <= 451 * MS, "{} ms after an outage", after_outage / MS);
        let silent = longest_unwatched(&[], &[silences * MS], 40 * SECOND);
        prop_assert!(silent <= 3_202 * MS, "{} ms", silent / MS);
    }
}

#[test]
fn a_polled_list_is_watched_when_requested() {
    let clock = WatchClock::new(WatchTimeouts { answer: Duration::from_secs(2), reconnect: None, ..PUSHED });
    assert_eq!(clock.next_step(0), WatchStep::Wait(None));
    clock.request_watch(5);
    assert_eq!(clock.next_step(5), WatchStep::Open);
    clock.watch_opened(5);
    assert_eq!(clock.next_step(6), WatchStep::Wait(Some(5 + 2 * SECOND)));
    assert_eq!(
        clock.next_step(5 + 2 * SECOND),
        WatchStep::Abandon,
        "the decision module learns that the call has failed"
    );
    clock.record_activity(SECOND);
    assert_eq!(clock.next_step(SECOND), WatchStep::Wait(Some(4 * SECOND)));
    assert_eq!(clock.next_step(4 * SECOND), WatchStep::Abandon);
    clock.watch_lost(4 * SECOND, 1.0);
    assert_eq!(clock.next_step(60 * SECOND), WatchStep::Wait(None), "the clock makes no call of its own");
}

/// Guards against an exponential backoff: the routers refused most often would retry least often, and be the last to get
/// the list.
#[test]
fn the_interval_between_calls_does_not_grow_with_losses_and_is_spread() {
    let interval = Some(Duration::from_millis(300));
    let clock = WatchClock::new(WatchTimeouts { reconnect: interval, ..PUSHED });
    let wait = |random| {
        clock.watch_lost(0, random);
        match clock.next_step(0) {
            WatchStep::Wait(Some(at)) => at / MS,
            step => panic!("{step:?}"),
        }
    };
    assert!((0..100).all(|_| wait(1.0) == 300));
    assert_eq!(clock.losses(), 100);
    assert_eq!(wait(0.0), 150, "half of the interval is random");
    clock.record_activity(0);
    assert_eq!((clock.losses(), wait(1.0)), (0, 300));
}

/// Guards against a full interval after a call that was slow to fail. When discovery moved and its new address answered
/// three calls with half a list each, the answer timeout and the interval added up, and a router sent a request to a removed
/// replica 0.1 s too late.
#[test]
fn a_call_that_was_slow_to_fail_is_retried_early() {
    let interval = Duration::from_secs(1);
    let clock = WatchClock::new(WatchTimeouts { reconnect: Some(interval), ..PUSHED });
    let next_call = |failed_at, random| {
        clock.request_watch(0);
        clock.watch_opened(0);
        clock.watch_lost(failed_at, random);
        match clock.next_step(0) {
            WatchStep::Wait(Some(at)) => at / MS,
            step => panic!("{step:?}"),
        }
    };
    assert_eq!([next_call(0, 0.0), next_call(0, 1.0)], [500, 1_000], "a call that fails immediately");
    assert_eq!([next_call(600 * MS, 0.0), next_call(600 * MS, 1.0)], [600, 1_100]);
    assert_eq!([next_call(2 * SECOND, 0.0), next_call(2 * SECOND, 1.0)], [2_000, 2_500], "calls are spread");
}

/// Guards against an incomplete message, and any data after it, counting as a keep-alive.
#[test]
fn a_watch_with_a_stalled_message_is_abandoned() {
    let clock = WatchClock::new(PUSHED);
    clock.request_watch(0);
    clock.watch_opened(0);
    clock.record_incomplete(100 * MS);
    assert!(!clock.is_established());
    assert_eq!(clock.next_step(1_099 * MS), WatchStep::Wait(Some(1_100 * MS)));
    clock.record_incomplete(300 * MS);
    assert_eq!(clock.next_step(1_100 * MS), WatchStep::Wait(Some(1_300 * MS)), "more of the message arrived");
    assert_eq!(clock.next_step(1_300 * MS), WatchStep::Abandon);
    assert!(clock.record_activity(500 * MS), "the first activity of this watch");
    assert!(!clock.record_activity(600 * MS));
    assert_eq!(clock.next_step(700 * MS), WatchStep::Wait(Some(3_600 * MS)));
    clock.record_incomplete(700 * MS);
    assert_eq!(clock.next_step(700 * MS), WatchStep::Wait(Some(1_700 * MS)), "an incomplete change");
}
