//! One test with real sockets for each rule that the router keeps.
#![allow(missing_docs)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tallypin::api::TenantsDigest;
use tallypin::api::{EndpointListMode, PeerId};
use tallypin::served_report;
use tallypin_router::config::PeerAddresses;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::lifecycle::Stage;
use tallypin_router::limits::Limits;
use tallypin_router::peers::{DroppedMessages, Peers};
use tallypin_router::reload::{self, StartupConfiguration};
use tallypin_router::{replica, shutdown};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;

const MS: Duration = Duration::from_millis(1);

#[test]
fn events_pass_unchanged_and_the_prompt_does_too() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l| l.replica_reuse_delay = Duration::ZERO).await;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("Req-Deadline-Ms: 3000\r\n", "{\"stream\": true}")).await;
        let (status, _, body, whole) = client.answer().await;
        assert_eq!((status, body, whole), (200, CHAT.concat(), true));
        let (head, body) = node.next_request().await;
        assert!(head.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{head}");
        assert_eq!(body, b"{\"stream\": true}");
        assert!(field(&head, "req-id").unwrap().starts_with("9b1f-"), "{head}");
        let left: u64 = field(&head, "req-deadline-ms").unwrap().parse().unwrap();
        assert!((2000..=3000).contains(&left), "{left}");
        // The same connections serve the next one.
        assert_eq!(client.ask("").await.0, 200);
        assert_eq!(node.so_far(), (0, 1));
        assert_eq!(router.tallies().completed, 2);
    });
}

#[test]
fn what_the_module_gives_up_on_is_refused_at_once_with_advice() {
    run(async {
        let router = Router::new(Chat, &[], |_| {}).await;
        let (mut client, begun) = (Client::to(router.addr).await, Instant::now());
        let (status, head, ..) = client.ask("").await;
        assert!(begun.elapsed() < 500 * MS, "held back for {:?}", begun.elapsed());
        let advice: f64 = field(&head, "retry-after").expect("advice").parse().unwrap();
        assert!(status == 503 && advice > 0.0 && advice <= 2.0, "{status} {advice}");
        let over_share = platform("", "{}").replace("haendlerbund", "grenzstellen");
        let mut statuses = Vec::new();
        for _ in 0..10 {
            client.send(&over_share).await;
            statuses.push(client.answer().await.0);
        }
        assert!(statuses.contains(&429), "{statuses:?}");
    });
}

#[test]
fn the_final_answer_comes_by_the_deadline() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute; 4]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let (mut client, begun) = (Client::to(router.addr).await, Instant::now());
        let (status, ..) = client.ask("Req-Deadline-Ms: 120\r\n").await;
        assert!(status == 503 && begun.elapsed() < 170 * MS, "{status} after {:?}", begun.elapsed());
        assert_eq!(node.next().await, Seen::Connected);
        assert!(matches!(node.next().await, Seen::Request(..)));
        assert_eq!(node.next().await, Seen::GivenUp, "the attempt is closed");
        assert_eq!((router.tallies().rejected, router.open()), (1, 0));
    });
}

#[test]
fn a_broken_or_silent_stream_ends_without_the_last_chunk() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Break, Fault::Silence]);
        let router = Router::new(Chat, &[&node], |l| l.stream_silence_timeout = 50 * MS).await;
        for count in 1..=2 {
            let (status, _, body, whole) = Client::to(router.addr).await.ask("").await;
            assert_eq!((status, &body[..], whole), (200, CHAT[0], false));
            assert_eq!(router.tallies().interrupted, count, "bound: no further attempt");
        }
        assert_eq!(node.so_far().1, 2);
        let (status, ..) = Client::to(router.addr).await.ask("Req-Retry: again\r\n").await;
        assert_eq!((status, router.tallies().resumed), (200, 1));
    });
}

#[test]
fn further_attempts_are_the_module_s_and_are_counted() {
    run(async {
        let plan = Script::default();
        let (a, b) = (Node::sharing(Chat, &plan).await, Node::sharing(Chat, &plan).await);
        let router = Router::new(Chat, &[&a, &b], |_| {}).await;
        for fault in [Fault::Decline, Fault::Error, Fault::Reset] {
            a.plan(&[fault, Fault::None]);
            assert_eq!(Client::to(router.addr).await.ask("").await.0, 200, "{fault:?}");
        }
        let (first, second) = (a.so_far().1, b.so_far().1);
        assert_eq!((first + second, router.tallies().completed), (6, 3));
        // done, error, busy, timed out, refused, reset, cancelled, skipped
        assert_eq!(router.tallies().outcomes, [3, 1, 1, 0, 0, 1, 0, 0]);
    });
}

