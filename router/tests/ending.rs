//! Tests of the last stages of a graceful shutdown: waiting requests are answered, requests read later are rejected and not
//! forwarded, and clients cannot keep the listener open.
#![allow(missing_docs)]

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::*;
use tallypin::api::{Effect, RequestId};
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::lifecycle::Stage;
use tallypin_router::shutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

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
