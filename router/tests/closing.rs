//! Tests of input that arrives while the router closes a connection: a request is answered, or not forwarded at all.
#![allow(missing_docs)]

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::*;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::lifecycle::Stage;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Reads all answers up to the end of the connection. Returns their statuses and the head of the last one.
async fn read_answers(client: &mut Client) -> (Vec<u16>, String) {
    let (mut statuses, mut last_head) = (Vec::new(), String::new());
    loop {
        let (status, head, _, complete) = client.read_answer().await;
        if status == 0 {
            return (statuses, last_head);
        }
        assert!(complete, "truncated answer");
        statuses.push(status);
        last_head = head;
    }
}

/// Starts the router's closing stage and waits `delay` times 100 µs.
async fn close_and_wait(router: &TestRouter, delay: u32) {
    router.components.lifecycle.enter(Stage::Closing);
    let start = Instant::now();
    wait_until(|| start.elapsed() >= Duration::from_micros(100) * delay).await;
}

/// Runs a scenario at both fronts with requests sent 0 to 5.9 ms after the closing stage begins. The scenario returns the
/// statuses that its client received. Each forwarded request, and each sent at delay 0, has to be answered.
async fn run_around_the_close(
    scenario: impl AsyncFn(u32, &MockReplica, &TestRouter, FrontUnderTest) -> Vec<u16>,
) {
    let (mut served, mut closed) = (0, 0);
    for (delay, front) in (0..60).flat_map(|delay| [(delay, 0), (delay, 1)]) {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[&replica], |limits| {
            limits.final_read_duration = Duration::from_millis(2)
        })
        .await;
        let statuses = scenario(delay, &replica, &router, fronts(&router)[front]).await;
        let requests = replica.take_counts().1;
        assert_eq!(statuses, vec![200; requests], "front {front}, delay {delay}: {requests} forwarded");
        assert!(
            requests <= 1 && (requests == 1 || delay > 0),
            "front {front}, delay {delay}: {requests} forwarded"
        );
        served += requests;
        closed += 1 - requests;
    }
    println!("{served} served, {closed} closed");
    assert!(served > 0 && closed > 0, "both outcomes are expected: {served} served, {closed} closed");
}

/// Guards against forwarding requests that are read after the write side is shut down, and dropping ones read before.
#[test]
fn a_request_sent_during_the_close_is_answered_or_not_forwarded() {
    run_test(run_around_the_close(async |delay, replica, router, (addr, request)| {
        let mut client = Client::connect(addr).await;
        client.send(&request()).await;
        assert_eq!(client.read_answer().await.0, 200);
        replica.take_counts();
        close_and_wait(router, delay).await;
        // Every second run pipelines two more requests, which must not be forwarded after the last answer.
        let pipelined = delay as usize % 2 * 2;
        let requests = (0..=pipelined).map(|_| request()).collect::<String>();
        // The write may fail once the connection is closed.
        let _ = client.stream.try_write(requests.as_bytes());
        let (statuses, last_head) = read_answers(&mut client).await;
        if !statuses.is_empty() {
            assert_eq!(header_value(&last_head, "connection"), Some("close"), "delay {delay}");
        }
        statuses
    }));
}

/// Guards against closing the listener with established connections in its backlog: requests sent on them would be reset
/// unread. The first run of each front connects before the close.
#[test]
fn a_client_that_connects_during_the_close_is_answered_or_not_forwarded() {
    run_test(run_around_the_close(async |delay, _, router, (addr, request)| {
        let connected_before = (delay == 0).then(|| std::net::TcpStream::connect(addr).unwrap());
        close_and_wait(router, delay).await;
        // The connection is established before the router's tasks run again.
        let client = connected_before.or_else(|| std::net::TcpStream::connect(addr).ok());
        let Some(mut client) = client else { return Vec::new() };
        // The write may fail once the connection is closed.
        let _ = client.write_all(request().as_bytes());
        client.set_nonblocking(true).unwrap();
        let stream = tokio::net::TcpStream::from_std(client).unwrap();
        read_answers(&mut Client { stream, buf: Vec::new() }).await.0
    }));
}

/// Guards against closing a connection at once: if the client sends again at that moment, the connection is reset and the
/// client loses the part of the answer that it has not read.
#[test]
fn a_closed_idle_connection_accepts_further_input_without_a_reset() {
    run_test(async {
        for (shutdown, front) in [(true, 0), (true, 1), (false, 0), (false, 1)] {
            let replica = MockReplica::new(Chat).await;
            let router = TestRouter::new(Chat, &[&replica], |limits| {
                limits.final_read_duration = Duration::from_millis(1);
                if !shutdown {
                    limits.client_idle_timeout = Duration::from_millis(5);
                }
            })
            .await;
            let (addr, request) = fronts(&router)[front];
            let mut client = Client::connect(addr).await;
            client.send(&request()).await;
            assert_eq!(client.read_answer().await.0, 200);
            if shutdown {
                router.components.lifecycle.enter(Stage::Closing);
            }
            assert_eq!(
                client.stream.read(&mut [0; 9]).await.unwrap(),
                0,
                "the router shuts down its write side"
            );
            for _ in 0..3 {
                client.send(&request()).await;
                yield_times(200).await;
                let error = client.stream.take_error().unwrap();
                assert!(error.is_none(), "shutdown {shutdown}: {error:?}");
            }
            assert_eq!(replica.take_counts().1, 1, "a request read after the shutdown was forwarded");
            drop(client);
            wait_until(|| router.components.clients.open() == 0).await;
        }
    });
}

/// Guards against taking half a status line, which a replica sends while the router abandons its connection, for an answer to
/// another request.
#[test]
fn half_a_line_from_an_abandoned_replica_connection_reaches_no_client() {
    run_test(async {
        let (router, listener): (TestRouter, TcpListener) =
            router_with_manual_replica(|limits| limits.response_head_timeout = Duration::from_secs(3600))
                .await;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", "{}")).await;
        let mut first_replica = accept_request(&listener).await;
        // The client disconnects, and half a line arrives before the router has noticed.
        drop(client);
        first_replica.send(&STREAM_HEAD[..20]).await;
        wait_until(|| router.request_counts().client_disconnects == 1 && router.open_requests() == 0).await;
        let mut second_client = Client::connect(router.addr).await;
        second_client.send(&platform_request("", "{}")).await;
        let mut second_replica = accept_request(&listener).await;
        second_replica.send(&streamed_answer("second")).await;
        assert!(second_client.read_answer().await.2.contains("second"));
        assert!(first_replica.read_message().await.is_none(), "the first connection is closed");
    });
}