/// Guards against a further attempt that tells its node the whole time of its client, of which part is gone.
#[test]
fn a_further_attempt_tells_its_node_what_is_left() {
    run(async {
        let nodes = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let router = Router::new(Chat, &[], |_| {}).await;
        let rows = nodes.iter().enumerate();
        router.list(rows.map(|(n, l)| row(&format!("s-{n}"), l.local_addr().unwrap(), "active")));
        let mut client = Client::to(router.addr).await;
        client.send(&platform("Req-Deadline-Ms: 3000\r\n", "{}")).await;
        let mut left = Vec::new();
        for _ in 0..2 {
            let stream = tokio::select! {
                accepted = nodes[0].accept() => accepted.unwrap().0,
                accepted = nodes[1].accept() => accepted.unwrap().0,
            };
            let mut node = Client { stream, buf: Vec::new() };
            let (head, _) = node.message().await.unwrap();
            let told: u64 = field(&head, "req-deadline-ms").unwrap().parse().unwrap();
            left.push(told);
            tokio::time::sleep(100 * MS).await;
            node.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n").await;
        }
        assert!(left[0] <= 3000 && left[1] + 100 <= left[0], "{left:?}");
    });
}

/// Guards against a repeat that a node takes for a new request, as the client's key was dropped on the way.
#[test]
fn each_attempt_carries_the_client_s_idempotency_key() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |_| {}).await;
        for (front, (addr, request)) in fronts(&router).into_iter().enumerate() {
            let with =
                |fields: &str| request().replacen("Content-Length", &format!("{fields}Content-Length"), 1);
            let mut client = Client::to(addr).await;
            client.send(&with("idempotency-key: k-1\r\n")).await;
            assert_eq!(client.answer().await.0, 200, "front {front}");
            let (head, _) = node.next_request().await;
            assert_eq!(field(&head, "idempotency-key"), Some("k-1"), "front {front}: {head}");
            client.send(&request()).await;
            assert_eq!(client.answer().await.0, 200);
            let (head, _) = node.next_request().await;
            assert_eq!(field(&head, "idempotency-key"), None, "front {front}: the key of another request");
            client.send(&with("Idempotency-Key: k-1\r\nIdempotency-Key: k-2\r\n")).await;
            assert_eq!(client.answer().await.0, 400, "front {front}: ambiguous");
        }
        let (first, second) = (Node::new(Chat).await, Node::new(Chat).await);
        first.plan(&[Fault::Decline]);
        second.plan(&[Fault::Decline]);
        let router = Router::new(Chat, &[&first, &second], |_| {}).await;
        Client::to(router.addr).await.ask("Idempotency-Key: k-3\r\n").await;
        for node in [&first, &second] {
            let (head, _) = node.next_request().await;
            assert_eq!(field(&head, "idempotency-key"), Some("k-3"), "{head}");
        }
    });
}

#[test]
fn a_connection_closed_while_idle_is_noticed_and_an_old_one_retired() {
    run(async {
        let node = Node::new(Chat).await;
        node.hasty.set(true);
        let router = Router::new(Chat, &[&node], |l| l.replica_idle_timeout = 80 * MS).await;
        let mut client = Client::to(router.addr).await;
        for _ in 0..3 {
            assert_eq!(client.ask("").await.0, 200);
            // The close is there when the next request comes: a round trip to the node orders the two.
            drop(Client::to(node.addr).await);
            tokio::task::yield_now().await;
        }
        assert_eq!(router.tallies().outcomes[0], 3, "none was written to a closed connection");
        node.hasty.set(false);
        assert_eq!(client.ask("").await.0, 200);
        node.so_far();
        tokio::time::sleep(100 * MS).await; // the retirement itself is a matter of time
        assert_eq!(client.ask("").await.0, 200);
        assert_eq!(node.so_far(), (1, 1), "a new connection");
    });
}

