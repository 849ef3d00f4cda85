//! Drain notices that routers send to a router without a watch of the endpoint list.
#![allow(missing_docs)]

mod common;

use common::*;
use proptest::prelude::*;
use tallypin::api::*;
use tallypin::drain_notice::{DrainMessage, Incarnation, MAX_NOTICE_ENTRIES};

const ROUTERS: u32 = 5;

fn polled_settings() -> Settings {
    let mut settings = test_settings(4, 0);
    settings.list_mode = EndpointListMode::Polled { max_poll_interval: 10 * SECOND };
    (settings.has_peers, settings.router_count) = (true, ROUTERS);
    settings
}

/// A router whose only endpoint list is the cached one of its configuration.
fn router_without_watch(seed: u64, replicas: u64) -> TestRouter {
    let mut router = TestRouter::new(polled_settings(), seed);
    router
        .update_list(ListUpdate::Cached, (0..replicas).map(|n| entry(n, EndpointState::Ready, 0)).collect());
    router
}

fn entry(replica: u64, state: EndpointState, started_at: Nanos) -> EndpointEntry {
    EndpointEntry { replica: ReplicaId(replica), state, started_at, ..EndpointEntry::default() }
}

fn notice(entries: &[EndpointEntry]) -> Vec<u8> {
    DrainMessage::Notice(entries.iter().map(Incarnation::from_entry).collect()).encode()
}

/// Delivers a message of router `from`.
fn receive(router: &mut TestRouter, from: u32, bytes: Vec<u8>) {
    router.handle(Event::PeerMessage { from: PeerId(from), bytes });
}

fn ready(router: &TestRouter) -> Vec<u64> {
    let mut ready: Vec<u64> =
        router.balancer.replica_snapshots(router.now).iter().map(|snapshot| snapshot.replica.0).collect();
    ready.sort_unstable();
    ready
}

/// Sends a query to the router and returns the replicas in its answering notices.
fn replicas_in_notices(router: &mut TestRouter) -> Vec<ReplicaId> {
    router.peer_messages.clear();
    receive(router, 1, DrainMessage::Query.encode());
    let mut replicas = Vec::new();
    for (peer, bytes) in &router.peer_messages {
        assert_eq!(*peer, PeerId(1), "the answer goes to the sender of the query");
        let Some(DrainMessage::Notice(entries)) = DrainMessage::decode(bytes) else {
            panic!("a query is answered with notices")
        };
        replicas.extend(entries.iter().map(|incarnation| incarnation.replica));
    }
    replicas
}

#[test]
fn a_router_queries_peers_until_it_receives_the_list_and_again_after_losing_the_watch() {
    let mut router = router_without_watch(1, 3);
    let start = router.now;
    router.run_to(start + 3 * SECOND);
    let queries = router.peer_messages.len();
    assert!((12..=21).contains(&queries), "three peers are queried twice a second: {queries} queries in 3 s");
    assert!(router.peer_messages.iter().all(|(_, bytes)| *bytes == DrainMessage::Query.encode()));
    let queried: std::collections::BTreeSet<_> = router.peer_messages.iter().map(|(peer, _)| *peer).collect();
    assert_eq!(
        queried.len() as u32,
        ROUTERS - 1,
        "every peer is queried in turn, and the router itself is not"
    );
    router.update_list(ListUpdate::Delta, vec![]);
    router.run_to(router.now + 20 * SECOND);
    assert_eq!(router.peer_messages.len(), queries, "no query while the list is watched");
    router.update_list(ListUpdate::Failed, vec![]);
    router.run_to(router.now + SECOND);
    assert!(router.peer_messages.len() > queries, "queries after the watch is lost");
}

#[test]
fn no_queries_with_a_pushed_list_or_without_peers() {
    let pushed = Settings { list_mode: EndpointListMode::Pushed, ..polled_settings() };
    let without_peers = Settings { has_peers: false, ..polled_settings() };
    let single_router = Settings { router_count: 1, ..polled_settings() };
    for settings in [pushed, without_peers, single_router] {
        let mut router = TestRouter::new(settings, 1);
        router.update_list(ListUpdate::Cached, vec![entry(0, EndpointState::Ready, 0)]);
        router.run_to(router.now + 5 * SECOND);
        assert!(router.peer_messages.is_empty());
    }
}

