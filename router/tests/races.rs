//! Pairs of events that can cross, each played in its bad order: what one side does has arrived in the system, and the
//! router has not looked at its sockets since. `docs/RACES.md` lists them.
#![allow(missing_docs)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::*;
use tallypin_router::config::Config;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::reload::{self, StartupConfiguration};
use tokio::net::TcpListener;

const MS: Duration = Duration::from_millis(1);

/// Guards against a request that is written to a pooled connection whose node has just closed it: it would end as a reset,
/// which may have run.
#[test]
fn a_pooled_connection_that_closes_as_it_is_taken_is_replaced() {
    run(async {
        for front in [0, 1] {
            let (router, listener) = by_hand(|l| l.replica_reuse_delay = Duration::ZERO).await;
            let (addr, request) = fronts(&router)[front];
            let mut client = Client::to(addr).await;
            client.send(&request()).await;
            let mut node = asked(&listener).await;
            node.send(&answer("first")).await;
            assert_eq!(client.answer().await.0, 200);
            until(|| router.components.replicas.connection_counts() == (1, 1)).await;
            // From here on the router has to be told of what comes on the idle connection.
            router.components.replicas.close_expired();
            let (mut client, node) = (into_blocking(client), into_blocking(node));
            client.write_all(request().as_bytes()).unwrap();
            arrived(&[&client], Arrival::Data);
            // A task beside the router's has its turn between the pick and the attempt's first.
            let components = router.components.clone();
            let closes = tokio::task::spawn_local(async move {
                while components.with(|core, _| core.open_requests()) == 0 {
                    turns(1).await;
                }
                node.shutdown(std::net::Shutdown::Write).unwrap();
                arrived(&[&node], Arrival::End);
            });
            closes.await.unwrap();
            let mut second = asked(&listener).await;
            second.send(&answer("second")).await;
            let mut client = into_client(client);
            assert!(client.answer().await.2.contains("second"), "front {front}");
            assert_eq!(router.tallies().unanswered(), 0, "front {front}: no attempt was reset");
        }
    });
}

/// Guards against an attempt that is written after its node was told to take none: it had been picked before.
#[test]
fn a_node_that_drains_moves_or_restarts_after_the_pick_is_not_written_to() {
    run(async {
        for front in [0, 1] {
            for news in ["drains", "moves", "restarts", "is gone"] {
                let (first, second) = (Node::new(Chat).await, Node::new(Chat).await);
                let router = Router::new(Chat, &[&first], |l| l.replica_reuse_delay = Duration::ZERO).await;
                let (addr, request) = fronts(&router)[front];
                let mut client = Client::to(addr).await;
                client.send(&request()).await;
                assert_eq!(client.answer().await.0, 200);
                until(|| router.components.replicas.connection_counts() == (1, 1)).await;
                assert_eq!(first.so_far().1, 1);
                client.send(&request()).await;
                while router.open() == 0 {
                    turns(1).await;
                }
                let former = row("s-0", first.addr, "active");
                let told = match news {
                    "drains" => Some(row("s-0", first.addr, "leaving")),
                    "moves" => Some(row("s-0", second.addr, "active")),
                    "restarts" => {
                        Some(tallypin_router::endpoint_list::EndpointRecord { started_ms: 1, ..former })
                    }
                    _ => None,
                };
                router.list(told.into_iter().chain([row("s-1", second.addr, "active")]));
                assert_eq!(client.answer().await.0, 200, "front {front}, {news}: another attempt serves it");
                assert_eq!(first.so_far().1, 0, "front {front}: written to a node that {news}");
                assert_eq!(second.so_far().1, 1, "front {front}, {news}");
                assert_eq!(router.tallies().unanswered(), 0, "front {front}, {news}");
            }
        }
    });
}

/// Guards against an outright close of a resting connection whose room is wanted: a request that has just arrived on it
/// would be dropped unread.
#[test]
fn a_request_that_arrives_as_its_connection_s_room_is_wanted_is_answered() {
    run(async {
        for front in [0, 1] {
            let node = Node::new(Chat).await;
            let router = Router::new(Chat, &[&node], |l| l.max_clients = 1).await;
            let (addr, request) = fronts(&router)[front];
            let mut resting = Client::to(addr).await;
            resting.send(&request()).await;
            assert_eq!(resting.answer().await.0, 200);
            let mut resting = into_blocking(resting);
            until(|| router.components.clients.close_one_idle()).await;
            // The connection was told to close and has not had its turn; its readiness is that of the last look.
            resting.write_all(request().as_bytes()).unwrap();
            arrived(&[&resting], Arrival::Data);
            let mut resting = into_client(resting);
            let (status, _, _, whole) = resting.answer().await;
            assert!(status == 200 && whole, "front {front}: {status}");
        }
    });
}

