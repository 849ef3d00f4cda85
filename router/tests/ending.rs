//! Tests of the last stages of a graceful shutdown: waiting requests are answered, requests read later are rejected and not
//! forwarded, and clients cannot keep the listener open.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use tallypin::api::{Effect, Nanos, RequestId};
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::lifecycle::Stage;
use tallypin_router::shutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};

const MS: Duration = Duration::from_millis(1);

/// Guards against forwarding a request that is read completely after the final answers: the process is killed soon after.
#[test]
fn a_request_read_after_the_final_answers_is_rejected_and_not_forwarded() {
    run_test(async {
        for (front, status) in [(0, 503), (1, 529)] {
            let replica = MockReplica::new(Chat).await;
            let router = TestRouter::new(Chat, &[&replica], |limits| {
                (limits.shutdown_grace, limits.forwarding_end_after_stop) = (5 * MS, 60 * MS)
            })
            .await;
            let (addr, request) = fronts(&router)[front];
            let request = request();
            let (head, rest) = request.split_at(request.len() / 2);
            let mut client = Client::connect(addr).await;
            client.send(head).await;
            let components = router.components.clone();
            let drain_task = spawn_local(async move { shutdown::drain(&components).await });
            router.components.lifecycle.wait_for(Stage::Rejecting).await;
            client.send(rest).await;
            assert_eq!(client.read_answer().await.0, status, "front {front}");
            assert_eq!(replica.take_counts(), (0, 0), "front {front}: no request reaches the replica");
            drop(client);
            drain_task.await.unwrap();
        }
    });
}

/// Guards against a listener that stays open while clients keep connecting: requests would be accepted until the kill.
#[test]
fn clients_that_keep_connecting_do_not_keep_the_listener_open() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |limits| {
            (limits.max_clients, limits.max_rejected_clients) = (20, 4);
            (limits.shutdown_grace, limits.close_linger) = (50 * MS, 20 * MS);
        })
        .await;
        let (addr, stop) = (router.addr, Arc::new(AtomicBool::new(false)));
        let (stop_clients, clients_connected) = (stop.clone(), Arc::new(AtomicBool::new(false)));
        let set_connected = clients_connected.clone();
        let clients = std::thread::spawn(move || {
            let mut connections = std::collections::VecDeque::new();
            while !stop_clients.load(Ordering::SeqCst) {
                connections.extend(std::net::TcpStream::connect(addr).ok());
                if connections.len() > 60 {
                    set_connected.store(true, Ordering::SeqCst);
                    connections.pop_front();
                }
            }
        });
        wait_until(|| clients_connected.load(Ordering::SeqCst)).await;
        let components = router.components.clone();
        let drain_task = spawn_local(async move { shutdown::drain(&components).await });
        router.components.lifecycle.wait_for(Stage::Closing).await;
        let closing_since = Instant::now();
        // The clients keep connecting; the system refuses connections once the listener is closed.
        while TcpStream::connect(addr).await.is_ok() {
            assert!(closing_since.elapsed() < 2000 * MS, "the listener is still open after 2 s");
            tokio::time::sleep(MS).await;
        }
        stop.store(true, Ordering::SeqCst);
        clients.join().unwrap();
        drain_task.await.unwrap();
    });
}

/// Starts a router whose clients cannot resume streams, in which an answer takes `TOKEN_INTERVAL` a token.
async fn router_without_resumption(replica: &MockReplica) -> TestRouter {
    const TOKEN_INTERVAL: Duration = Duration::from_millis(50);
    let mut config = config();
    config.deployment.resumes_streams = false;
    for class in &mut config.deployment.decision_settings.classes {
        class.token_interval_objective = TOKEN_INTERVAL.as_nanos() as Nanos;
    }
    (config.limits.shutdown_grace, config.limits.forwarding_end_after_stop) = (5 * MS, 3000 * MS);
    TestRouter::with_config(config, Chat, &[replica], None).await
}

