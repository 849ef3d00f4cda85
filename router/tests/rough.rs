//! Clients and replicas on real sockets that violate the protocol, or stay connected and send nothing.
#![allow(missing_docs)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tallypin_router::dialect::Dialect::Chat;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const MS: Duration = Duration::from_millis(1);

/// Guards against two requests with one id: replicas would take them for copies of one request.
#[test]
fn a_request_id_in_use_is_rejected_and_its_first_request_is_served() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::SlowFirstEvent]);
        let router = TestRouter::new(Chat, &[&replica], |l| l.max_remembered_requests = 1).await;
        let (mut owner, mut other) = (Client::connect(router.addr).await, Client::connect(router.addr).await);
        let request = platform_request("", "{}");
        owner.send(&request).await;
        replica.next_request().await;
        other.send(&request).await;
        assert_eq!(other.read_answer().await.0, 409);
        assert_eq!((owner.read_answer().await.0, replica.take_counts().1), (200, 0));
        // A late copy is still rejected; after further requests, the id is forgotten.
        other.send(&request).await;
        assert_eq!(other.read_answer().await.0, 409);
        for _ in 0..2 {
            assert_eq!(owner.send_platform_request("").await.0, 200);
        }
        assert_eq!(router.components.request_ids.len(), 1);
    });
}

/// Guards against idle connections that take up the limit at the expense of active ones.
#[test]
fn idle_connections_are_closed_before_those_with_a_partial_request() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |l| {
            (l.max_clients, l.client_eviction_idle_time) = (3, Duration::ZERO)
        })
        .await;
        let mut active = Client::connect(router.addr).await;
        assert_eq!(active.send_platform_request("").await.0, 200);
        let mut partial = Client::connect(router.addr).await;
        let request = platform_request("", "{}");
        partial.send(&request[..20]).await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(Client::connect(router.addr).await);
        }
        for client in &mut silent[..39] {
            assert_eq!(client.read_answer().await.0, 0, "closed because the limit is exceeded");
        }
        partial.send(&request[20..]).await;
        assert_eq!((partial.read_answer().await.0, active.send_platform_request("").await.0), (200, 200));
        // Connections told to close are still read for a moment. The limit is no longer exceeded, so no other
        // connection is closed.
        wait_until(|| router.components.clients.open() <= 3).await;
        assert_eq!(
            (router.components.clients.open(), router.components.clients.has_closing_connection()),
            (3, false)
        );
        silent[39].send(&platform_request("", "{}")).await;
        assert_eq!(silent[39].read_answer().await.0, 200);
    });
}

/// Guards against clients that hold a connection without sending a request, or never complete one.
#[test]
fn the_first_request_must_arrive_completely_within_its_timeout() {
    run_test(async {
        let router = TestRouter::new(Chat, &[], |l| {
            (l.first_request_timeout, l.request_read_timeout) = (60 * MS, 90 * MS)
        })
        .await;
        let (mut silent, mut partial) =
            (Client::connect(router.addr).await, Client::connect(router.addr).await);
        tokio::time::sleep(30 * MS).await; // the timeout runs from the connection, not from the first byte
        partial.send("POST /v1/chat").await;
        let started = Instant::now();
        assert_eq!((silent.read_answer().await.0, partial.read_answer().await.0), (0, 408));
        assert!(started.elapsed() < 85 * MS, "{:?}", started.elapsed());
    });
}

/// Guards against an identifier that runs twice: its client left, and it came again behind the requests of others.
#[test]
fn the_id_of_a_client_that_left_is_not_served_again_behind_thousands_of_others() {
    const OTHERS: usize = 5000;
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let request = platform_request("", "{}");
        let mut leaving = Client::connect(router.addr).await;
        leaving.send(&request).await;
        replica.next_request().await;
        disconnect([leaving]);
        wait_until(|| router.request_counts().client_disconnects == 1).await;
        for number in 0..OTHERS {
            let id = format!("other-{number}");
            drop(router.components.request_ids.reserve(id.as_bytes()).expect("the identifier is new"));
        }
        let mut again = Client::connect(router.addr).await;
        again.send(&request).await;
        assert_eq!(again.read_answer().await.0, 409);
        assert_eq!(replica.take_counts().1, 0, "the replica gets the identifier once");
    });
}

