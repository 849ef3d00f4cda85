//! The watch of the endpoint list on real sockets, where it is answered in part, at two addresses, or not at all.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use tallypin::api::{EndpointListMode, EndpointState, PeerId, SECOND};
use tallypin_router::config::PeerAddresses;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::endpoint_list_state::WatchCounts;
use tallypin_router::peers::Peers;
use tallypin_router::reload::{self, StartupConfiguration};
use tokio::net::TcpListener;

const MS: Duration = Duration::from_millis(1);

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Replicas that the decisions may send to.
fn usable(router: &Router) -> usize {
    router.components.with(|core, now| core.view(now).len())
}

/// Guards against half of a list that counts as a sign of life: what follows it would keep the watch for good.
#[test]
fn half_a_message_is_given_up_whatever_blank_lines_follow_it() {
    run(async {
        let node = Node::new(Chat).await;
        let list = listener().await;
        let mut config = config();
        config.node_list = list.local_addr().unwrap();
        config.limits.list_message_stall_timeout = 100 * MS;
        let router = Router::by(config, Chat, &[], None).await;
        let whole = page(41, true, "s-1", &node, "active");
        let (mut half, _) = next_call(&list).await;
        // In pieces that come in good time it is taken.
        let text = whole.split("\r\n").nth(1).unwrap();
        half.send(WATCH).await;
        for piece in text.as_bytes().chunks(30) {
            tokio::time::sleep(40 * MS).await;
            half.send(&chunk(std::str::from_utf8(piece).unwrap())).await;
        }
        until(|| router.components.replicas.ready_count() == 1).await;
        // Of the next one half comes, and signs of life behind it.
        let change = page(42, false, "s-1", &node, "leaving");
        let change = change.split("\r\n").nth(1).unwrap();
        half.send(&chunk(&change[..change.len() / 2])).await;
        let blank_lines = async {
            loop {
                tokio::time::sleep(30 * MS).await;
                let _ = tokio::io::AsyncWriteExt::write_all(&mut half.stream, chunk("\n").as_bytes()).await;
            }
        };
        let (mut again, head) = tokio::select! {
            again = next_call(&list) => again,
            () = blank_lines => unreachable!(),
        };
        assert!(head.contains("since=41"), "{head}");
        again.send(&(WATCH.to_string() + &page(42, false, "s-1", &node, "leaving"))).await;
        until(|| router.components.replicas.ready_count() == 0).await;
        let counts = router.components.endpoint_list.state.counts();
        assert_eq!(counts, WatchCounts { opened: 2, established: 2, failed: 0, lost: 1 });
    });
}

/// Guards against a head alone that counts as a sign of life.
#[test]
fn a_response_that_stops_behind_its_head_is_no_watch() {
    run(async {
        let list = listener().await;
        let mut config = config();
        config.node_list = list.local_addr().unwrap();
        config.limits.list_message_stall_timeout = 100 * MS;
        let router = Router::by(config, Chat, &[], None).await;
        let (mut call, _) = next_call(&list).await;
        call.send(WATCH).await;
        let (_again, _) = next_call(&list).await;
        let counts = router.components.endpoint_list.state.counts();
        assert_eq!(counts, WatchCounts { opened: 2, established: 0, failed: 1, lost: 0 });
        assert!(!router.components.endpoint_list.state.is_fresh());
    });
}

/// Guards against a new address that does not answer and keeps the former one from being called again.
#[test]
fn the_former_address_is_called_again_while_the_new_one_says_nothing() {
    run(async {
        let node = Node::new(Chat).await;
        let (former, new) = (listener().await, listener().await);
        let mut config = config();
        config.node_list = former.local_addr().unwrap();
        let mut moved = config.clone();
        moved.node_list = new.local_addr().unwrap();
        let running = StartupConfiguration::of(&config);
        let router = Router::by(config, Chat, &[], None).await;
        let (mut first, _) = next_call(&former).await;
        first.send(&(WATCH.to_string() + &page(41, true, "s-1", &node, "active"))).await;
        until(|| router.components.replicas.ready_count() == 1).await;
        reload::apply(&router.components.endpoint_list.state, &running, &moved);
        let (_silent, _) = next_call(&new).await;
        drop(first);
        let (mut again, head) = next_call(&former).await;
        assert!(head.contains("since=41"), "{head}");
        again.send(&(WATCH.to_string() + &page(42, false, "s-1", &node, "leaving"))).await;
        until(|| router.components.replicas.ready_count() == 0).await;
    });
}

/// The incident of 2026-12-03, from the other side: discovery has no room for a router, and another one tells it what the
/// list says.
#[test]
fn a_router_without_the_list_leaves_out_what_another_one_tells_of() {
    run(async {
        let nodes = [Node::new(Chat).await, Node::new(Chat).await];
        let lists = [listener().await, listener().await];
        let each: Vec<_> = ["127.2.14.1", "127.2.14.2"].map(free_udp_address).to_vec();
        let mut routers = Vec::new();
        for (index, list) in lists.iter().enumerate() {
            let mut config = config();
            let decisions = &mut config.deployment.decisions;
            (decisions.own_index, decisions.router_count) = (PeerId(index as u32), 2);
            // One call, that is answered when the test answers it.
            decisions.list_mode = EndpointListMode::Polled { max_poll_interval: 60 * SECOND };
            let digest = decisions.digest;
            config.node_list = list.local_addr().unwrap();
            config.limits.list_response_timeout = Duration::from_secs(60);
            let addresses = PeerAddresses { listen: each[index], each: each.clone(), all: None };
            let peers = Peers::new(addresses, PeerId(index as u32), digest).await.unwrap();
            routers.push(Router::by(config, Chat, &[&nodes[0], &nodes[1]], Some(peers)).await);
        }
        let (mut told, _) = next_call(&lists[0]).await;
        told.send(&(WATCH.to_string() + &page(41, true, "s-1", &nodes[1], "active"))).await;
        // The other one calls in vain. The list of the first lacks s-0, which its configuration has: it is gone.
        until(|| usable(&routers[0]) == 1).await;
        until(|| usable(&routers[1]) == 1).await;
        assert_eq!(routers[1].components.with(|core, _| core.listed_replicas().count()), 2, "its own list");
        told.send(&page(42, false, "s-1", &nodes[1], "leaving")).await;
        until(|| usable(&routers[1]) == 0).await;
        // Its own list alone says who may be sent to.
        let (mut call, _) = next_call(&lists[1]).await;
        call.send(&(WATCH.to_string() + &page(40, true, "s-1", &nodes[1], "active"))).await;
        until(|| usable(&routers[1]) == 1).await;
        let listed =
            routers[1].components.with(|core, _| core.listed_replicas().cloned().collect::<Vec<_>>());
        assert_eq!((listed.len(), listed[0].state), (1, EndpointState::Ready));
    });
}

/// An address for datagrams, about to be bound by a router: on an IP of its own, so that no other test is given its port.
fn free_udp_address(ip: &str) -> SocketAddr {
    std::net::UdpSocket::bind((ip, 0)).unwrap().local_addr().unwrap()
}
