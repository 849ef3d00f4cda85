//! Tests of the router's rules over real sockets.
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
fn forwards_the_prompt_and_the_events_unchanged() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |l| l.replica_reuse_delay = Duration::ZERO).await;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("Req-Deadline-Ms: 3000\r\n", "{\"stream\": true}")).await;
        let (status, _, body, complete) = client.read_answer().await;
        assert_eq!((status, body, complete), (200, CHAT.concat(), true));
        let (head, body) = replica.next_request().await;
        assert!(head.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{head}");
        assert_eq!(body, b"{\"stream\": true}");
        assert!(header_value(&head, "req-id").unwrap().starts_with("9b1f-"), "{head}");
        let remaining_ms: u64 = header_value(&head, "req-deadline-ms").unwrap().parse().unwrap();
        assert!((2000..=3000).contains(&remaining_ms), "{remaining_ms}");
        // The next request uses the same connections.
        assert_eq!(client.send_platform_request("").await.0, 200);
        assert_eq!(replica.take_counts(), (0, 1));
        assert_eq!(router.request_counts().completed, 2);
    });
}

#[test]
fn rejects_at_once_with_retry_after_without_replicas_or_quota() {
    run_test(async {
        let router = TestRouter::new(Chat, &[], |_| {}).await;
        let (mut client, started_at) = (Client::connect(router.addr).await, Instant::now());
        let (status, head, ..) = client.send_platform_request("").await;
        assert!(
            started_at.elapsed() < 500 * MS,
            "the answer comes at once, not after {:?}",
            started_at.elapsed()
        );
        let retry_after: f64 =
            header_value(&head, "retry-after").expect("a Retry-After field").parse().unwrap();
        assert!(status == 503 && retry_after > 0.0 && retry_after <= 2.0, "{status} {retry_after}");
        let over_quota = platform_request("", "{}").replace("haendlerbund", "grenzstellen");
        let mut statuses = Vec::new();
        for _ in 0..10 {
            client.send(&over_quota).await;
            statuses.push(client.read_answer().await.0);
        }
        assert!(statuses.contains(&429), "{statuses:?}");
    });
}

#[test]
fn answers_by_the_deadline_if_the_replica_does_not_answer() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer; 4]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let (mut client, started_at) = (Client::connect(router.addr).await, Instant::now());
        let (status, ..) = client.send_platform_request("Req-Deadline-Ms: 120\r\n").await;
        assert!(
            status == 503 && started_at.elapsed() < 170 * MS,
            "{status} after {:?}",
            started_at.elapsed()
        );
        assert_eq!(replica.next_event().await, ReplicaEvent::Connected);
        assert!(matches!(replica.next_event().await, ReplicaEvent::Request(..)));
        assert_eq!(
            replica.next_event().await,
            ReplicaEvent::ClosedByRouter,
            "the connection of the attempt is closed"
        );
        assert_eq!((router.request_counts().rejected, router.open_requests()), (1, 0));
    });
}

#[test]
fn a_broken_or_silent_stream_ends_without_the_last_chunk() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::CloseAfterFirstText, ReplicaFault::SilentAfterFirstText]);
        let router = TestRouter::new(Chat, &[&replica], |l| l.stream_silence_timeout = 50 * MS).await;
        for count in 1..=2 {
            let (status, _, body, complete) =
                Client::connect(router.addr).await.send_platform_request("").await;
            assert_eq!((status, &body[..], complete), (200, CHAT[0], false));
            assert_eq!(
                router.request_counts().interrupted,
                count,
                "a stream that has begun gets no further attempt"
            );
        }
        assert_eq!(replica.take_counts().1, 2);
        let (status, ..) =
            Client::connect(router.addr).await.send_platform_request("Req-Retry: again\r\n").await;
        assert_eq!((status, router.request_counts().resumed), (200, 1));
    });
}

