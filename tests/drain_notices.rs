//! What routers tell each other of replicas that take nothing new, while one of them does not hear the endpoint list.
#![allow(missing_docs)]

mod common;

use common::*;
use proptest::prelude::*;
use tallypin::api::*;
use tallypin::drain_notice::{DrainMessage, Incarnation, MAX_NOTICE_ENTRIES};

const ROUTERS: u32 = 5;

fn polled() -> Settings {
    let mut settings = test_settings(4, 0);
    settings.list_mode = EndpointListMode::Polled { max_poll_interval: 10 * SECOND };
    (settings.has_peers, settings.router_count) = (true, ROUTERS);
    settings
}

/// A router that has the list of its configuration only.
fn unwatched(seed: u64, replicas: u64) -> TestRouter {
    let mut router = TestRouter::new(polled(), seed);
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

/// Hands in a message of the router with this index.
fn receive(router: &mut TestRouter, from: u32, bytes: Vec<u8>) {
    router.handle(Event::PeerMessage { from: PeerId(from), bytes });
}

fn ready(router: &TestRouter) -> Vec<u64> {
    let mut ready: Vec<u64> =
        router.balancer.replica_snapshots(router.now).iter().map(|seen| seen.replica.0).collect();
    ready.sort_unstable();
    ready
}

/// The replicas of the notices that answer a query.
fn told_of(router: &mut TestRouter) -> Vec<ReplicaId> {
    router.peer_messages.clear();
    receive(router, 1, DrainMessage::Query.encode());
    let mut told = Vec::new();
    for (peer, bytes) in &router.peer_messages {
        assert_eq!(*peer, PeerId(1), "who asked is answered");
        let Some(DrainMessage::Notice(entries)) = DrainMessage::decode(bytes) else { panic!("a notice") };
        told.extend(entries.iter().map(|incarnation| incarnation.replica));
    }
    told
}

#[test]
fn a_router_asks_others_until_it_hears_the_list_and_again_when_it_has_lost_it() {
    let mut router = unwatched(1, 3);
    let start = router.now;
    router.run_to(start + 3 * SECOND);
    let asked = router.peer_messages.len();
    assert!((12..=21).contains(&asked), "three others twice a second: {asked}");
    assert!(router.peer_messages.iter().all(|(_, bytes)| *bytes == DrainMessage::Query.encode()));
    let others: std::collections::BTreeSet<_> = router.peer_messages.iter().map(|(peer, _)| *peer).collect();
    assert_eq!(others.len() as u32, ROUTERS - 1, "each of them in turn, and not itself");
    router.update_list(ListUpdate::Delta, vec![]);
    router.run_to(router.now + 20 * SECOND);
    assert_eq!(router.peer_messages.len(), asked, "the list is heard");
    router.update_list(ListUpdate::Failed, vec![]);
    router.run_to(router.now + SECOND);
    assert!(router.peer_messages.len() > asked, "the watch is lost");
}

#[test]
fn no_messages_where_they_are_not_allowed_or_the_list_is_pushed_or_there_is_nobody_else() {
    let pushed = Settings { list_mode: EndpointListMode::Pushed, ..polled() };
    let forbidden = Settings { has_peers: false, ..polled() };
    let alone = Settings { router_count: 1, ..polled() };
    for settings in [pushed, forbidden, alone] {
        let mut router = TestRouter::new(settings, 1);
        router.update_list(ListUpdate::Cached, vec![entry(0, EndpointState::Ready, 0)]);
        router.run_to(router.now + 5 * SECOND);
        assert!(router.peer_messages.is_empty());
    }
}

/// The incident of 2026-12-03, from the other side: what discovery has no room to tell, another router tells.
#[test]
fn what_another_router_tells_of_is_left_out_until_the_list_is_heard() {
    let mut router = unwatched(2, 3);
    receive(&mut router, 1, notice(&[entry(0, EndpointState::Draining, 0)]));
    assert_eq!(ready(&router), [1, 2]);
    // Nobody is taken in by a notice, nor is one that is not known, or that has started again since.
    receive(&mut router, 2, notice(&[entry(7, EndpointState::Draining, 0)]));
    receive(&mut router, 2, notice(&[entry(1, EndpointState::Draining, 5 * SECOND)]));
    assert_eq!(ready(&router), [1, 2]);
    // The list has not changed: the notice was wrong, or the replica takes work again.
    router.update_list(ListUpdate::Delta, vec![]);
    assert_eq!(ready(&router), [0, 1, 2]);
    receive(&mut router, 1, notice(&[entry(0, EndpointState::Draining, 0)]));
    assert_eq!(ready(&router), [0, 1, 2], "the own list is heard, and it alone counts");
    router.update_list(ListUpdate::Failed, vec![]);
    receive(&mut router, 1, notice(&[entry(0, EndpointState::Draining, 0)]));
    assert_eq!(ready(&router), [1, 2]);
    router.update_list(ListUpdate::Full, vec![entry(1, EndpointState::Ready, 0)]);
    assert_eq!(ready(&router), [1], "a whole list says what there is");
}

#[test]
fn messages_of_strangers_and_malformed_ones_change_nothing() {
    let mut router = unwatched(3, 2);
    let good = notice(&[entry(0, EndpointState::Draining, 0)]);
    receive(&mut router, 0, good.clone()); // itself
    receive(&mut router, ROUTERS, good.clone()); // beyond the fleet
    receive(&mut router, 1, good[..good.len() - 1].to_vec());
    receive(&mut router, 1, [&good[..], &[0]].concat());
    receive(&mut router, 1, [&good[..3], &[9]].concat());
    assert_eq!(ready(&router), [0, 1]);
}

#[test]
fn a_router_tells_of_what_its_list_has_told_and_of_what_it_goes_by_meanwhile() {
    let mut router = unwatched(4, 4);
    assert!(told_of(&mut router).is_empty());
    receive(&mut router, 2, notice(&[entry(3, EndpointState::Draining, 0)]));
    receive(&mut router, 2, notice(&[entry(9, EndpointState::Draining, 0)]));
    assert_eq!(told_of(&mut router), [ReplicaId(3)], "passed on, but for one that it does not know");
    let state = |n, state| entry(n, state, 0);
    router.update_list(ListUpdate::Delta, vec![]);
    assert!(told_of(&mut router).is_empty(), "the list does not say so");
    router.update_list(ListUpdate::Full, (0..3).map(|n| state(n, EndpointState::Ready)).collect());
    assert_eq!(told_of(&mut router), [ReplicaId(3)], "gone from a whole list");
    router.update_list(ListUpdate::Delta, vec![state(0, EndpointState::Draining)]);
    router.update_list(ListUpdate::Delta, vec![state(0, EndpointState::Gone), state(1, EndpointState::Gone)]);
    assert_eq!(
        told_of(&mut router),
        [ReplicaId(1), ReplicaId(0), ReplicaId(3)],
        "the latest first, each once"
    );
    router.update_list(ListUpdate::Delta, vec![state(0, EndpointState::Ready)]);
    assert_eq!(told_of(&mut router), [ReplicaId(1), ReplicaId(3)], "it takes work again");
    router.run_to(router.now + 61 * SECOND);
    assert!(told_of(&mut router).is_empty(), "old");
}

#[test]
fn an_operators_order_stands_beside_a_notice() {
    let mut router = unwatched(5, 3);
    receive(
        &mut router,
        1,
        notice(&[entry(0, EndpointState::Draining, 0), entry(1, EndpointState::Draining, 0)]),
    );
    // Put back by hand: the notice still counts. Drained by hand: it stays so when the notice no longer counts.
    router.update_list(ListUpdate::Override, vec![entry(0, EndpointState::Ready, 0)]);
    router.update_list(ListUpdate::Override, vec![entry(1, EndpointState::Draining, 0)]);
    assert_eq!(ready(&router), [2]);
    router.update_list(ListUpdate::Delta, vec![]);
    assert_eq!(ready(&router), [0, 2]);
}

proptest! {
    #[test]
    fn messages_come_back_as_they_were_sent(entries in prop::collection::vec((any::<u64>(), any::<u32>()), 0..=MAX_NOTICE_ENTRIES)) {
        let entries = entries.into_iter().map(|(replica, start_digest)| Incarnation { replica: ReplicaId(replica), start_digest });
        let message = DrainMessage::Notice(entries.collect());
        let bytes = message.encode();
        prop_assert!(bytes.len() <= 256 && DrainMessage::is_one(&bytes));
        prop_assert_eq!(DrainMessage::decode(&bytes), Some(message));
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(message) = DrainMessage::decode(&bytes) {
            prop_assert_eq!(message.encode(), bytes);
        }
    }
}