/// Guards against a reset of whoever writes on a connection whose room was wanted, just as it is closed.
#[test]
fn a_connection_whose_room_is_wanted_is_shut_down_in_order() {
    run(async {
        for front in [0, 1] {
            let node = Node::new(Chat).await;
            let router =
                Router::new(Chat, &[&node], |l| (l.max_clients, l.final_read_time) = (1, 200 * MS)).await;
            let (addr, request) = fronts(&router)[front];
            let mut resting = Client::to(addr).await;
            resting.send(&request()).await;
            assert_eq!(resting.answer().await.0, 200);
            let mut next = Client::to(addr).await;
            let mut resting = into_blocking(resting);
            resting.set_nonblocking(true).unwrap();
            let mut end = [0; 8];
            let closed = loop {
                match resting.read(&mut end) {
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => tokio::task::yield_now().await,
                    read => break read,
                }
            };
            assert_eq!(closed.unwrap(), 0, "front {front}: shut down");
            resting.write_all(request().as_bytes()).unwrap();
            turns(200).await;
            assert!(resting.take_error().unwrap().is_none(), "front {front}: reset");
            next.send(&request()).await;
            assert_eq!(next.answer().await.0, 200, "front {front}");
            assert_eq!(node.so_far().1, 2, "front {front}: read after the shutdown and sent on");
        }
    });
}

/// Guards against the time that a client sent ahead has already waited: its deadline runs from its first byte.
#[test]
fn a_request_sent_ahead_has_its_deadline_from_its_first_byte() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Slow]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let mut client = Client::to(router.addr).await;
        let two = platform("Req-Deadline-Ms: 900\r\n", "{}") + &platform("Req-Deadline-Ms: 900\r\n", "{}");
        client.send(&two).await;
        let (first, _) = node.next_request().await;
        let begun = std::time::Instant::now();
        let told = |head: &str| field(head, "req-deadline-ms").unwrap().parse::<u64>().unwrap();
        assert_eq!(client.answer().await.0, 200);
        let (second, _) = node.next_request().await;
        assert!(begun.elapsed() >= 40 * MS, "the first answer takes that long");
        assert!(told(&second) + 40 <= told(&first), "{first}{second}");
    });
}

async fn watched(list: &TcpListener) -> TcpStream {
    let mut watch = into_blocking(next_call(list).await.0);
    watch.set_nodelay(true).unwrap();
    watch.write_all(WATCH.as_bytes()).unwrap();
    watch
}

/// A router that follows one place of the list and has been told of another, which has been called.
async fn between_two_places(node: &Node) -> (Router, TcpStream, TcpStream) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (former, new) = (bind().await.unwrap(), bind().await.unwrap());
    let mut config = Config::parse(CONFIG).unwrap();
    config.node_list = former.local_addr().unwrap();
    let mut moved = config.clone();
    moved.node_list = new.local_addr().unwrap();
    let running = StartupConfiguration::of(&config);
    let router = Router::by(config, Chat, &[], None).await;
    let mut old_watch = watched(&former).await;
    old_watch.write_all(page(41, true, "s-1", node, "active").as_bytes()).unwrap();
    until(|| router.components.replicas.ready_count() == 1).await;
    reload::apply(&router.components.endpoint_list.state, &running, &moved);
    let new_watch = watched(&new).await;
    (router, old_watch, new_watch)
}

/// Guards against news of the former place that is taken after the new place has told the list: both are read in one turn.
#[test]
fn news_of_the_former_list_address_does_not_undo_the_new_one_s() {
    run(async {
        let node = Node::new(Chat).await;
        let (router, mut old_watch, mut new_watch) = between_two_places(&node).await;
        turns(200).await;
        new_watch.write_all(page(7, true, "s-1", &node, "leaving").as_bytes()).unwrap();
        old_watch.write_all(page(42, false, "s-1", &node, "active").as_bytes()).unwrap();
        arrived(&[&new_watch, &old_watch], Arrival::Data);
        let state = || router.components.with(|core, _| core.listed_replicas().map(|r| r.state).next());
        until(|| state() != Some(tallypin::api::EndpointState::Ready)).await;
        for _ in 0..50 {
            tokio::task::yield_now().await;
            assert_eq!(state(), Some(tallypin::api::EndpointState::Draining), "undone by the former place");
        }
        // The new one is followed from now on.
        new_watch.write_all(page(8, false, "s-1", &node, "active").as_bytes()).unwrap();
        until(|| state() == Some(tallypin::api::EndpointState::Ready)).await;
    });
}

/// Guards against changes from before what is known: they would bring a node back that has left.
#[test]
fn an_older_version_of_the_list_is_ignored_unless_it_is_whole() {
    run(async {
        let node = Node::new(Chat).await;
        let list = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = Config::parse(CONFIG).unwrap();
        config.node_list = list.local_addr().unwrap();
        let router = Router::by(config, Chat, &[], None).await;
        let mut watch = watched(&list).await;
        let mut say = |page: String| watch.write_all(page.as_bytes()).unwrap();
        let rows = |id: &str| {
            let id = tallypin::name_hash::replica_id(id);
            router
                .components
                .with(|core, _| core.listed_replicas().filter(|r| r.replica == id).map(|r| r.state).next())
        };
        say(page(41, true, "s-1", &node, "active"));
        say(page(43, false, "s-1", &node, "leaving"));
        say(page(42, false, "s-1", &node, "active"));
        say(page(44, false, "s-2", &node, "active"));
        until(|| rows("s-2").is_some()).await;
        assert_eq!(rows("s-1"), Some(tallypin::api::EndpointState::Draining));
        // A service that has started anew counts from the beginning.
        say(page(1, true, "s-3", &node, "active"));
        until(|| rows("s-3").is_some()).await;
        say(page(2, false, "s-4", &node, "active"));
        until(|| rows("s-4").is_some()).await;
    });
}