/// Guards against bodies that are announced and never sent, which would use up the budget of other requests.
#[test]
fn a_body_counts_against_the_budget_as_it_arrives() {
    const BODY_SIZE: usize = 9000;
    /// More than a request takes apart from its body.
    const HEAD_MEMORY: usize = 2 << 10;
    const ANNOUNCED: usize = 8;
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let budget = BODY_SIZE + (ANNOUNCED + 1) * HEAD_MEMORY;
        let router = TestRouter::new(Chat, &[&replica], |l| l.request_budget = budget).await;
        let mut announced = Vec::new();
        let content_length = format!("Content-Length: {BODY_SIZE}\r\n");
        for fields in ["Transfer-Encoding: chunked\r\n", &content_length].repeat(ANNOUNCED / 2) {
            let mut client = Client::connect(router.addr).await;
            client.send(&platform_request(fields, "").replace("Content-Length: 0\r\n", "")).await;
            announced.push(client);
        }
        wait_until(|| router.components.clients.open() == ANNOUNCED).await;
        let mut active = Client::connect(router.addr).await;
        active.send(&platform_request("", &"x".repeat(BODY_SIZE))).await;
        assert_eq!(active.read_answer().await.0, 200);
        let mut large = Client::connect(router.addr).await;
        large.send(&platform_request("", &"x".repeat(budget + 1))).await;
        assert_eq!(large.read_answer().await.0, 503);
    });
}

/// Guards against a client that takes up the processor because it retries at once whenever it is rejected.
#[test]
fn a_client_that_keeps_retrying_at_once_is_not_read_for_a_while() {
    run_test(async {
        let router =
            TestRouter::new(Chat, &[], |l| (l.max_immediate_retries, l.immediate_retry_pause) = (2, 50 * MS))
                .await;
        let mut retrying_client = Client::connect(router.addr).await;
        let started = Instant::now();
        retrying_client.send(&(0..6).map(|_| platform_request("", "{}")).collect::<String>()).await;
        for _ in 0..6 {
            assert_eq!(retrying_client.read_answer().await.0, 503);
        }
        assert!(started.elapsed() >= 150 * MS, "{:?}", started.elapsed());
        let (mut calm, started) = (Client::connect(router.addr).await, Instant::now());
        for _ in 0..6 {
            assert_eq!(calm.send_platform_request("").await.0, 503);
            tokio::time::sleep(25 * MS).await;
        }
        assert!(started.elapsed() < 250 * MS, "{:?}", started.elapsed());
    });
}