#[test]
fn retries_failed_attempts_and_counts_each_outcome() {
    run_test(async {
        let script = FaultScript::default();
        let (a, b) =
            (MockReplica::with_script(Chat, &script).await, MockReplica::with_script(Chat, &script).await);
        let router = TestRouter::new(Chat, &[&a, &b], |_| {}).await;
        for fault in [ReplicaFault::Decline, ReplicaFault::Error, ReplicaFault::CloseBeforeAnswer] {
            a.add_faults(&[fault, ReplicaFault::None]);
            assert_eq!(
                Client::connect(router.addr).await.send_platform_request("").await.0,
                200,
                "{fault:?}"
            );
        }
        let (first, second) = (a.take_counts().1, b.take_counts().1);
        assert_eq!((first + second, router.request_counts().completed), (6, 3));
        // The order is: completed, replica error, rejected, timed out, connection refused, connection reset, cancelled, not sent.
        assert_eq!(router.request_counts().outcomes, [3, 1, 1, 0, 0, 1, 0, 0]);
    });
}

/// Guards against a retry that sends its replica the client's original deadline although part of the time has passed.
#[test]
fn each_attempt_carries_the_time_left_until_the_deadline() {
    run_test(async {
        let replicas = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let router = TestRouter::new(Chat, &[], |_| {}).await;
        let rows = replicas.iter().enumerate();
        router.set_endpoint_list(
            rows.map(|(n, l)| endpoint_record(&format!("s-{n}"), l.local_addr().unwrap(), "active")),
        );
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("Req-Deadline-Ms: 3000\r\n", "{}")).await;
        let mut remaining_ms = Vec::new();
        for _ in 0..2 {
            let stream = tokio::select! {
                accepted = replicas[0].accept() => accepted.unwrap().0,
                accepted = replicas[1].accept() => accepted.unwrap().0,
            };
            let mut replica = Client { stream, buf: Vec::new() };
            let (head, _) = replica.read_message().await.unwrap();
            let deadline_ms: u64 = header_value(&head, "req-deadline-ms").unwrap().parse().unwrap();
            remaining_ms.push(deadline_ms);
            tokio::time::sleep(100 * MS).await;
            replica.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n").await;
        }
        assert!(remaining_ms[0] <= 3000 && remaining_ms[1] + 100 <= remaining_ms[0], "{remaining_ms:?}");
    });
}

/// Guards against a retry that a replica processes as a new request because the router dropped the client's key.
#[test]
fn each_attempt_carries_the_client_s_idempotency_key() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        for (front, (addr, request)) in fronts(&router).into_iter().enumerate() {
            let with =
                |fields: &str| request().replacen("Content-Length", &format!("{fields}Content-Length"), 1);
            let mut client = Client::connect(addr).await;
            client.send(&with("idempotency-key: k-1\r\n")).await;
            assert_eq!(client.read_answer().await.0, 200, "front {front}");
            let (head, _) = replica.next_request().await;
            assert_eq!(header_value(&head, "idempotency-key"), Some("k-1"), "front {front}: {head}");
            client.send(&request()).await;
            assert_eq!(client.read_answer().await.0, 200);
            let (head, _) = replica.next_request().await;
            assert_eq!(
                header_value(&head, "idempotency-key"),
                None,
                "front {front}: the key of another request"
            );
            client.send(&with("Idempotency-Key: k-1\r\nIdempotency-Key: k-2\r\n")).await;
            assert_eq!(client.read_answer().await.0, 400, "front {front}: two keys are ambiguous");
        }
        let (first, second) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
        first.add_faults(&[ReplicaFault::Decline]);
        second.add_faults(&[ReplicaFault::Decline]);
        let router = TestRouter::new(Chat, &[&first, &second], |_| {}).await;
        Client::connect(router.addr).await.send_platform_request("Idempotency-Key: k-3\r\n").await;
        for replica in [&first, &second] {
            let (head, _) = replica.next_request().await;
            assert_eq!(header_value(&head, "idempotency-key"), Some("k-3"), "{head}");
        }
    });
}

