//! Checks the attempt events that the decision module receives against what happened on the sockets: each first
//! token, end, decline and reset arrives exactly once, at its time, and counts for the process of the replica that
//! the attempt was sent to.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::*;
use tallypin::name_hash;
use tallypin::replica_snapshot::ReplicaSnapshot;
use tallypin_router::dialect::Dialect::Chat;

const MS: Duration = Duration::from_millis(1);

/// Returns the decision module's snapshot of the first replica, and the number of attempts in flight on its
/// connections.
fn snapshot_and_in_flight(router: &TestRouter) -> (ReplicaSnapshot, u32) {
    let id = name_hash::replica_id("s-0");
    let snapshot = router.components.with_core(|core, now| core.replica_snapshots(now));
    let snapshot = snapshot.into_iter().find(|s| s.replica == id).expect("listed as active");
    (snapshot, router.components.replicas.in_flight(id))
}

#[test]
fn the_decision_module_receives_each_attempt_end_once() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |l| l.stream_silence_timeout = 50 * MS).await;
        // Outcomes in order: completed, error, busy, timed out, refused, reset, cancelled, skipped.
        let faults = [
            (ReplicaFault::None, 200, [1, 0, 0, 0, 0, 0, 0, 0]),
            (ReplicaFault::UnknownEvent, 200, [2, 0, 0, 0, 0, 0, 0, 0]),
            (ReplicaFault::SlowFirstEvent, 200, [3, 0, 0, 0, 0, 0, 0, 0]),
            (ReplicaFault::CloseAfterFirstText, 200, [3, 0, 0, 0, 0, 1, 0, 0]),
            (ReplicaFault::None, 200, [4, 0, 0, 0, 0, 1, 0, 0]),
            (ReplicaFault::Decline, 503, [4, 0, 1, 0, 0, 1, 0, 0]),
            (ReplicaFault::Error, 503, [4, 1, 1, 0, 0, 1, 0, 0]),
            (ReplicaFault::None, 200, [5, 1, 1, 0, 0, 1, 0, 0]),
        ];
        let mut streams = 0;
        for (fault, status, outcomes) in faults {
            replica.add_faults(&[fault]);
            let std_dev_before = snapshot_and_in_flight(&router).0.decode_rate.log_std_dev;
            assert_eq!(
                Client::connect(router.addr).await.send_platform_request("").await.0,
                status,
                "{fault:?}"
            );
            wait_until(|| router.open_requests() == 0).await;
            assert_eq!(router.request_counts().outcomes, outcomes, "{fault:?}");
            let (snapshot, in_flight) = snapshot_and_in_flight(&router);
            assert_eq!(
                (snapshot.in_flight, snapshot.awaiting_first_token, in_flight),
                (0, 0, 0),
                "after {fault:?} no attempt is in flight on either side"
            );
            let complete = status == 200 && fault != ReplicaFault::CloseAfterFirstText;
            assert_eq!(
                snapshot.decode_rate.log_std_dev < std_dev_before,
                complete,
                "{fault:?}: only a complete stream gives a decode rate sample"
            );
            streams += u64::from(status == 200);
            assert_eq!(router.request_counts().streams_started, streams, "{fault:?}");
        }
        let last = snapshot_and_in_flight(&router).0;
        assert!(
            last.wait_sample_age.is_some_and(|age| age < 5_000_000_000),
            "the wait was sampled at the time of the first token"
        );
        assert!(
            last.first_token_wait > 0 && last.first_token_wait < 1_000_000_000,
            "the first token should take between 0 and 40 ms, not {}",
            last.first_token_wait
        );
    });
}

#[test]
fn the_decision_module_and_the_connections_agree_on_attempts_in_flight() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer, ReplicaFault::SilentAfterFirstText]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let (mut mute, mut silent) = (Client::connect(router.addr).await, Client::connect(router.addr).await);
        mute.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        silent.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        wait_until(|| router.request_counts().streams_started == 1).await;
        let (snapshot, in_flight) = snapshot_and_in_flight(&router);
        assert_eq!(
            (snapshot.in_flight, snapshot.awaiting_first_token, in_flight),
            (2, 1, 2),
            "one attempt streams, one awaits its first token"
        );
        drop((mute, silent));
        wait_until(|| router.open_requests() == 0).await;
        wait_until(|| snapshot_and_in_flight(&router).1 == 0).await;
        assert_eq!(
            (
                snapshot_and_in_flight(&router).0.in_flight,
                snapshot_and_in_flight(&router).0.awaiting_first_token
            ),
            (0, 0)
        );
    });
}

/// Breaks three streams of a replica, with `restarted` after the list showed that the replica has restarted. Returns
/// whether the replica is then ejected.
async fn is_ejected_after_broken_streams(restarted: bool) -> bool {
    let replica = MockReplica::new(Chat).await;
    replica.add_faults(&[ReplicaFault::SilentAfterFirstText; 3]);
    let router = TestRouter::new(Chat, &[&replica], |l| l.stream_silence_timeout = 300 * MS).await;
    let mut clients = Vec::new();
    for _ in 0..3 {
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", "{}")).await;
        clients.push(client);
    }
    wait_until(|| router.request_counts().streams_started == 3).await;
    let mut listed = endpoint_record("s-0", replica.addr, "active");
    if restarted {
        listed.started_ms = router.components.with_core(|_, now| now) / 1_000_000;
    }
    router.set_endpoint_list([listed]);
    wait_until(|| router.request_counts().interrupted == 3).await;
    let snapshot = snapshot_and_in_flight(&router).0;
    assert_eq!(
        (snapshot.in_flight, snapshot.is_warming_up, snapshot.wait_sample_age.is_none()),
        (0, restarted, restarted)
    );
    snapshot.ejected_for > 0
}

#[test]
fn streams_that_break_when_a_node_restarts_do_not_eject_its_new_process() {
    run_test(async {
        assert!(
            is_ejected_after_broken_streams(false).await,
            "three broken streams of the current process eject the replica"
        );
        assert!(!is_ejected_after_broken_streams(true).await);
    });
}