/// Guards against corrupted streams: no byte that is not part of the response may be forwarded, the last chunk
/// only after the complete response, and the connection must not be reused.
#[test]
fn a_corrupted_stream_fails_and_its_connection_is_not_reused() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let router = TestRouter::new(Chat, &[], |l| l.response_head_timeout = 80 * MS).await;
        let first = STREAM_HEAD.to_string() + &chunk(CHAT[0]);
        let valid_response =
            STREAM_HEAD.to_string() + &CHAT.iter().map(|e| chunk(e)).collect::<String>() + "0\r\n\r\n";
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        let invalid_load =
            valid_response.replacen("\r\n", "\r\nSrv-Load: TEXT q=nan, eps=-1, latency_ms=1e999\r\n", 1);
        let refused = (503, "refused\n".to_string(), true);
        let large_chunk = chunk(&CHAT[1].repeat(4000));
        for (n, (case, text, expected)) in [
            ("invalid bytes", "\0\u{1}garbage\r\n\r\n".to_string(), refused.clone()),
            (
                "a head that is too long",
                STREAM_HEAD.replace("\r\n\r\n", &"\r\nX-A: b".repeat(3000)),
                refused.clone(),
            ),
            ("a head that is incomplete", "HTTP/1.1 200 O".to_string(), refused.clone()),
            ("endless interim responses", interim.repeat(500), refused.clone()),
            (
                "a first chunk that is too long",
                first.replace("\r\ndata", "0\r\ndata") + &large_chunk,
                refused.clone(),
            ),
            ("a first chunk too short", first.replace("Grüß", "Grüß Gott, "), refused.clone()),
            ("a chunk size that is no number", first.clone() + "many\r\n", (200, CHAT[0].into(), false)),
            ("a negative chunk size", first.clone() + "-5\r\nabcde\r\n", (200, CHAT[0].into(), false)),
            (
                "a chunk of 3 GB with complete events",
                first.clone() + "b2d05e00\r\n" + &CHAT[1].repeat(90),
                (200, CHAT[0].into(), false),
            ),
            (
                "a second response after it",
                valid_response.clone() + &valid_response,
                (200, CHAT.concat(), true),
            ),
            (
                "one interim response before it",
                interim.to_string() + &valid_response,
                (200, CHAT.concat(), true),
            ),
            ("an invalid load report", invalid_load, (200, CHAT.concat(), true)),
        ]
        .into_iter()
        .enumerate()
        {
            // Each case uses a new replica id, so that failures of one do not affect the next.
            router.set_endpoint_list([endpoint_record(
                &format!("s-{n}"),
                listener.local_addr().unwrap(),
                "active",
            )]);
            let started = Instant::now();
            let mut client = Client::connect(router.addr).await;
            client.send(&platform_request("Req-Deadline-Ms: 700\r\n", "{}")).await;
            let (stream, _) = listener.accept().await.unwrap();
            let mut replica = Client { stream, buf: Vec::new() };
            replica.read_message().await.unwrap();
            let reused = spawn_local(async move {
                let _ = replica.stream.write_all(text.as_bytes()).await;
                replica.read_message().await.is_some()
            });
            let (status, _, body, whole) = client.read_answer().await;
            assert_eq!((status, body, whole), expected, "{case}");
            assert!(started.elapsed() < 600 * MS, "{case}: {:?}", started.elapsed());
            // Intact connections are retained and closed when their replica is removed; none carries a second
            // request.
            router.set_endpoint_list([]);
            assert!(!reused.await.unwrap(), "{case}");
        }
        assert_eq!(router.components.replicas.connection_counts(), (0, 0));
    });
}

/// Guards against closing a connection with unread bytes from the client: that resets it, and the client may lose
/// the part of its broken stream that it has not read yet.
#[test]
fn a_broken_stream_ends_without_a_reset_although_requests_are_unread() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::SilentAfterFirstText]);
        let router = TestRouter::new(Chat, &[&replica], |l| l.stream_silence_timeout = 200 * MS).await;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        client.send(&platform_request("", "{}").repeat(300)).await;
        let mut all = String::new();
        client.stream.read_to_string(&mut all).await.expect("no reset");
        assert!(all.contains(CHAT[0]) && !all.ends_with("0\r\n\r\n"), "{all}");
    });
}

/// Guards against a second response to a request after the first one has ended: on a connection that is reused at
/// once it would count as the response to the next request. The reuse delay here is so long that no connection is
/// reused, however slow the machine is.
#[test]
fn a_late_second_response_is_not_forwarded() {
    run_test(async {
        let (router, listener) = router_with_manual_replica(|l| l.replica_reuse_delay = Duration::MAX).await;
        let (mut one, mut other) = (Client::connect(router.addr).await, Client::connect(router.addr).await);
        one.send(&platform_request("", "{}")).await;
        let mut first = accept_request(&listener).await;
        first.send(&streamed_answer("first")).await;
        assert!(one.read_answer().await.2.contains("first"));
        // The second request is sent at once; then the second response to the first request arrives.
        other.send(&platform_request("", "{}")).await;
        let mut second = accept_request(&listener).await;
        first.send(&streamed_answer("late")).await;
        second.send(&streamed_answer("second")).await;
        assert!(other.read_answer().await.2.contains("second"));
    });
}