#[test]
fn reuses_no_connection_that_was_closed_or_idle_for_too_long() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.close_after_answer.set(true);
        let router = TestRouter::new(Chat, &[&replica], |l| l.replica_idle_timeout = 80 * MS).await;
        let mut client = Client::connect(router.addr).await;
        for _ in 0..3 {
            assert_eq!(client.send_platform_request("").await.0, 200);
            // A round trip to the replica, so that its close arrives before the next request.
            drop(Client::connect(replica.addr).await);
            tokio::task::yield_now().await;
        }
        assert_eq!(router.request_counts().outcomes[0], 3, "no request was written to a closed connection");
        replica.close_after_answer.set(false);
        assert_eq!(client.send_platform_request("").await.0, 200);
        replica.take_counts();
        tokio::time::sleep(100 * MS).await; // exceeds the idle timeout
        assert_eq!(client.send_platform_request("").await.0, 200);
        assert_eq!(replica.take_counts(), (1, 1), "the request uses a new connection");
    });
}

#[test]
fn a_draining_or_removed_replica_receives_no_new_requests() {
    run_test(async {
        let (a, b) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
        let router = TestRouter::new(Chat, &[&a, &b], |_| {}).await;
        router.set_endpoint_list([
            endpoint_record("s-0", a.addr, "leaving"),
            endpoint_record("s-1", b.addr, "active"),
        ]);
        for _ in 0..8 {
            assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
        }
        router.set_endpoint_list([endpoint_record("s-1", b.addr, "unheard-of")]);
        assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 503);
        assert_eq!((a.take_counts().1, b.take_counts().1), (0, 8));
    });
}

/// Sends twenty concurrent requests to a warm replica and one that has just started, and again with a start time long ago.
/// Returns the number of requests that the new replica received in each round, and the duration of the first round.
async fn send_to_warm_and_new_replica() -> ([usize; 2], Duration) {
    let (warm, new_replica) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
    let router = TestRouter::new(Chat, &[&warm], |_| {}).await;
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let (mut received, mut duration) = ([0; 2], None);
    // The endpoint list has Unix time, unlike the clock of the decision module.
    for (received, (id, started_ms)) in
        received.iter_mut().zip([("now", unix.as_millis() as u64), ("once", 0)])
    {
        let mut new_row = endpoint_record(id, new_replica.addr, "active");
        new_row.started_ms = started_ms;
        router.set_endpoint_list([endpoint_record("s-0", warm.addr, "active"), new_row]);
        // Concurrent requests: sequential ones would all go to the replica that answers faster.
        warm.add_faults(&[ReplicaFault::SlowFirstEvent; 20]);
        new_replica.add_faults(&[ReplicaFault::SlowFirstEvent; 20]);
        let (mut clients, started_at) = (Vec::new(), Instant::now());
        for _ in 0..20 {
            let mut client = Client::connect(router.addr).await;
            client.send(&platform_request("", "{}")).await;
            clients.push(client);
        }
        for client in &mut clients {
            assert_eq!(client.read_answer().await.0, 200);
        }
        duration.get_or_insert(started_at.elapsed());
        *received = new_replica.take_counts().1;
    }
    (received, duration.unwrap_or_default())
}

/// The share of a new replica grows with time, so a round that took 150 ms or longer says nothing and is repeated.
#[test]
fn a_replica_that_has_just_started_receives_few_requests() {
    run_test(async {
        for _ in 0..20 {
            let (received, duration) = send_to_warm_and_new_replica().await;
            if duration < 150 * MS {
                return assert!(received[0] <= 2 && received[1] > 2, "{received:?} in {duration:?}");
            }
        }
        panic!("the first round took 150 ms or longer in each of twenty runs");
    });
}