#[test]
fn a_node_that_drains_or_is_gone_gets_nothing_new() {
    run(async {
        let (a, b) = (Node::new(Chat).await, Node::new(Chat).await);
        let router = Router::new(Chat, &[&a, &b], |_| {}).await;
        router.list([row("s-0", a.addr, "leaving"), row("s-1", b.addr, "active")]);
        for _ in 0..8 {
            assert_eq!(Client::to(router.addr).await.ask("").await.0, 200);
        }
        router.list([row("s-1", b.addr, "unheard-of")]);
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 503);
        assert_eq!((a.so_far().1, b.so_far().1), (0, 8));
    });
}

/// Sends twenty requests at once to a warm node and one that has just started, and again once that started long ago. What
/// the young one got each time, and how long the first sending took.
async fn beside_a_young_node() -> ([usize; 2], Duration) {
    let (warm, young) = (Node::new(Chat).await, Node::new(Chat).await);
    let router = Router::new(Chat, &[&warm], |_| {}).await;
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let (mut got, mut took) = ([0; 2], None);
    // Unix time on the list, whatever the module's own clock: started now, or long ago.
    for (got, (id, started_ms)) in got.iter_mut().zip([("now", unix.as_millis() as u64), ("once", 0)]) {
        let mut row_of_young = row(id, young.addr, "active");
        row_of_young.started_ms = started_ms;
        router.list([row("s-0", warm.addr, "active"), row_of_young]);
        // At once: one after the other, whoever answered sooner would get them all.
        warm.plan(&[Fault::Slow; 20]);
        young.plan(&[Fault::Slow; 20]);
        let (mut clients, begun) = (Vec::new(), Instant::now());
        for _ in 0..20 {
            let mut client = Client::to(router.addr).await;
            client.send(&platform("", "{}")).await;
            clients.push(client);
        }
        for client in &mut clients {
            assert_eq!(client.answer().await.0, 200);
        }
        took.get_or_insert(begun.elapsed());
        *got = young.so_far().1;
    }
    (got, took.unwrap_or_default())
}

/// What it may get grows with time, so a play in which the machine stood still says nothing.
#[test]
fn a_node_that_has_just_started_is_not_pushed_over() {
    run(async {
        for _ in 0..20 {
            let (got, took) = beside_a_young_node().await;
            if took < 150 * MS {
                return assert!(got[0] <= 2 && got[1] > 2, "{got:?} in {took:?}");
            }
        }
        panic!("the machine stood still in each of twenty plays");
    });
}

#[test]
fn a_client_that_leaves_frees_what_it_held() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute, Fault::Flood]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        for left in 1..=2 {
            let mut client = Client::to(router.addr).await;
            client.send(&platform("", "{}")).await;
            node.next_request().await;
            drop(client);
            while node.next().await != Seen::GivenUp {}
            assert_eq!((router.tallies().client_disconnects, router.open()), (left, 0));
        }
    });
}

#[test]
fn a_slow_client_holds_up_the_node_and_not_the_memory() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Flood]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", "{}")).await;
        // The node goes on until everything between it and the client is full, then stands still.
        let (mut before, mut still) = (0, 0);
        while still < 20 {
            tokio::time::sleep(5 * MS).await;
            still = if node.flooded.get() == before && before > 0 { still + 1 } else { 0 };
            before = node.flooded.get();
        }
        assert!(before < 24 << 20, "{before} bytes taken from the node");
        let mut some = vec![0; 1 << 20];
        client.stream.read_exact(&mut some).await.unwrap();
        until(|| node.flooded.get() > before).await;
    });
}

#[test]
fn a_client_that_takes_nothing_for_too_long_has_left() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Flood]);
        let router = Router::new(Chat, &[&node], |l| l.client_write_timeout = 60 * MS).await;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", "{}")).await;
        while node.next().await != Seen::GivenUp {}
        assert_eq!((router.tallies().client_disconnects, router.open()), (1, 0));
    });
}