/// Guards against reusing a corrupted connection after the reuse delay, and against never reusing an intact one.
#[test]
fn after_the_reuse_delay_a_corrupted_connection_is_closed_and_an_intact_one_reused() {
    run_test(async {
        let (router, listener) = router_with_manual_replica(|_| {}).await;
        let (mut one, mut other) = (Client::connect(router.addr).await, Client::connect(router.addr).await);
        one.send(&platform_request("", "{}")).await;
        let mut first = accept_request(&listener).await;
        other.send(&platform_request("", "{}")).await;
        let mut second = accept_request(&listener).await;
        second.send(&streamed_answer("second")).await;
        assert!(other.read_answer().await.2.contains("second"));
        // The most recently used connection, which would be reused first.
        first.send(&streamed_answer("first")).await;
        assert!(one.read_answer().await.2.contains("first"));
        first.send(&streamed_answer("late")).await;
        tokio::time::sleep(router.components.limits.replica_reuse_delay * 2).await;
        one.send(&platform_request("", "{}")).await;
        second.read_message().await.expect("request on the intact connection");
        second.send(&streamed_answer("third")).await;
        assert!(one.read_answer().await.2.contains("third"));
        assert!(first.read_message().await.is_none(), "the corrupted connection is closed");
    });
}

/// Guards against a new replica at the address of a removed one that gets requests on connections opened to the
/// removed one.
#[test]
fn a_new_node_at_an_old_address_gets_no_old_connection() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let mut config = config();
        // Disables the warm-up, so that a replica accepts requests as soon as it has started.
        config.deployment.decision_settings.warm_up_time = 0;
        let router = TestRouter::with_config(config, Chat, &[&replica], None).await;
        let mut client = Client::connect(router.addr).await;
        assert_eq!(client.send_platform_request("").await.0, 200);
        let mut restarted = endpoint_record("s-1", replica.addr, "active");
        for (id, rows) in [
            ("s-1", [endpoint_record("s-1", replica.addr, "active")]),
            ("s-1, restarted", {
                restarted.started_ms = 5;
                [restarted]
            }),
        ] {
            router.set_endpoint_list(rows);
            assert_eq!(router.components.replicas.connection_counts(), (0, 0), "{id}");
            replica.take_counts();
            assert_eq!(
                (client.send_platform_request("").await.0, replica.take_counts()),
                (200, (1, 1)),
                "{id}"
            );
        }
        // A connection that was in use when its replica was removed is not retained.
        replica.add_faults(&[ReplicaFault::SlowFirstEvent]);
        client.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        router.set_endpoint_list([endpoint_record("s-2", replica.addr, "active")]);
        assert_eq!(
            (client.read_answer().await.0, router.components.replicas.connection_counts().1),
            (200, 0)
        );
    });
}

/// Guards against a replica that is cut off from the network: its idle connections give no sign of that, so after one
/// request without a response the next request has to open a new connection, which detects the failure.
#[test]
fn idle_connections_of_an_unresponsive_node_are_closed() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[
            ReplicaFault::SlowFirstEvent,
            ReplicaFault::SlowFirstEvent,
            ReplicaFault::NoAnswer,
        ]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let (mut a, mut b) = (Client::connect(router.addr).await, Client::connect(router.addr).await);
        a.send(&platform_request("", "{}")).await;
        b.send(&platform_request("", "{}")).await;
        assert_eq!((a.read_answer().await.0, b.read_answer().await.0), (200, 200));
        assert_eq!(router.components.replicas.connection_counts(), (2, 2));
        assert_eq!(a.send_platform_request("Req-Deadline-Ms: 60\r\n").await.0, 503);
        wait_until(|| router.components.replicas.connection_counts() == (0, 0)).await;
    });
}

/// Guards against request smuggling: a body in which one side sees a second request.
#[test]
fn a_request_hidden_in_a_body_is_not_served() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let hidden = platform_request("", "{}");
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("Transfer-Encoding: chunked\r\n", &format!("0\r\n\r\n{hidden}"))).await;
        let mut all = String::new();
        client.stream.read_to_string(&mut all).await.unwrap();
        assert!(all.starts_with("HTTP/1.1 400 ") && all.matches("HTTP/1.1").count() == 1, "{all}");
        assert_eq!((replica.take_counts(), router.request_counts().accepted), ((0, 0), 0));
    });
}