#[test]
fn a_client_disconnect_aborts_the_attempt_and_frees_the_request() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer, ReplicaFault::EndlessText]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        for disconnects in 1..=2 {
            let mut client = Client::connect(router.addr).await;
            client.send(&platform_request("", "{}")).await;
            replica.next_request().await;
            drop(client);
            while replica.next_event().await != ReplicaEvent::ClosedByRouter {}
            assert_eq!(
                (router.request_counts().client_disconnects, router.open_requests()),
                (disconnects, 0)
            );
        }
    });
}

#[test]
fn a_slow_client_stops_the_replica_with_bounded_buffering() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::EndlessText]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", "{}")).await;
        // The replica sends until all buffers between it and the client are full.
        let (mut last_sent_bytes, mut unchanged_samples) = (0, 0);
        while unchanged_samples < 20 {
            tokio::time::sleep(5 * MS).await;
            unchanged_samples = if replica.endless_text_bytes.get() == last_sent_bytes && last_sent_bytes > 0
            {
                unchanged_samples + 1
            } else {
                0
            };
            last_sent_bytes = replica.endless_text_bytes.get();
        }
        assert!(last_sent_bytes < 24 << 20, "the buffers hold less than 24 MiB: {last_sent_bytes} bytes");
        let mut part = vec![0; 1 << 20];
        client.stream.read_exact(&mut part).await.unwrap();
        wait_until(|| replica.endless_text_bytes.get() > last_sent_bytes).await;
    });
}

#[test]
fn a_client_that_reads_nothing_until_the_write_timeout_is_disconnected() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::EndlessText]);
        let router = TestRouter::new(Chat, &[&replica], |l| l.client_write_timeout = 60 * MS).await;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", "{}")).await;
        while replica.next_event().await != ReplicaEvent::ClosedByRouter {}
        assert_eq!((router.request_counts().client_disconnects, router.open_requests()), (1, 0));
    });
}

#[test]
fn a_chunked_body_is_read_after_100_continue_and_forwarded_complete() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let mut client = Client::connect(router.addr).await;
        let fields = "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n";
        client.send(&platform_request(fields, "").replace("Content-Length: 0\r\n", "")).await;
        assert_eq!(client.read_answer().await.0, 100);
        client.send("2\r\n{\"\r\n4\r\na\":1\r\n1\r\n}\r\n0\r\n\r\n").await;
        assert_eq!(client.read_answer().await.0, 200);
        assert_eq!(replica.next_request().await.1, b"{\"a\":1}");
    });
}

#[test]
fn an_attempt_skipped_at_the_connection_limit_does_not_count_against_the_replica() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer]);
        let router = TestRouter::new(Chat, &[&replica], |l| l.max_replica_connections = 1).await;
        let mut first = Client::connect(router.addr).await;
        first.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 503);
        assert_eq!(router.request_counts().outcomes[7], 1, "the attempt was skipped");
        drop(first);
        while replica.next_event().await != ReplicaEvent::ClosedByRouter {}
        assert_eq!(
            Client::connect(router.addr).await.send_platform_request("").await.0,
            200,
            "the replica still receives requests"
        );
    });
}

#[test]
fn a_probe_fetches_the_load_report_and_returns_its_connection() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let router = TestRouter::new(Chat, &[], |l| l.replica_reuse_delay = Duration::ZERO).await;
        router.set_endpoint_list([endpoint_record("s-1", listener.local_addr().unwrap(), "active")]);
        let probe = || {
            spawn_local(replica::probe(
                router.components.replica_context.clone(),
                router.components.dispatcher.clone(),
                tallypin::name_hash::replica_id("s-1"),
            ))
        };
        let first = probe();
        let mut replica = Client { stream: listener.accept().await.unwrap().0, buf: Vec::new() };
        for next in [Some(probe), None] {
            let (head, _) = replica.read_message().await.unwrap();
            assert!(head.starts_with("GET /metrics/load HTTP/1.1\r\n"), "{head}");
            replica.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nTEXT q=2").await;
            if let Some(next) = next {
                wait_until(|| first.is_finished()).await;
                next();
            }
        }
    });
}

