//! Steps of wall clocks. A replica reports its start by its wall clock, and it stays in slow start for a time after it.

mod common;

use common::*;
use proptest::prelude::*;
use tallypin::api::*;

const HOUR: Nanos = 3600 * SECOND;
const REPLICAS: u64 = 6;
/// Time between two requests.
const REQUEST_INTERVAL: Nanos = 20 * MS;
const REQUESTS: u64 = 1_000;
/// Number of concurrent streams.
const CONCURRENT_STREAMS: u64 = 20;
/// Time at the start of the run. It is larger than the largest step back.
const START: Nanos = 10 * HOUR;
/// The replica that restarts.
const RESTARTED: u64 = 3;
/// The request before which the replica restarts.
const RESTART_AT_REQUEST: u64 = 100;

/// Kind of the list update that reports the restart.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ReportedIn {
    /// A list change.
    Change,
    /// A full list, after which changes follow.
    FullList,
}

/// Simulates a restart that the list reports with the start `reported_start(now)`. Returns all actions, and the number of
/// requests that the restarted replica got in each second after the restart.
fn simulate_restart(
    reported_in: ReportedIn,
    reported_start: impl Fn(Nanos) -> Nanos,
) -> (Vec<Action>, Vec<usize>) {
    let mut router = TestRouter::new(test_settings(1, 0), 11);
    router.now = START;
    // All replicas started 5 min ago, so a clock that is set back by an hour reports an earlier start than that.
    let started = |n| EndpointEntry { started_at: START - 300 * SECOND, ..ready_entry(n) };
    router.update_list(ListUpdate::Full, (0..REPLICAS).map(started).collect());
    let (start, mut sent) = (router.now, vec![0; 20]);
    for n in 0..REQUESTS {
        router.run_to(start + n * REQUEST_INTERVAL);
        if n == RESTART_AT_REQUEST {
            let restarted = EndpointEntry { started_at: reported_start(router.now), ..started(RESTARTED) };
            let all = (0..REPLICAS).filter(|r| *r != RESTARTED).map(started).chain([restarted.clone()]);
            match reported_in {
                ReportedIn::Change => router.update_list(ListUpdate::Delta, vec![restarted]),
                ReportedIn::FullList => router.update_list(ListUpdate::Full, all.collect()),
            };
        }
        let replica = TestRouter::sent_to(&router.submit(request(n)))
            .expect("the fleet has capacity for every request");
        if n >= RESTART_AT_REQUEST && replica == ReplicaId(RESTARTED) {
            sent[((n - RESTART_AT_REQUEST) * REQUEST_INTERVAL / SECOND) as usize] += 1;
        }
        router.first_token(RequestId(n), 0);
        if n >= CONCURRENT_STREAMS {
            router.end_attempt(RequestId(n - CONCURRENT_STREAMS), 0, Outcome::Completed);
        }
    }
    (router.actions, sent)
}

/// Guards against a start in the future, which kept a replica cold for the whole step, and a start far in the past, which
/// made it warm at once.
#[test]
fn a_stepped_clock_changes_no_decision_on_a_restarted_replica() {
    for reported_in in [ReportedIn::Change, ReportedIn::FullList] {
        let (unstepped, sent) = simulate_restart(reported_in, |now| now);
        assert!(
            sent[0] < sent[15] / 2,
            "the replica gets few requests while cold, and more when warm: {sent:?}"
        );
        for (step, start) in [
            ("an hour ahead", (|now| now + HOUR) as fn(Nanos) -> Nanos),
            ("an hour back", |now| now.saturating_sub(HOUR)),
            ("half a minute ahead", |now| now + 30 * SECOND),
            ("half a minute back", |now| now - 30 * SECOND),
        ] {
            let (stepped, sent) = simulate_restart(reported_in, start);
            assert!(
                stepped == unstepped,
                "reported in {reported_in:?}, start {step}: sent in each second {sent:?}"
            );
        }
    }
}

/// Capacity share of a replica when the first list after an outage of the list reports that it started at `start(now)`.
fn capacity_share_after_outage(outage: Nanos, start: impl Fn(Nanos) -> Nanos) -> f64 {
    let mut router = TestRouter::new(test_settings(1, 0), 3);
    router.now = START;
    router.update_list(ListUpdate::Full, vec![ready_entry(0)]);
    router.run_to(router.now + 30 * SECOND);
    router.update_list(ListUpdate::Failed, Vec::new());
    router.run_to(router.now + outage);
    router.update_list(
        ListUpdate::Full,
        vec![EndpointEntry { started_at: start(router.now), ..ready_entry(0) }],
    );
    router.balancer.replica_snapshots(router.now)[0].capacity_share
}

/// After an outage of the list, a start may be as old as the outage and the time without a list before it, but no older.
#[test]
fn a_start_reported_after_an_outage_is_no_older_than_the_last_list() {
    assert_eq!(
        capacity_share_after_outage(0, |now| now - HOUR),
        0.2 + 0.8 * 0.4,
        "a start 4 s ago of 10 s warm-up"
    );
    assert_eq!(
        capacity_share_after_outage(3 * SECOND, |now| now - HOUR),
        0.2 + 0.8 * 0.7,
        "a start 7 s ago of 10 s warm-up"
    );
    assert_eq!(
        capacity_share_after_outage(9 * SECOND, |now| now - 8 * SECOND),
        0.2 + 0.8 * 0.8,
        "the reported start"
    );
    assert_eq!(
        capacity_share_after_outage(9 * SECOND, |now| now + HOUR),
        0.2,
        "a start in the future counts as now"
    );
}

proptest! {
    /// Whatever start an entry reports, a replica is cold for no longer than `warm_up_time`.
    #[test]
    fn no_start_keeps_a_replica_warming_up_for_longer_than_its_time(start in any::<u64>()) {
        let mut router = TestRouter::new(test_settings(1, 0), 3);
        router.update_list(ListUpdate::Full, vec![ready_entry(0)]);
        router.update_list(ListUpdate::Delta, vec![EndpointEntry { started_at: start, ..ready_entry(0) }]);
        router.run_to(router.now + router.settings.warm_up_time);
        let snapshot = router.balancer.replica_snapshots(router.now).into_iter().next().expect("the replica is ready");
        prop_assert_eq!(snapshot.capacity_share, 1.0);
    }
}