/// Starts a router whose clients cannot resume streams and which ends soon after a shutdown begins. The test answers the requests
/// to its replica.
async fn closing_router_with_manual_replica() -> (TestRouter, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut config = config();
    config.deployment.resumes_streams = false;
    for class in &mut config.deployment.decision_settings.classes {
        class.token_interval_objective = (10 * MS).as_nanos() as Nanos;
    }
    (config.limits.shutdown_grace, config.limits.forwarding_end_after_stop) = (5 * MS, 600 * MS);
    let router = TestRouter::with_config(config, Chat, &[], None).await;
    router.set_endpoint_list([endpoint_record("s-1", listener.local_addr().unwrap(), "active")]);
    (router, listener)
}

/// Requests to both fronts whose answers have at most `max_tokens` tokens, streamed or not.
fn requests_with_token_limit(router: &TestRouter, max_tokens: u32) -> Vec<(SocketAddr, String)> {
    let limit = format!("\"max_tokens\":{max_tokens}");
    let body = MESSAGES_BODY.replace("\"max_tokens\":64", &limit);
    let extra = format!("Req-Extra: prompt_len=4,max_out={max_tokens}\r\n");
    vec![
        (router.addr, platform_request(&extra, "{}")),
        (router.messages_addr, messages_request("", &body)),
        (router.messages_addr, messages_request("", &body.replace("\"stream\":true", "\"stream\":false"))),
    ]
}

/// Sends all but the last byte of a request, begins the shutdown, and sends the last byte once the listeners are closed.
/// Returns the client, and the task of the shutdown.
async fn complete_while_closing(
    router: &TestRouter,
    addr: SocketAddr,
    request: &str,
) -> (Client, JoinHandle<()>) {
    let (start, last_byte) = request.split_at(request.len() - 1);
    let mut client = Client::connect(addr).await;
    client.send(start).await;
    let components = router.components.clone();
    let drain_task = spawn_local(async move { shutdown::drain(&components).await });
    while TcpStream::connect(addr).await.is_ok() {
        tokio::time::sleep(MS).await;
    }
    tokio::time::sleep(router.components.limits.final_read_duration * 3).await;
    client.send(last_byte).await;
    (client, drain_task)
}

/// Guards against forwarding a request that becomes complete while the router closes, and whose stream the kill would cut.
#[test]
fn a_request_completed_while_closing_is_rejected_if_its_answer_may_outlast_the_process() {
    run_test(async {
        for (case, status) in [(0, 503), (1, 529), (2, 529)] {
            let replica = MockReplica::new(Chat).await;
            let router = router_without_resumption(&replica).await;
            let (addr, request) = requests_with_token_limit(&router, 400).swap_remove(case);
            let (mut client, drain_task) = complete_while_closing(&router, addr, &request).await;
            assert_eq!(client.read_answer().await.0, status, "case {case}");
            assert_eq!(replica.take_counts(), (0, 0), "case {case}: no request reaches the replica");
            assert_eq!(router.request_counts().rejected_by_shutdown, 1, "case {case}");
            drop(client);
            drain_task.await.unwrap();
        }
    });
}

/// Guards against rejecting requests whose short answers can still end, and those that clients can resume elsewhere.
#[test]
fn a_request_completed_while_closing_is_served_if_its_answer_can_end_or_be_resumed() {
    run_test(async {
        for (max_tokens, resumes_streams, case) in
            [(20, false, 0), (20, false, 1), (20, false, 2), (400, true, 0)]
        {
            let replica = MockReplica::new(Chat).await;
            let router = if resumes_streams {
                TestRouter::new(Chat, &[&replica], |limits| limits.shutdown_grace = 5 * MS).await
            } else {
                router_without_resumption(&replica).await
            };
            let (addr, request) = requests_with_token_limit(&router, max_tokens).swap_remove(case);
            let (mut client, drain_task) = complete_while_closing(&router, addr, &request).await;
            let (status, _, _, complete) = client.read_answer().await;
            assert_eq!((status, complete), (200, true), "case {case}, at most {max_tokens} tokens");
            drop(client);
            drain_task.await.unwrap();
        }
    });
}

