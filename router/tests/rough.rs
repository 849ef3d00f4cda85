//! Real sockets and rough company: clients and model nodes that break the protocol, or stay and say nothing.
#![allow(missing_docs)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tallypin_router::dialect::Dialect::Chat;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const MS: Duration = Duration::from_millis(1);

/// Guards against two requests under one name: model nodes would take them for copies of one.
#[test]
fn a_name_in_use_is_refused_to_another_and_its_owner_is_served() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Slow]);
        let router = Router::new(Chat, &[&node], |l| l.max_remembered_requests = 1).await;
        let (mut owner, mut other) = (Client::to(router.addr).await, Client::to(router.addr).await);
        let request = platform("", "{}");
        owner.send(&request).await;
        node.next_request().await;
        other.send(&request).await;
        assert_eq!(other.answer().await.0, 409);
        assert_eq!((owner.answer().await.0, node.so_far().1), (200, 0));
        // A copy may be late; further on, the name is forgotten.
        other.send(&request).await;
        assert_eq!(other.answer().await.0, 409);
        for _ in 0..2 {
            assert_eq!(owner.ask("").await.0, 200);
        }
        assert_eq!(router.components.request_ids.len(), 1);
    });
}

/// Guards against connections that say nothing and take the room of those that do.
#[test]
fn who_says_nothing_goes_first_and_who_has_begun_stays() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l| {
            (l.max_clients, l.client_eviction_idle_time) = (3, Duration::ZERO)
        })
        .await;
        let mut usual = Client::to(router.addr).await;
        assert_eq!(usual.ask("").await.0, 200);
        let mut half = Client::to(router.addr).await;
        let request = platform("", "{}");
        half.send(&request[..20]).await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(Client::to(router.addr).await);
        }
        for quiet in &mut silent[..39] {
            assert_eq!(quiet.answer().await.0, 0, "closed to make room");
        }
        half.send(&request[20..]).await;
        assert_eq!((half.answer().await.0, usual.ask("").await.0), (200, 200));
        // Those that were told to close are read for a moment more. Nobody needs room any more, so nobody else is closed.
        until(|| router.components.clients.open() <= 3).await;
        assert_eq!(
            (router.components.clients.open(), router.components.clients.is_one_closing()),
            (3, false)
        );
        silent[39].send(&platform("", "{}")).await;
        assert_eq!(silent[39].answer().await.0, 200);
    });
}

/// Guards against clients that hold a connection without ever asking, or never end what they began.
#[test]
fn a_first_request_has_to_come_and_to_be_whole_soon() {
    run(async {
        let router = Router::new(Chat, &[], |l| {
            (l.first_request_timeout, l.request_read_timeout) = (60 * MS, 90 * MS)
        })
        .await;
        let (mut silent, mut half) = (Client::to(router.addr).await, Client::to(router.addr).await);
        tokio::time::sleep(30 * MS).await; // its time runs from the connection, not from the first byte
        half.send("POST /v1/chat").await;
        let begun = Instant::now();
        assert_eq!((silent.answer().await.0, half.answer().await.0), (0, 408));
        assert!(begun.elapsed() < 85 * MS, "{:?}", begun.elapsed());
    });
}

/// Guards against bodies that are announced and never sent: they would leave no room for the others.
#[test]
fn a_body_counts_as_it_comes() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l| l.body_budget = 1000).await;
        let mut announced = Vec::new();
        for fields in ["Transfer-Encoding: chunked\r\n", "Content-Length: 900\r\n"].repeat(4) {
            let mut client = Client::to(router.addr).await;
            client.send(&platform(fields, "").replace("Content-Length: 0\r\n", "")).await;
            announced.push(client);
        }
        until(|| router.components.clients.open() == 8).await;
        let mut usual = Client::to(router.addr).await;
        usual.send(&platform("", &"x".repeat(900))).await;
        assert_eq!(usual.answer().await.0, 200);
        let mut large = Client::to(router.addr).await;
        large.send(&platform("", &"x".repeat(1001))).await;
        assert_eq!(large.answer().await.0, 503);
    });
}

/// Guards against a client that asks again the moment it is turned away, and so takes the processor.
#[test]
fn who_asks_again_at_once_again_and_again_is_not_read_for_a_while() {
    run(async {
        let router =
            Router::new(Chat, &[], |l| (l.max_immediate_retries, l.immediate_retry_pause) = (2, 50 * MS))
                .await;
        let mut hasty = Client::to(router.addr).await;
        let begun = Instant::now();
        hasty.send(&(0..6).map(|_| platform("", "{}")).collect::<String>()).await;
        for _ in 0..6 {
            assert_eq!(hasty.answer().await.0, 503);
        }
        assert!(begun.elapsed() >= 150 * MS, "{:?}", begun.elapsed());
        let (mut calm, begun) = (Client::to(router.addr).await, Instant::now());
        for _ in 0..6 {
            assert_eq!(calm.ask("").await.0, 503);
            tokio::time::sleep(25 * MS).await;
        }
        assert!(begun.elapsed() < 250 * MS, "{:?}", begun.elapsed());
    });
}

