//! What the decision module is told of attempts, beside what the sockets did: each first token, end, decline and reset,
//! once, at its time, for the life of the node that it was sent to.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::*;
use tallypin::name_hash;
use tallypin::replica_snapshot::ReplicaSnapshot as View;
use tallypin_router::dialect::Dialect::Chat;

const MS: Duration = Duration::from_millis(1);

/// The module's view of the first node, beside the attempts on its connections.
fn view(router: &Router) -> (View, u32) {
    let id = name_hash::replica_id("s-0");
    let seen = router.components.with(|core, now| core.view(now));
    let seen = seen.into_iter().find(|s| s.replica == id).expect("listed as active");
    (seen, router.components.replicas.in_flight(id))
}

#[test]
fn each_end_of_an_attempt_reaches_the_module_once() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l| l.stream_silence_timeout = 50 * MS).await;
        // done, error, busy, timed out, refused, reset, cancelled, skipped
        let faults = [
            (Fault::None, 200, [1, 0, 0, 0, 0, 0, 0, 0]),
            (Fault::UnknownEvent, 200, [2, 0, 0, 0, 0, 0, 0, 0]),
            (Fault::Slow, 200, [3, 0, 0, 0, 0, 0, 0, 0]),
            (Fault::Break, 200, [3, 0, 0, 0, 0, 1, 0, 0]),
            (Fault::None, 200, [4, 0, 0, 0, 0, 1, 0, 0]),
            (Fault::Decline, 503, [4, 0, 1, 0, 0, 1, 0, 0]),
            (Fault::Error, 503, [4, 1, 1, 0, 0, 1, 0, 0]),
            (Fault::None, 200, [5, 1, 1, 0, 0, 1, 0, 0]),
        ];
        let mut streams = 0;
        for (fault, status, outcomes) in faults {
            node.plan(&[fault]);
            let unsure = view(&router).0.decode_rate.log_std_dev;
            assert_eq!(Client::to(router.addr).await.ask("").await.0, status, "{fault:?}");
            until(|| router.open() == 0).await;
            assert_eq!(router.tallies().outcomes, outcomes, "{fault:?}");
            let (seen, out) = view(&router);
            assert_eq!(
                (seen.in_flight, seen.awaiting_first_token, out),
                (0, 0, 0),
                "after {fault:?} nothing is out, on either side"
            );
            let whole = status == 200 && fault != Fault::Break;
            assert_eq!(
                seen.decode_rate.log_std_dev < unsure,
                whole,
                "{fault:?}: only a whole stream tells of a pace"
            );
            streams += u64::from(status == 200);
            assert_eq!(router.tallies().streams_started, streams, "{fault:?}");
        }
        let slow = view(&router).0;
        assert!(slow.wait_sample_age.is_some_and(|age| age < 5_000_000_000), "sampled at its time");
        assert!(
            slow.first_token_wait > 0 && slow.first_token_wait < 1_000_000_000,
            "a first token here takes between 0 and 40 ms, not {}",
            slow.first_token_wait
        );
    });
}

#[test]
fn while_an_attempt_is_out_both_sides_say_so() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute, Fault::Silence]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let (mut mute, mut silent) = (Client::to(router.addr).await, Client::to(router.addr).await);
        mute.send(&platform("", "{}")).await;
        node.next_request().await;
        silent.send(&platform("", "{}")).await;
        node.next_request().await;
        until(|| router.tallies().streams_started == 1).await;
        let (seen, out) = view(&router);
        assert_eq!((seen.in_flight, seen.awaiting_first_token, out), (2, 1, 2), "one has begun, one waits");
        drop((mute, silent));
        until(|| router.open() == 0).await;
        until(|| view(&router).1 == 0).await;
        assert_eq!((view(&router).0.in_flight, view(&router).0.awaiting_first_token), (0, 0));
    });
}

/// Streams that break after the node's restart was told, or without one; whether the node is excluded then.
async fn excluded_after_breaks(restarted: bool) -> bool {
    let node = Node::new(Chat).await;
    node.plan(&[Fault::Silence; 3]);
    let router = Router::new(Chat, &[&node], |l| l.stream_silence_timeout = 300 * MS).await;
    let mut clients = Vec::new();
    for _ in 0..3 {
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", "{}")).await;
        clients.push(client);
    }
    until(|| router.tallies().streams_started == 3).await;
    let mut listed = row("s-0", node.addr, "active");
    if restarted {
        listed.started_ms = router.components.with(|_, now| now) / 1_000_000;
    }
    router.list([listed]);
    until(|| router.tallies().interrupted == 3).await;
    let seen = view(&router).0;
    assert_eq!(
        (seen.in_flight, seen.is_warming_up, seen.wait_sample_age.is_none()),
        (0, restarted, restarted)
    );
    seen.ejected_for > 0
}

#[test]
fn streams_that_break_with_a_node_s_earlier_life_are_not_held_against_it() {
    run(async {
        assert!(excluded_after_breaks(false).await, "three in a row of its own");
        assert!(!excluded_after_breaks(true).await);
    });
}