/// Guards against beginning a stream so late that the kill would cut it: the request gets an error instead.
#[test]
fn a_request_completed_while_closing_fails_if_its_first_token_comes_too_late() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer]);
        let router = router_without_resumption(&replica).await;
        // 50 tokens take 2.5 s of the 3 s until the end, and 0.06 s and more have passed.
        let (addr, request) = requests_with_token_limit(&router, 50).swap_remove(0);
        let (mut client, drain_task) = complete_while_closing(&router, addr, &request).await;
        let sent_at = Instant::now();
        replica.next_request().await;
        let status = client.read_answer().await.0;
        assert!(status == 503 || status == 504, "status {status}");
        assert!(sent_at.elapsed() < 1000 * MS, "answered after {:?}", sent_at.elapsed());
        assert_eq!(replica.next_event().await, ReplicaEvent::ClosedByRouter);
        drop(client);
        drain_task.await.unwrap();
    });
}

/// Guards against review/8: a replica that has become slow, so that the kill cuts a stream that was expected to end in time. An
/// answer of a late request is held back until it is complete; if it is not in time, its client gets an error.
#[test]
fn a_late_answer_of_a_replica_that_has_become_slow_fails_before_the_process_ends() {
    run_test(async {
        for case in 0..3 {
            let (router, listener) = closing_router_with_manual_replica().await;
            let (addr, request) = requests_with_token_limit(&router, 4).swap_remove(case);
            let (mut client, drain_task) = complete_while_closing(&router, addr, &request).await;
            let sent_at = Instant::now();
            let mut replica = accept_request(&listener).await;
            replica.send(&(STREAM_HEAD.to_string() + &chunk(CHAT[0]))).await;
            // The replica writes on, and would do so beyond the end of the process.
            let slow_stream = spawn_local(async move {
                while replica.stream.write_all(chunk(CHAT[0]).as_bytes()).await.is_ok() {
                    tokio::time::sleep(10 * MS).await;
                }
            });
            let (status, _, body, _) = client.read_answer().await;
            assert!(!body.contains("Grüß"), "case {case}: nothing of the answer is passed on: {body}");
            // A stream of the messages API reports an error as an event.
            assert_eq!(status, if case == 1 { 200 } else { 500 }, "case {case}: {body}");
            assert!(case != 1 || body.contains("event: error"), "{body}");
            assert!(sent_at.elapsed() < router.components.limits.forwarding_end_after_stop, "case {case}");
            drop(client);
            drain_task.await.unwrap();
            slow_stream.await.unwrap();
        }
    });
}

/// An answer that is held back reaches its client as soon as it is complete, and as a whole.
#[test]
fn a_late_answer_is_passed_on_once_it_is_complete() {
    run_test(async {
        for case in 0..3 {
            let (router, listener) = closing_router_with_manual_replica().await;
            let (addr, request) = requests_with_token_limit(&router, 4).swap_remove(case);
            let (mut client, drain_task) = complete_while_closing(&router, addr, &request).await;
            let mut replica = accept_request(&listener).await;
            replica.send(&(STREAM_HEAD.to_string() + &chunk(CHAT[0]))).await;
            wait_until(|| router.request_counts().streams_started == 1).await;
            tokio::time::sleep(20 * MS).await;
            let early = client.stream.try_read(&mut [0; 1]);
            assert!(early.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock), "case {case}");
            let rest: String = CHAT[1..].iter().map(|event| chunk(event)).collect();
            replica.send(&(rest + "0\r\n\r\n")).await;
            let (status, _, body, complete) = client.read_answer().await;
            assert_eq!((status, complete), (200, true), "case {case}: {body}");
            assert!(body.contains("Grüß") && body.contains("Gott"), "case {case}: {body}");
            drop(client);
            drain_task.await.unwrap();
        }
    });
}