#[test]
fn bad_input_is_rejected_and_not_forwarded() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |l: &mut Limits| {
            (l.max_head_size, l.max_fields, l.max_body_size, l.request_read_timeout) =
                (1024, 16, 4096, 100 * MS);
        })
        .await;
        let good = platform_request("", "{}");
        let long = "x".repeat(2000);
        let many = "X-A: b\r\n".repeat(20);
        for (case, text, status) in [
            ("no HTTP request", "\0\u{1}garbage\r\n\r\n".to_string(), 400),
            ("two lengths", platform_request("Content-Length: 2\r\n", "{}"), 400),
            ("length and chunks", platform_request("Transfer-Encoding: chunked\r\n", "{}"), 400),
            ("a signed length", good.replace("Length: 2", "Length: +2"), 400),
            ("a length that overflows", good.replace("Length: 2", "Length: 99999999999999999999"), 400),
            (
                "an unsupported transfer coding",
                good.replace("Content-Length: 2", "Transfer-Encoding: gzip"),
                501,
            ),
            ("a bad chunk", good.replace("Content-Length: 2", "Transfer-Encoding: chunked") + "\r\n", 400),
            ("a large body", good.replace("Length: 2", "Length: 5000"), 413),
            ("a large head", platform_request(&format!("X-A: {long}\r\n"), "{}"), 431),
            ("many fields", platform_request(&many, "{}"), 431),
            ("no host", good.replace("Host: b\r\n", ""), 400),
            ("no id", good.replace("Req-Id", "X-Id"), 400),
            ("an id of two words", good.replace("9b1f", "9b 1f"), 400),
            ("an unknown class", good.replace("chat\r\nReq", "poem\r\nReq"), 400),
            ("an unknown partner", good.replace("haendlerbund", "nobody"), 400),
            (
                "a deadline of 2^64 - 1 ms",
                platform_request("Req-Deadline-Ms: 18446744073709551615\r\n", "{}"),
                400,
            ),
            ("a deadline that is no number", platform_request("Req-Deadline-Ms: soon\r\n", "{}"), 400),
            ("a negative length", platform_request("Req-Extra: prompt_len=-1\r\n", "{}"), 400),
            ("an extra field without a value", platform_request("Req-Extra: prefix\r\n", "{}"), 400),
            ("another path", good.replace("/v1/chat", "/v2/chat"), 404),
            ("another method", good.replace("POST", "PUT"), 405),
            ("half a body", good.replace("Length: 2", "Length: 3"), 408),
        ] {
            let mut client = Client::connect(router.addr).await;
            client.send(&text).await;
            assert_eq!(client.read_answer().await.0, status, "{case}");
        }
        assert_eq!((replica.take_counts(), router.request_counts().accepted), ((0, 0), 0));
        assert_eq!(
            Client::connect(router.addr).await.send_platform_request("").await.0,
            200,
            "the router still serves requests"
        );
    });
}

#[test]
fn rejects_over_budget_and_closes_an_idle_connection_for_a_new_one() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer; 3]);
        let router =
            TestRouter::new(Chat, &[&replica], |l| (l.max_clients, l.request_budget) = (2, 6000)).await;
        let mut idle = Client::connect(router.addr).await;
        assert_eq!(idle.send_platform_request(&format!("Req-Deadline-Ms: {}\r\n", 30)).await.0, 503);
        let mut oversized = Client::connect(router.addr).await;
        oversized.send(&platform_request("", &"x".repeat(6001))).await;
        assert_eq!(oversized.read_answer().await.0, 503, "the body exceeds the budget");
        drop(oversized);
        wait_until(|| router.components.clients.open() == 1).await;
        let mut busy = Client::connect(router.addr).await;
        busy.send(&platform_request("", "{}")).await;
        wait_until(|| router.open_requests() == 1).await;
        let mut third = Client::connect(router.addr).await;
        assert_eq!(idle.read_answer().await.0, 0, "the idle connection is closed");
        third.send(&platform_request("", "{}")).await;
        wait_until(|| router.open_requests() == 2).await;
        let (status, head, ..) = Client::connect(router.addr).await.send_platform_request("").await;
        assert!(status == 503 && header_value(&head, "retry-after").is_some(), "{head}");
    });
}