#[test]
fn a_body_in_chunks_is_asked_for_and_passed_on_whole() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let mut client = Client::to(router.addr).await;
        let fields = "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n";
        client.send(&platform(fields, "").replace("Content-Length: 0\r\n", "")).await;
        assert_eq!(client.answer().await.0, 100);
        client.send("2\r\n{\"\r\n4\r\na\":1\r\n1\r\n}\r\n0\r\n\r\n").await;
        assert_eq!(client.answer().await.0, 200);
        assert_eq!(node.next_request().await.1, b"{\"a\":1}");
    });
}

#[test]
fn what_fails_for_want_of_a_connection_here_is_not_held_against_the_node() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute]);
        let router = Router::new(Chat, &[&node], |l| l.max_replica_connections = 1).await;
        let mut first = Client::to(router.addr).await;
        first.send(&platform("", "{}")).await;
        node.next_request().await;
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 503);
        assert_eq!(router.tallies().outcomes[7], 1, "skipped");
        drop(first);
        while node.next().await != Seen::GivenUp {}
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 200, "the node is not shunned");
    });
}

#[test]
fn a_probe_asks_for_the_load_and_gives_its_connection_back() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let router = Router::new(Chat, &[], |l| l.replica_reuse_delay = Duration::ZERO).await;
        router.list([row("s-1", listener.local_addr().unwrap(), "active")]);
        let probe = || {
            spawn_local(replica::probe(
                router.components.replica_context.clone(),
                router.components.dispatcher.clone(),
                tallypin::name_hash::replica_id("s-1"),
            ))
        };
        let first = probe();
        let mut node = Client { stream: listener.accept().await.unwrap().0, buf: Vec::new() };
        for next in [Some(probe), None] {
            let (head, _) = node.message().await.unwrap();
            assert!(head.starts_with("GET /metrics/load HTTP/1.1\r\n"), "{head}");
            node.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nTEXT q=2").await;
            if let Some(next) = next {
                until(|| first.is_finished()).await;
                next();
            }
        }
    });
}

#[test]
fn bad_input_is_turned_away_and_never_reaches_a_node() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l: &mut Limits| {
            (l.max_head_size, l.max_fields, l.max_body_size, l.request_read_timeout) =
                (1024, 16, 4096, 100 * MS);
        })
        .await;
        let good = platform("", "{}");
        let long = "x".repeat(2000);
        let many = "X-A: b\r\n".repeat(20);
        for (what, text, status) in [
            ("no request at all", "\0\u{1}garbage\r\n\r\n".to_string(), 400),
            ("two lengths", platform("Content-Length: 2\r\n", "{}"), 400),
            ("length and chunks", platform("Transfer-Encoding: chunked\r\n", "{}"), 400),
            ("a signed length", good.replace("Length: 2", "Length: +2"), 400),
            ("a length beyond counting", good.replace("Length: 2", "Length: 99999999999999999999"), 400),
            ("another coding", good.replace("Content-Length: 2", "Transfer-Encoding: gzip"), 501),
            ("a bad chunk", good.replace("Content-Length: 2", "Transfer-Encoding: chunked") + "\r\n", 400),
            ("a large body", good.replace("Length: 2", "Length: 5000"), 413),
            ("a large head", platform(&format!("X-A: {long}\r\n"), "{}"), 431),
            ("many fields", platform(&many, "{}"), 431),
            ("no host", good.replace("Host: b\r\n", ""), 400),
            ("no id", good.replace("Req-Id", "X-Id"), 400),
            ("an id of two words", good.replace("9b1f", "9b 1f"), 400),
            ("an unknown class", good.replace("chat\r\nReq", "poem\r\nReq"), 400),
            ("an unknown partner", good.replace("haendlerbund", "nobody"), 400),
            ("an endless wait", platform("Req-Deadline-Ms: 18446744073709551615\r\n", "{}"), 400),
            ("a wait in words", platform("Req-Deadline-Ms: soon\r\n", "{}"), 400),
            ("lengths of nothing", platform("Req-Extra: prompt_len=-1\r\n", "{}"), 400),
            ("an extra without a value", platform("Req-Extra: prefix\r\n", "{}"), 400),
            ("another path", good.replace("/v1/chat", "/v2/chat"), 404),
            ("another method", good.replace("POST", "PUT"), 405),
            ("half a body", good.replace("Length: 2", "Length: 3"), 408),
        ] {
            let mut client = Client::to(router.addr).await;
            client.send(&text).await;
            assert_eq!(client.answer().await.0, status, "{what}");
        }
        assert_eq!((node.so_far(), router.tallies().accepted), ((0, 0), 0));
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 200, "and all is well");
    });
}