/// Guards against streams spoilt on their way: no byte that is not the answer's may pass, the last chunk
/// only after the whole, and the connection serves nobody else.
#[test]
fn a_spoilt_stream_fails_and_its_connection_is_not_used_again() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let router = Router::new(Chat, &[], |l| l.response_head_timeout = 80 * MS).await;
        let first = HEAD.to_string() + &chunk(CHAT[0]);
        let good = HEAD.to_string() + &CHAT.iter().map(|e| chunk(e)).collect::<String>() + "0\r\n\r\n";
        let again = "HTTP/1.1 100 Continue\r\n\r\n";
        let spoilt_load = good.replacen("\r\n", "\r\nSrv-Load: TEXT q=nan, eps=-1, latency_ms=1e999\r\n", 1);
        let refused = (503, "refused\n".to_string(), true);
        let huge = chunk(&CHAT[1].repeat(4000));
        for (n, (what, text, wanted)) in [
            ("noise", "\0\u{1}garbage\r\n\r\n".to_string(), refused.clone()),
            ("a head that goes on", HEAD.replace("\r\n\r\n", &"\r\nX-A: b".repeat(3000)), refused.clone()),
            ("a head that stops", "HTTP/1.1 200 O".to_string(), refused.clone()),
            ("answers before it without end", again.repeat(500), refused.clone()),
            (
                "a first chunk that does not fit",
                first.replace("\r\ndata", "0\r\ndata") + &huge,
                refused.clone(),
            ),
            ("a first chunk too short", first.replace("Grüß", "Grüß Gott, "), refused.clone()),
            ("a size in words", first.clone() + "many\r\n", (200, CHAT[0].into(), false)),
            ("a negative size", first.clone() + "-5\r\nabcde\r\n", (200, CHAT[0].into(), false)),
            (
                "3 GB of whole events",
                first.clone() + "b2d05e00\r\n" + &CHAT[1].repeat(90),
                (200, CHAT[0].into(), false),
            ),
            ("another answer behind", good.clone() + &good, (200, CHAT.concat(), true)),
            ("one answer before", again.to_string() + &good, (200, CHAT.concat(), true)),
            ("a load that is none", spoilt_load, (200, CHAT.concat(), true)),
        ]
        .into_iter()
        .enumerate()
        {
            // Under a new name each time: what one did is not held against the next.
            router.list([row(&format!("s-{n}"), listener.local_addr().unwrap(), "active")]);
            let begun = Instant::now();
            let mut client = Client::to(router.addr).await;
            client.send(&platform("Req-Deadline-Ms: 700\r\n", "{}")).await;
            let (stream, _) = listener.accept().await.unwrap();
            let mut node = Client { stream, buf: Vec::new() };
            node.message().await.unwrap();
            let reused = spawn_local(async move {
                let _ = node.stream.write_all(text.as_bytes()).await;
                node.message().await.is_some()
            });
            let (status, _, body, whole) = client.answer().await;
            assert_eq!((status, body, whole), wanted, "{what}");
            assert!(begun.elapsed() < 600 * MS, "{what}: {:?}", begun.elapsed());
            // Good ones are kept, and closed when their node goes; none carries a second request.
            router.list([]);
            assert!(!reused.await.unwrap(), "{what}");
        }
        assert_eq!(router.components.replicas.connection_counts(), (0, 0));
    });
}

/// Guards against a close over bytes that the client has sent ahead: it resets the connection, and what the client has
/// not read yet of its broken stream may be lost with it.
#[test]
fn a_broken_stream_ends_without_a_reset_whatever_was_sent_ahead() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Silence]);
        let router = Router::new(Chat, &[&node], |l| l.stream_silence_timeout = 200 * MS).await;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", "{}")).await;
        node.next_request().await;
        client.send(&platform("", "{}").repeat(300)).await;
        let mut all = String::new();
        client.stream.read_to_string(&mut all).await.expect("no reset");
        assert!(all.contains(CHAT[0]) && !all.ends_with("0\r\n\r\n"), "{all}");
    });
}