#[test]
fn graceful_shutdown_serves_new_requests_in_the_grace_and_completes_open_ones() {
    run_test(async {
        let (router, listener) = router_with_manual_replica(|l| {
            (l.shutdown_grace, l.replica_reuse_delay) = (500 * MS, Duration::ZERO)
        })
        .await;
        let mut idle = Client::connect(router.addr).await;
        idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await;
        assert_eq!(idle.read_answer().await.0, 200);
        let components = router.components.clone();
        let end = spawn_local(async move { shutdown::drain(&components).await });
        wait_until(|| router.components.lifecycle.stage() != Stage::Serving).await;
        idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await;
        assert_eq!(idle.read_answer().await.0, 503, "the health check fails during shutdown");
        let mut late_client = Client::connect(router.addr).await;
        late_client.send(&platform_request("", "{}")).await;
        let mut replica = accept_request(&listener).await;
        replica.send(&streamed_answer("first")).await;
        assert_eq!(late_client.read_answer().await.0, 200, "a request during the grace is served");
        late_client.send(&platform_request("", "{}")).await;
        replica.read_message().await.expect("a request");
        wait_until(|| router.components.lifecycle.stage() == Stage::Closing).await;
        replica.send(&streamed_answer("second")).await;
        assert_eq!(
            (late_client.read_answer().await.0, late_client.read_answer().await.0),
            (200, 0),
            "the open request is completed before the close"
        );
        end.await.unwrap();
        assert_eq!((idle.read_answer().await.0, router.components.clients.open()), (0, 0));
        assert!(TcpStream::connect(router.addr).await.is_err(), "the listener is closed");
    });
}

/// Guards against a rolling restart that stops the last router before the previously restarted one serves again.
#[test]
fn a_router_whose_peers_are_silent_uses_the_longer_shutdown_grace() {
    for peer_active in [false, true] {
        run_test(async move {
            let replica = MockReplica::new(Chat).await;
            let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let own_addr = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
            let each = vec![own_addr, other.local_addr().unwrap()];
            let peers = Peers::new(
                PeerAddresses { listen: own_addr, routers: each, broadcast: None },
                PeerId(0),
                TenantsDigest::default(),
            )
            .await
            .unwrap();
            let mut config = config();
            let limits = &mut config.limits;
            (limits.shutdown_grace, limits.lone_router_shutdown_grace, limits.peer_silence_timeout) =
                (20 * MS, 200 * MS, 100 * MS);
            let router = TestRouter::with_config(config, Chat, &[&replica], Some(peers)).await;
            let mut client = Client::connect(router.addr).await;
            assert_eq!(client.send_platform_request("").await.0, 200);
            tokio::time::sleep(120 * MS).await;
            if peer_active {
                other.send_to(b"here", own_addr).await.unwrap();
                wait_until(|| router.components.peers.as_ref().is_some_and(|p| p.received_within(100 * MS)))
                    .await;
            }
            let components = router.components.clone();
            let end = spawn_local(async move { shutdown::drain(&components).await });
            tokio::time::sleep(60 * MS).await;
            let mut after = [0; 12];
            let _ = client.stream.write_all(platform_request("", "{}").as_bytes()).await;
            let served = client.stream.read_exact(&mut after).await.is_ok() && &after == b"HTTP/1.1 200";
            assert_eq!(served, !peer_active);
            drop(client);
            end.await.unwrap();
        });
    }
}