#[test]
fn over_budget_is_refused_and_idle_connections_make_room() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute; 3]);
        let router = Router::new(Chat, &[&node], |l| (l.max_clients, l.body_budget) = (2, 100)).await;
        let mut idle = Client::to(router.addr).await;
        assert_eq!(idle.ask(&format!("Req-Deadline-Ms: {}\r\n", 30)).await.0, 503);
        let mut large = Client::to(router.addr).await;
        large.send(&platform("", &"x".repeat(101))).await;
        assert_eq!(large.answer().await.0, 503, "more body than the budget holds");
        drop(large);
        until(|| router.components.clients.open() == 1).await;
        let mut busy = Client::to(router.addr).await;
        busy.send(&platform("", "{}")).await;
        until(|| router.open() == 1).await;
        let mut third = Client::to(router.addr).await;
        assert_eq!(idle.answer().await.0, 0, "the idle one is closed");
        third.send(&platform("", "{}")).await;
        until(|| router.open() == 2).await;
        let (status, head, ..) = Client::to(router.addr).await.ask("").await;
        assert!(status == 503 && field(&head, "retry-after").is_some(), "{head}");
    });
}

#[test]
fn the_planned_end_serves_who_still_comes_and_finishes_what_it_has() {
    run(async {
        let (router, listener) =
            by_hand(|l| (l.shutdown_grace, l.replica_reuse_delay) = (500 * MS, Duration::ZERO)).await;
        let mut idle = Client::to(router.addr).await;
        idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await;
        assert_eq!(idle.answer().await.0, 200);
        let components = router.components.clone();
        let end = spawn_local(async move { shutdown::drain(&components).await });
        until(|| router.components.lifecycle.stage() != Stage::Serving).await;
        idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await;
        assert_eq!(idle.answer().await.0, 503, "no more clients are wanted");
        let mut late = Client::to(router.addr).await;
        late.send(&platform("", "{}")).await;
        let mut node = asked(&listener).await;
        node.send(&answer("first")).await;
        assert_eq!(late.answer().await.0, 200, "but who comes is served");
        late.send(&platform("", "{}")).await;
        node.message().await.expect("a request");
        until(|| router.components.lifecycle.stage() == Stage::Closing).await;
        node.send(&answer("second")).await;
        assert_eq!((late.answer().await.0, late.answer().await.0), (200, 0), "to the end, then closed");
        end.await.unwrap();
        assert_eq!((idle.answer().await.0, router.components.clients.open()), (0, 0));
        assert!(TcpStream::connect(router.addr).await.is_err(), "nobody listens any more");
    });
}

/// The next call to a stand-in for the node list, and its head.
/// Guards against a rolling restart that takes the last router down before the one before it is back.
#[test]
fn the_last_router_serves_the_connections_it_has_for_longer() {
    for heard in [false, true] {
        run(async move {
            let node = Node::new(Chat).await;
            let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let mine = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
            let each = vec![mine, other.local_addr().unwrap()];
            let peers = Peers::new(
                PeerAddresses { listen: mine, each, all: None },
                PeerId(0),
                TenantsDigest::default(),
            )
            .await
            .unwrap();
            let mut config = config();
            let limits = &mut config.limits;
            (limits.shutdown_grace, limits.lone_router_shutdown_grace, limits.peer_silence_timeout) =
                (20 * MS, 200 * MS, 100 * MS);
            let router = Router::by(config, Chat, &[&node], Some(peers)).await;
            let mut client = Client::to(router.addr).await;
            assert_eq!(client.ask("").await.0, 200);
            tokio::time::sleep(120 * MS).await;
            if heard {
                other.send_to(b"here", mine).await.unwrap();
                until(|| router.components.peers.as_ref().is_some_and(|p| p.received_within(100 * MS))).await;
            }
            let components = router.components.clone();
            let end = spawn_local(async move { shutdown::drain(&components).await });
            tokio::time::sleep(60 * MS).await;
            let mut after = [0; 12];
            let _ = client.stream.write_all(platform("", "{}").as_bytes()).await;
            let served = client.stream.read_exact(&mut after).await.is_ok() && &after == b"HTTP/1.1 200";
            assert_eq!(served, !heard);
            drop(client);
            end.await.unwrap();
        });
    }
}