/// Guards against a second answer to one request that comes after the first has ended: on a connection that is used again
/// at once it would be taken for the next request's. Here none has rested long enough, however slow the machine is.
#[test]
fn a_second_answer_that_comes_late_is_nobody_s() {
    run(async {
        let (router, listener) = by_hand(|l| l.replica_reuse_delay = Duration::MAX).await;
        let (mut one, mut other) = (Client::to(router.addr).await, Client::to(router.addr).await);
        one.send(&platform("", "{}")).await;
        let mut first = asked(&listener).await;
        first.send(&answer("first")).await;
        assert!(one.answer().await.2.contains("first"));
        // Asked for at once; then the second answer to the first comes.
        other.send(&platform("", "{}")).await;
        let mut second = asked(&listener).await;
        first.send(&answer("late")).await;
        second.send(&answer("second")).await;
        assert!(other.answer().await.2.contains("second"));
    });
}

/// Guards against a spoilt connection that is used again once it has rested, and against one that rests for ever.
#[test]
fn of_two_rested_connections_the_spoilt_one_is_closed_and_the_other_used() {
    run(async {
        let (router, listener) = by_hand(|_| {}).await;
        let (mut one, mut other) = (Client::to(router.addr).await, Client::to(router.addr).await);
        one.send(&platform("", "{}")).await;
        let mut first = asked(&listener).await;
        other.send(&platform("", "{}")).await;
        let mut second = asked(&listener).await;
        second.send(&answer("second")).await;
        assert!(other.answer().await.2.contains("second"));
        // The most recently used one, which would be taken first.
        first.send(&answer("first")).await;
        assert!(one.answer().await.2.contains("first"));
        first.send(&answer("late")).await;
        tokio::time::sleep(router.components.limits.replica_reuse_delay * 2).await;
        one.send(&platform("", "{}")).await;
        second.message().await.expect("on the one that is not spoilt");
        second.send(&answer("third")).await;
        assert!(one.answer().await.2.contains("third"));
        assert!(first.message().await.is_none(), "closed");
    });
}

/// Guards against a new node at the address of one that has gone: it would be asked on connections that
/// were opened to the other one.
#[test]
fn a_new_node_at_an_old_address_inherits_no_connection() {
    run(async {
        let node = Node::new(Chat).await;
        let mut config = config();
        // A node that has just started takes work at once here: this is about connections.
        config.deployment.decisions.warm_up_time = 0;
        let router = Router::by(config, Chat, &[&node], None).await;
        let mut client = Client::to(router.addr).await;
        assert_eq!(client.ask("").await.0, 200);
        let mut restarted = row("s-1", node.addr, "active");
        for (id, rows) in [
            ("s-1", [row("s-1", node.addr, "active")]),
            ("s-1, restarted", {
                restarted.started_ms = 5;
                [restarted]
            }),
        ] {
            router.list(rows);
            assert_eq!(router.components.replicas.connection_counts(), (0, 0), "{id}");
            node.so_far();
            assert_eq!((client.ask("").await.0, node.so_far()), (200, (1, 1)), "{id}");
        }
        // One that was out when its node went does not come back.
        node.plan(&[Fault::Slow]);
        client.send(&platform("", "{}")).await;
        node.next_request().await;
        router.list([row("s-2", node.addr, "active")]);
        assert_eq!((client.answer().await.0, router.components.replicas.connection_counts().1), (200, 0));
    });
}

/// Guards against a machine that is cut off: nothing is said on the connections it had, so after one request
/// without an answer the next has to open a new one, and that tells.
#[test]
fn a_silent_node_has_its_idle_connections_closed() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Slow, Fault::Slow, Fault::Mute]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let (mut a, mut b) = (Client::to(router.addr).await, Client::to(router.addr).await);
        a.send(&platform("", "{}")).await;
        b.send(&platform("", "{}")).await;
        assert_eq!((a.answer().await.0, b.answer().await.0), (200, 200));
        assert_eq!(router.components.replicas.connection_counts(), (2, 2));
        assert_eq!(a.ask("Req-Deadline-Ms: 60\r\n").await.0, 503);
        until(|| router.components.replicas.connection_counts() == (0, 0)).await;
    });
}

/// Guards against a body of which one side reads another request.
#[test]
fn a_request_hidden_in_a_body_goes_nowhere() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let hidden = platform("", "{}");
        let mut client = Client::to(router.addr).await;
        client.send(&platform("Transfer-Encoding: chunked\r\n", &format!("0\r\n\r\n{hidden}"))).await;
        let mut all = String::new();
        client.stream.read_to_string(&mut all).await.unwrap();
        assert!(all.starts_with("HTTP/1.1 400 ") && all.matches("HTTP/1.1").count() == 1, "{all}");
        assert_eq!((node.so_far(), router.tallies().accepted), ((0, 0), 0));
    });
}