/// Guards against cutting a stream whose client cannot resume it: the stream may end before the process is killed.
#[test]
fn a_late_stream_continues_past_the_final_answers_unless_clients_resume_streams() {
    run_test(async {
        for resume in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut config = config();
            config.deployment.resumes_streams = resume;
            let limits = &mut config.limits;
            (
                limits.shutdown_grace,
                limits.lone_router_shutdown_grace,
                limits.late_arrival_after_stop,
                limits.forwarding_end_after_stop,
            ) = (100 * MS, 100 * MS, Duration::ZERO, 150 * MS);
            let router = TestRouter::with_config(config, Chat, &[], None).await;
            router.set_endpoint_list([endpoint_record("s-1", listener.local_addr().unwrap(), "active")]);
            let mut client = Client::connect(router.addr).await;
            let components = router.components.clone();
            let drain_task = spawn_local(async move { shutdown::drain(&components).await });
            router.components.lifecycle.wait_for(Stage::Grace).await;
            tokio::time::sleep(MS).await;
            client.send(&platform_request("", "{}")).await;
            let mut replica = accept_request(&listener).await;
            replica.send(&(STREAM_HEAD.to_string() + &chunk(CHAT[0]))).await;
            router.components.lifecycle.wait_for(Stage::Rejecting).await;
            tokio::time::sleep(5 * MS).await;
            let rest: String = CHAT[1..].iter().map(|event| chunk(event)).collect();
            let _ = replica.stream.write_all((rest + "0\r\n\r\n").as_bytes()).await;
            let mut received = Vec::new();
            client.stream.read_to_end(&mut received).await.unwrap();
            assert_eq!(received.ends_with(b"0\r\n\r\n"), !resume, "clients resume streams: {resume}");
            drop(client);
            drain_task.await.unwrap();
        }
    });
}

/// Guards against a `Retry-After` for a request that is not idempotent and may have run.
#[test]
fn a_late_request_that_may_have_run_fails_without_retry_after() {
    run_test(async {
        for (front, deadline_field) in [(0, "Req-Deadline-Ms: 40\r\n"), (1, "x-deadline-ms: 40\r\n")] {
            let replica = MockReplica::new(Chat).await;
            replica.add_faults(&[ReplicaFault::NoAnswer]);
            let mut config = config();
            config
                .deployment
                .decision_settings
                .classes
                .iter_mut()
                .for_each(|class| class.effect = Effect::NotIdempotent);
            let router = TestRouter::with_config(config, Chat, &[&replica], None).await;
            let mut client = Client::connect(fronts(&router)[front].0).await;
            let request = if front == 0 {
                platform_request(deadline_field, "{}")
            } else {
                messages_request(deadline_field, MESSAGES_BODY)
            };
            client.send(&request).await;
            let (status, head, ..) = client.read_answer().await;
            assert_eq!((status, header_value(&head, "retry-after")), (504, None), "front {front}: {head}");
        }
    });
}

/// Guards against closing a connection without an answer to a forwarded request: its client would take the request for unread
/// and send it again.
#[test]
fn a_stream_cut_before_its_first_forwarded_event_gives_an_error() {
    run_test(async {
        for (front, expected) in [(0, 500), (1, 200)] {
            let replica = MockReplica::new(Chat).await;
            replica.add_faults(&[ReplicaFault::NoAnswer]);
            let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
            let (addr, request) = fronts(&router)[front];
            let mut client = Client::connect(addr).await;
            client.send(&request()).await;
            replica.next_request().await;
            // The attempt has reported its first event to the core, but not yet to the client's front.
            router.components.with_core(|core, now| assert!(core.first_event(now, RequestId(1), 0)));
            router.components.with_core(|core, now| core.answer_for_shutdown(now, Some(0)));
            let (actual, _, body, _) = client.read_answer().await;
            assert_eq!(actual, expected, "front {front}");
            assert!(front == 0 || body.contains("event: error"), "front {front}: {body}");
        }
    });
}