/// Guards against requests accepted late in the grace that are lost because they are unanswered when the process is killed.
#[test]
fn requests_accepted_late_in_the_grace_end_before_the_kill() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::EndlessText, ReplicaFault::NoAnswer, ReplicaFault::EndlessText]);
        let router = TestRouter::new(Chat, &[&replica], |l| {
            (l.shutdown_grace, l.late_arrival_after_stop, l.forwarding_end_after_stop) =
                (600 * MS, 2 * MS, 900 * MS);
        })
        .await;
        let mut early = Client::connect(router.addr).await;
        early.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        // Waits until all buffers are full: as long as text is sent, an unoptimised build has no time for the other requests.
        let mut sent_bytes = 0;
        while sent_bytes == 0 || replica.endless_text_bytes.get() > sent_bytes {
            sent_bytes = replica.endless_text_bytes.get();
            tokio::time::sleep(40 * MS).await;
        }
        let (components, stop_signal_at) = (router.components.clone(), Instant::now());
        let end = spawn_local(async move { shutdown::drain(&components).await });
        tokio::time::sleep(router.components.limits.late_arrival_after_stop * 5).await;
        let (mut waiting, mut streaming) =
            (Client::connect(router.addr).await, Client::connect(router.addr).await);
        for late_client in [&mut waiting, &mut streaming] {
            late_client.send(&platform_request("", "{}")).await;
            replica.next_request().await;
        }
        let mut read = Vec::new();
        streaming.stream.read_to_end(&mut read).await.unwrap();
        assert!(read.starts_with(b"HTTP/1.1 200") && !read.ends_with(b"0\r\n\r\n"));
        assert_eq!(waiting.read_answer().await.0, 503);
        assert!((850 * MS..1250 * MS).contains(&stop_signal_at.elapsed()), "{:?}", stop_signal_at.elapsed());
        assert_eq!(
            (router.request_counts().interrupted, router.open_requests()),
            (1, 1),
            "the early request continues"
        );
        drop((early, waiting, streaming));
        end.await.unwrap();
    });
}

#[test]
fn a_lost_watch_is_restarted_and_the_list_stays_in_use() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let list = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config();
        (config.limits.watch_silence_timeout, config.endpoint_list_agent) =
            (100 * MS, list.local_addr().unwrap());
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let (mut call, head) = accept_list_call(&list).await;
        assert!(head.starts_with("GET /discovery/hosts?follow=1 HTTP/1.1\r\n"), "{head}");
        call.send(&(WATCH_HEAD.to_string() + &list_message_chunk(41, true, "s-1", &replica, "active"))).await;
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        // After a silent, a malformed and a rejected watch, the router keeps the list and calls again.
        for answer in ["", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]\n", "HTTP/1.1 503 No\r\n\r\n"] {
            let (mut again, head) = accept_list_call(&list).await;
            assert!(head.contains("since=41"), "{head}");
            assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
            again.send(answer).await;
            call = again; // closes the former connection after the next call has arrived
        }
        drop(call);
    });
}

/// Guards against pushed lists that are never read: the decision module requests none in this mode, and changes that the agent
/// has received count as notified. In an outage the agent accepts calls and answers none; each call times out and is repeated.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_calls_repeat_until_the_agent_answers() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config();
        config.deployment.decision_settings.list_mode = EndpointListMode::Pushed;
        config.endpoint_list_agent = agent.local_addr().unwrap();
        (config.limits.watch_silence_timeout, config.limits.agent_response_timeout) = (100 * MS, 50 * MS);
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let (mut call, head) = accept_list_call(&agent).await;
        assert!(head.starts_with("GET /discovery/hosts?follow=1 HTTP/1.1\r\n"), "{head}");
        // The message is indented and split into two chunks.
        let text = format!(
            "{{\n  \"version\": 41,\n  \"full\": true,\n  \"servers\": [\n    {{\"id\": \"s-1\",\n     \"addr\": \"{}\",\n     \
             \"state\": \"active\"}}\n  ]\n}}\n\n",
            replica.addr
        );
        let (first, second) = text.split_at(70);
        call.send(&format!("{WATCH_HEAD}{:x}\r\n{first}\r\n", first.len())).await;
        call.send(&format!("{:x}\r\n{second}\r\n", second.len())).await;
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        // The watch falls silent, and the agent does not answer the next three calls.
        let mut unanswered = Vec::new();
        for _ in 0..3 {
            let (call, head) = accept_list_call(&agent).await;
            assert!(head.contains("since=41"), "{head}");
            assert_eq!(
                Client::connect(router.addr).await.send_platform_request("").await.0,
                200,
                "the retained list is still used"
            );
            unanswered.push(call);
        }
        let (mut back, _) = accept_list_call(&agent).await;
        back.send(&(WATCH_HEAD.to_string() + &list_message_chunk(42, false, "s-1", &replica, "leaving")))
            .await;
        wait_until(|| router.components.replicas.ready_count() == 0).await;
        assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 503);
    });
}