/// Guards against a kill that finds what came late in the grace unanswered: that would be lost.
#[test]
fn what_came_late_in_the_grace_has_its_end_before_the_kill() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Flood, Fault::Mute, Fault::Flood]);
        let router = Router::new(Chat, &[&node], |l| {
            (l.shutdown_grace, l.late_arrival_after_stop, l.forwarding_end_after_stop) =
                (600 * MS, 2 * MS, 900 * MS);
        })
        .await;
        let mut early = Client::to(router.addr).await;
        early.send(&platform("", "{}")).await;
        node.next_request().await;
        // Until all buffers are full: a flood that still runs leaves an unoptimised build no time for the others.
        let mut flooded = 0;
        while flooded == 0 || node.flooded.get() > flooded {
            flooded = node.flooded.get();
            tokio::time::sleep(40 * MS).await;
        }
        let (components, told) = (router.components.clone(), Instant::now());
        let end = spawn_local(async move { shutdown::drain(&components).await });
        tokio::time::sleep(router.components.limits.late_arrival_after_stop * 5).await;
        let (mut waiting, mut begun) = (Client::to(router.addr).await, Client::to(router.addr).await);
        for late in [&mut waiting, &mut begun] {
            late.send(&platform("", "{}")).await;
            node.next_request().await;
        }
        let mut read = Vec::new();
        begun.stream.read_to_end(&mut read).await.unwrap();
        assert!(read.starts_with(b"HTTP/1.1 200") && !read.ends_with(b"0\r\n\r\n"));
        assert_eq!(waiting.answer().await.0, 503);
        assert!((850 * MS..1250 * MS).contains(&told.elapsed()), "{:?}", told.elapsed());
        assert_eq!((router.tallies().interrupted, router.open()), (1, 1), "the early one goes on");
        drop((early, waiting, begun));
        end.await.unwrap();
    });
}

#[test]
fn a_lost_list_goes_on_being_used_and_is_asked_for_again() {
    run(async {
        let node = Node::new(Chat).await;
        let list = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config();
        (config.limits.watch_silence_timeout, config.node_list) = (100 * MS, list.local_addr().unwrap());
        let router = Router::by(config, Chat, &[], None).await;
        let (mut call, head) = next_call(&list).await;
        assert!(head.starts_with("GET /discovery/hosts?follow=1 HTTP/1.1\r\n"), "{head}");
        call.send(&(WATCH.to_string() + &page(41, true, "s-1", &node, "active"))).await;
        until(|| router.components.replicas.ready_count() == 1).await;
        // Silent for too long, malformed, refused: each time the list is kept and asked for anew.
        for answer in ["", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]\n", "HTTP/1.1 503 No\r\n\r\n"] {
            let (mut again, head) = next_call(&list).await;
            assert!(head.contains("since=41"), "{head}");
            assert_eq!(Client::to(router.addr).await.ask("").await.0, 200);
            again.send(answer).await;
            call = again; // dropped, and so closed, only when the next call has come
        }
        drop(call);
    });
}