/// Incident of 2026-12-03: the discovery service refused calls for lack of capacity. A router that it refuses must learn of
/// drains from another router.
#[test]
fn replicas_in_a_notice_are_excluded_until_the_list_is_received() {
    let mut router = router_without_watch(2, 3);
    receive(&mut router, 1, notice(&[entry(0, EndpointState::Draining, 0)]));
    assert_eq!(ready(&router), [1, 2]);
    // A notice adds no unknown replica, and it does not apply to another incarnation of a replica.
    receive(&mut router, 2, notice(&[entry(7, EndpointState::Draining, 0)]));
    receive(&mut router, 2, notice(&[entry(1, EndpointState::Draining, 5 * SECOND)]));
    assert_eq!(ready(&router), [1, 2]);
    // The list is received without a change: the notice was wrong, or the replica accepts new requests again.
    router.update_list(ListUpdate::Delta, vec![]);
    assert_eq!(ready(&router), [0, 1, 2]);
    receive(&mut router, 1, notice(&[entry(0, EndpointState::Draining, 0)]));
    assert_eq!(ready(&router), [0, 1, 2], "a notice is ignored while the router watches the list");
    router.update_list(ListUpdate::Failed, vec![]);
    receive(&mut router, 1, notice(&[entry(0, EndpointState::Draining, 0)]));
    assert_eq!(ready(&router), [1, 2]);
    router.update_list(ListUpdate::Full, vec![entry(1, EndpointState::Ready, 0)]);
    assert_eq!(ready(&router), [1], "a full list replaces the notices");
}

#[test]
fn messages_of_unknown_senders_and_malformed_ones_are_ignored() {
    let mut router = router_without_watch(3, 2);
    let valid_notice = notice(&[entry(0, EndpointState::Draining, 0)]);
    receive(&mut router, 0, valid_notice.clone()); // the router itself
    receive(&mut router, ROUTERS, valid_notice.clone()); // an index beyond the fleet
    receive(&mut router, 1, valid_notice[..valid_notice.len() - 1].to_vec());
    receive(&mut router, 1, [&valid_notice[..], &[0]].concat());
    receive(&mut router, 1, [&valid_notice[..3], &[9]].concat());
    assert_eq!(ready(&router), [0, 1]);
}

#[test]
fn a_query_is_answered_with_the_drains_of_the_list_and_of_received_notices() {
    let mut router = router_without_watch(4, 4);
    assert!(replicas_in_notices(&mut router).is_empty());
    receive(&mut router, 2, notice(&[entry(3, EndpointState::Draining, 0)]));
    receive(&mut router, 2, notice(&[entry(9, EndpointState::Draining, 0)]));
    assert_eq!(
        replicas_in_notices(&mut router),
        [ReplicaId(3)],
        "a received notice is passed on, except for an unknown replica"
    );
    let state = |n, state| entry(n, state, 0);
    router.update_list(ListUpdate::Delta, vec![]);
    assert!(replicas_in_notices(&mut router).is_empty(), "the list does not confirm the notice");
    router.update_list(ListUpdate::Full, (0..3).map(|n| state(n, EndpointState::Ready)).collect());
    assert_eq!(replicas_in_notices(&mut router), [ReplicaId(3)], "a replica that is missing in a full list");
    router.update_list(ListUpdate::Delta, vec![state(0, EndpointState::Draining)]);
    router.update_list(ListUpdate::Delta, vec![state(0, EndpointState::Gone), state(1, EndpointState::Gone)]);
    assert_eq!(
        replicas_in_notices(&mut router),
        [ReplicaId(1), ReplicaId(0), ReplicaId(3)],
        "each replica once, the latest change first"
    );
    router.update_list(ListUpdate::Delta, vec![state(0, EndpointState::Ready)]);
    assert_eq!(
        replicas_in_notices(&mut router),
        [ReplicaId(1), ReplicaId(3)],
        "a replica that accepts requests again is left out"
    );
    router.run_to(router.now + 61 * SECOND);
    assert!(replicas_in_notices(&mut router).is_empty(), "drains of more than 60 s ago are left out");
}

#[test]
fn an_operator_override_and_a_notice_apply_independently() {
    let mut router = router_without_watch(5, 3);
    receive(
        &mut router,
        1,
        notice(&[entry(0, EndpointState::Draining, 0), entry(1, EndpointState::Draining, 0)]),
    );
    // An override to ready does not end the exclusion by a notice. An override to drained lasts longer than the notice.
    router.update_list(ListUpdate::Override, vec![entry(0, EndpointState::Ready, 0)]);
    router.update_list(ListUpdate::Override, vec![entry(1, EndpointState::Draining, 0)]);
    assert_eq!(ready(&router), [2]);
    router.update_list(ListUpdate::Delta, vec![]);
    assert_eq!(ready(&router), [0, 2]);
}

proptest! {
    #[test]
    fn messages_round_trip(entries in prop::collection::vec((any::<u64>(), any::<u32>()), 0..=MAX_NOTICE_ENTRIES)) {
        let entries = entries
            .into_iter()
            .map(|(replica, start_digest)| Incarnation { replica: ReplicaId(replica), start_digest });
        let message = DrainMessage::Notice(entries.collect());
        let bytes = message.encode();
        prop_assert!(bytes.len() <= 256 && DrainMessage::is_drain_message(&bytes));
        prop_assert_eq!(DrainMessage::decode(&bytes), Some(message));
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_message_or_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(message) = DrainMessage::decode(&bytes) {
            prop_assert_eq!(message.encode(), bytes);
        }
    }
}