/// Guards against a router that watches only the address of the endpoint list that it started with. Once the service moves and
/// the old address is shut down, the router would receive no further changes.
#[test]
fn the_former_list_address_counts_until_the_new_address_answers() {
    run_test(async {
        let (a, b) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let mut config = config();
        (config.limits.list_call_interval, config.endpoint_list_agent) = (10 * MS, old.local_addr().unwrap());
        let mut moved = config.clone();
        let running = StartupConfiguration::from_config(&config);
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let (mut first, _) = accept_list_call(&old).await;
        first.send(&(WATCH_HEAD.to_string() + &list_message_chunk(41, true, "s-1", &a, "active"))).await;
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        moved.endpoint_list_agent = new.local_addr().unwrap();
        reload::apply(&router.components.endpoint_list.state, &running, &moved);
        // The new address has its own versions, so the complete list is requested, and again after a failure.
        for _ in 0..2 {
            let (mut call, head) = accept_list_call(&new).await;
            assert!(!head.contains("since"), "{head}");
            call.send("HTTP/1.1 503 No\r\n\r\n").await;
        }
        let (mut second, _) = accept_list_call(&new).await;
        first.send(&list_message_chunk(42, false, "s-2", &b, "active")).await;
        wait_until(|| router.components.replicas.ready_count() == 2).await;
        second.send(&(WATCH_HEAD.to_string() + &list_message_chunk(3, true, "s-2", &b, "active"))).await;
        assert!(first.read_message().await.is_none(), "the watch of the old address is closed");
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
        // After a loss the new address is called again, from the last version that it sent.
        drop(second);
        let (_, head) = accept_list_call(&new).await;
        assert!(head.contains("since=3"), "{head}");
    });
}

#[test]
fn only_peers_exchange_datagrams_and_only_up_to_the_size_limit() {
    run_test(async {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let non_peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own_addr = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let each = vec![own_addr, other.local_addr().unwrap()];
        let peers = Peers::new(
            PeerAddresses { listen: own_addr, routers: each, broadcast: None },
            PeerId(0),
            TenantsDigest::default(),
        )
        .await
        .unwrap();
        peers.gossip(&[7; 257]);
        peers.gossip(&[7; 256]);
        let mut buf = [0; 512];
        assert_eq!(other.recv_from(&mut buf).await.unwrap(), (256, own_addr));
        non_peer.send_to(b"lies", own_addr).await.unwrap();
        other.send_to(&[1; 300], own_addr).await.unwrap();
        other.send_to(b"news", own_addr).await.unwrap();
        assert_eq!(peers.receive().await, (PeerId(1), b"news".to_vec()));
        assert_eq!(peers.dropped(), DroppedMessages { unknown_senders: 2, incompatible: 1, malformed: 0 });
        let malformed = [
            &served_report::encode(TenantsDigest::default(), 1000, &[served_count(1, 0)]).remove(0)[..],
            &[0xff],
        ]
        .concat();
        other.send_to(&malformed, own_addr).await.unwrap();
        assert_eq!(peers.receive().await, (PeerId(1), malformed));
        assert_eq!(peers.dropped(), DroppedMessages { unknown_senders: 2, incompatible: 1, malformed: 1 });
    });
}