/// Guards against lists that are pushed and never read: the module asks for none there, and what the agent holds counts
/// as told. In an outage the agent takes calls and answers none; each is given up for the next.
#[test]
fn a_pushed_list_is_followed_from_the_start_and_called_for_until_the_agent_speaks_again() {
    run(async {
        let node = Node::new(Chat).await;
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config();
        config.deployment.decisions.list_mode = EndpointListMode::Pushed;
        config.node_list = agent.local_addr().unwrap();
        (config.limits.watch_silence_timeout, config.limits.agent_response_timeout) = (100 * MS, 50 * MS);
        let router = Router::by(config, Chat, &[], None).await;
        let (mut call, head) = next_call(&agent).await;
        assert!(head.starts_with("GET /discovery/hosts?follow=1 HTTP/1.1\r\n"), "{head}");
        // Indented, and in two pieces.
        let text = format!(
            "{{\n  \"version\": 41,\n  \"full\": true,\n  \"servers\": [\n    {{\"id\": \"s-1\",\n     \"addr\": \"{}\",\n     \
             \"state\": \"active\"}}\n  ]\n}}\n\n",
            node.addr
        );
        let (first, second) = text.split_at(70);
        call.send(&format!("{WATCH}{:x}\r\n{first}\r\n", first.len())).await;
        call.send(&format!("{:x}\r\n{second}\r\n", second.len())).await;
        until(|| router.components.replicas.ready_count() == 1).await;
        // It falls silent, and so does whoever is called after it.
        let mut unanswered = Vec::new();
        for _ in 0..3 {
            let (call, head) = next_call(&agent).await;
            assert!(head.contains("since=41"), "{head}");
            assert_eq!(Client::to(router.addr).await.ask("").await.0, 200, "what is held goes on being used");
            unanswered.push(call);
        }
        let (mut back, _) = next_call(&agent).await;
        back.send(&(WATCH.to_string() + &page(42, false, "s-1", &node, "leaving"))).await;
        until(|| router.components.replicas.ready_count() == 0).await;
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 503);
    });
}

/// Guards against a list that is followed for good where the start found it: its place moves, the old one
/// ends, and nothing further would be heard.
#[test]
fn the_node_list_moves_and_what_is_held_counts_until_the_new_place_answers() {
    run(async {
        let (a, b) = (Node::new(Chat).await, Node::new(Chat).await);
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let mut config = config();
        (config.limits.list_call_interval, config.node_list) = (10 * MS, old.local_addr().unwrap());
        let mut moved = config.clone();
        let running = StartupConfiguration::of(&config);
        let router = Router::by(config, Chat, &[], None).await;
        let (mut first, _) = next_call(&old).await;
        first.send(&(WATCH.to_string() + &page(41, true, "s-1", &a, "active"))).await;
        until(|| router.components.replicas.ready_count() == 1).await;
        moved.node_list = new.local_addr().unwrap();
        reload::apply(&router.components.endpoint_list.state, &running, &moved);
        // Its versions are its own: the whole list is asked for, and again when that fails.
        for _ in 0..2 {
            let (mut call, head) = next_call(&new).await;
            assert!(!head.contains("since"), "{head}");
            call.send("HTTP/1.1 503 No\r\n\r\n").await;
        }
        let (mut second, _) = next_call(&new).await;
        first.send(&page(42, false, "s-2", &b, "active")).await;
        until(|| router.components.replicas.ready_count() == 2).await;
        second.send(&(WATCH.to_string() + &page(3, true, "s-2", &b, "active"))).await;
        assert!(first.message().await.is_none(), "the old watch is closed");
        until(|| router.components.replicas.ready_count() == 1).await;
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 200);
        // Lost, it is asked for where it is now, from what that place has told.
        drop(second);
        let (_, head) = next_call(&new).await;
        assert!(head.contains("since=3"), "{head}");
    });
}

#[test]
fn datagrams_go_between_routers_and_only_so_long_and_only_from_peers() {
    run(async {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let mine = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let each = vec![mine, other.local_addr().unwrap()];
        let peers =
            Peers::new(PeerAddresses { listen: mine, each, all: None }, PeerId(0), TenantsDigest::default())
                .await
                .unwrap();
        peers.gossip(&[7; 257]);
        peers.gossip(&[7; 256]);
        let mut buf = [0; 512];
        assert_eq!(other.recv_from(&mut buf).await.unwrap(), (256, mine));
        stranger.send_to(b"lies", mine).await.unwrap();
        other.send_to(&[1; 300], mine).await.unwrap();
        other.send_to(b"news", mine).await.unwrap();
        assert_eq!(peers.receive().await, (PeerId(1), b"news".to_vec()));
        assert_eq!(peers.dropped(), DroppedMessages { unknown_senders: 2, incompatible: 1, malformed: 0 });
        let torn =
            [&served_report::encode(TenantsDigest::default(), 1000, &[served(1, 0)]).remove(0)[..], &[0xff]]
                .concat();
        other.send_to(&torn, mine).await.unwrap();
        assert_eq!(peers.receive().await, (PeerId(1), torn));
        assert_eq!(peers.dropped(), DroppedMessages { unknown_senders: 2, incompatible: 1, malformed: 1 });
    });
}
