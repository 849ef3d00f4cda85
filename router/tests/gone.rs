//! Tests of clients that disconnect: the router sends nothing on their behalf afterwards, in whichever state the request was.
#![allow(missing_docs)]

mod common;

use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tallypin::name_hash;
use tallypin_router::config::Config;
use tallypin_router::dialect::Dialect::Chat;
use tokio::task::spawn_local;

/// Longest wait for a hedged request, which is sent 80 ms after the first attempt (0.4 of the latency objective of 200 ms) if
/// first tokens take less than 30 ms. Without the bound a run without a hedged request lasts until the client's deadline of
/// 4 s, and on a busy machine a few such runs exceed the test's time limit.
const MAX_HEDGE_WAIT: Duration = Duration::from_millis(600);
/// Time after the first attempt at which a hedged request is sent.
const HEDGE_DELAY: Duration = Duration::from_millis(80);

/// Upper bound of what the system passes on to a router that does not read, in bytes.
const MAX_RECEIVE_WINDOW: usize = 128 << 10;
/// Longest wait for a disconnect to be noticed. Without the bound a run that misses it lasts until the client's deadline of 4 s.
const MAX_DISCONNECT_WAIT: Duration = Duration::from_secs(1);

/// Guards against writing an attempt whose connection is established at the moment when its client disconnects.
#[test]
fn an_attempt_that_connects_as_its_client_disconnects_is_not_sent() {
    run_test(async {
        let (mut cancelled, mut written) = (0, 0);
        for (wait_turns, front) in (0..40).flat_map(|wait_turns| [(wait_turns, 0), (wait_turns, 1)]) {
            let replica = MockReplica::new(Chat).await;
            replica.add_faults(&[ReplicaFault::NoAnswer; 8]);
            let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
            let mut clients = Vec::new();
            for _ in 0..8 {
                let (addr, request) = fronts(&router)[front];
                let mut client = Client::connect(addr).await;
                client.send(&request()).await;
                clients.push(client);
            }
            // This task runs on the router's thread, in between the router's own tasks.
            let components = router.components.clone();
            let disconnect_task = spawn_local(async move {
                while components.with_core(|core, _| core.open_requests()) < clients.len() {
                    yield_times(1).await;
                }
                yield_times(wait_turns).await;
                drop(clients);
                components.replicas.in_flight(name_hash::replica_id("s-0"))
            });
            let in_flight = disconnect_task.await.unwrap();
            wait_until(|| router.request_counts().client_disconnects == 8).await;
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            let (_, requests) = replica.take_counts();
            assert_eq!(
                requests, in_flight as usize,
                "front {front}, {wait_turns} turns later: forwarded after the client had disconnected"
            );
            cancelled += 8 - in_flight;
            written += in_flight;
        }
        println!("{cancelled} attempts cancelled, {written} written before");
        assert!(cancelled > 0, "no client disconnected before its attempt was written");
    });
}

/// Guards against writing a hedged request whose connection is established at the moment when its client disconnects.
#[test]
fn a_hedged_request_that_connects_as_its_client_disconnects_is_not_sent() {
    run_test(async {
        let (mut cancelled, mut written) = (0, 0);
        let mut remaining_waits: Vec<usize> = (0..200).step_by(10).collect();
        while let Some(wait_turns) = remaining_waits.pop() {
            let (first, second) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
            let short_objective = CONFIG.replace("\"GoalTimeNs\": 1200000000", "\"GoalTimeNs\": 200000000");
            let mut config = Config::parse(&short_objective).unwrap();
            config.limits.replica_idle_timeout = Duration::from_millis(1);
            let router = TestRouter::with_config(config, Chat, &[&first, &second], None).await;
            // The router sends hedged requests only where it has measured fast first tokens.
            assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
            wait_until(|| router.components.replicas.connection_counts().0 == 0).await;
            first.add_faults(&[ReplicaFault::NoAnswer]);
            second.add_faults(&[ReplicaFault::NoAnswer]);
            assert_eq!(first.take_counts().1 + second.take_counts().1, 1);
            let (addr, request) = fronts(&router)[wait_turns / 10 % 2];
            let mut client = Client::connect(addr).await;
            client.send(&request()).await;
            let components = router.components.clone();
            let disconnect_task = spawn_local(async move {
                let open_requests = || components.with_core(|core, _| core.open_requests());
                while open_requests() == 0 {
                    yield_times(1).await;
                }
                // A counted connection is established or being established.
                let start = Instant::now();
                while components.replicas.connection_counts().0 < 2
                    && open_requests() > 0
                    && start.elapsed() < MAX_HEDGE_WAIT
                {
                    yield_times(1).await;
                }
                let hedged = components.replicas.connection_counts().0 == 2;
                yield_times(wait_turns).await;
                disconnect([client]);
                let in_flight = components.replicas.in_flight(name_hash::replica_id("s-0"))
                    + components.replicas.in_flight(name_hash::replica_id("s-1"));
                hedged.then_some(in_flight)
            });
            // If the machine stalls, first tokens look slow and no hedged request is sent: this delay is run again.
            let Some(in_flight) = disconnect_task.await.unwrap() else {
                remaining_waits.push(wait_turns);
                continue;
            };
            wait_until(|| router.request_counts().client_disconnects == 1 && router.open_requests() == 0)
                .await;
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            let requests = first.take_counts().1 + second.take_counts().1;
            assert_eq!(
                requests, in_flight as usize,
                "{wait_turns} turns later: forwarded after the client had disconnected"
            );
            cancelled += 2 - in_flight;
            written += in_flight - 1;
        }
        println!("{cancelled} hedged requests cancelled, {written} written before");
        assert!(
            cancelled > 0 && written > 0,
            "both outcomes are expected: {cancelled} cancelled, {written} written"
        );
    });
}

/// Guards against missing a disconnect because the input in front of it is not read.
#[test]
fn a_disconnect_behind_much_unread_input_is_noticed() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let mut client = Client::connect(router.addr).await;
        client.send(&platform_request("", "{}")).await;
        replica.next_request().await;
        client.send(&"POST /v1/chat/completions HTTP/1.1\r\n".repeat(2_000)).await;
        drop(client);
        wait_until(|| router.request_counts().client_disconnects == 1).await;
        assert_eq!(replica.next_event().await, ReplicaEvent::ClosedByRouter);
    });
}

/// Input that a client may send ahead, of at least `size` bytes: complete requests, the start of an endless one, and input that
/// is no request.
fn inputs_sent_ahead(request: &str, size: usize) -> [String; 4] {
    let endless = "Host: b\r\nContent-Length: 200000\r\n\r\n".to_string() + &"x".repeat(size);
    [
        request.repeat(size / request.len() + 1),
        format!("POST /v1/messages HTTP/1.1\r\n{endless}"),
        request.to_string()
            + "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + &"5\r\nabcde\r\n".repeat(size / 10),
        "\0".repeat(size),
    ]
}

/// Sends requests and input ahead, as much as the system accepts, and closes the connection.
fn send_and_close(addr: SocketAddr, request: &str, input: &str) {
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let sent = stream.write(input.as_bytes()).unwrap();
    assert!(sent > MAX_RECEIVE_WINDOW, "the system accepted {sent} bytes only");
}

/// Waits until the router has noticed that a client disconnected.
async fn wait_for_disconnect(router: &TestRouter, closed_at: Instant) {
    wait_until(|| {
        assert!(closed_at.elapsed() < MAX_DISCONNECT_WAIT, "the disconnect was not noticed");
        router.request_counts().client_disconnects == 1
    })
    .await;
}

/// Guards against missing a disconnect because the system holds it back behind input that exceeds the receive window.
#[test]
fn a_disconnect_behind_more_input_than_the_receive_window_is_noticed() {
    run_test(async {
        for (front, input) in (0..2).flat_map(|front| (0..4).map(move |input| (front, input))) {
            let replica = MockReplica::new(Chat).await;
            replica.add_faults(&[ReplicaFault::NoAnswer]);
            let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
            let (addr, request) = fronts(&router)[front];
            let input = &inputs_sent_ahead(&request(), 2 * MAX_RECEIVE_WINDOW)[input];
            send_and_close(addr, &request(), input);
            wait_for_disconnect(&router, Instant::now()).await;
            wait_until(|| router.open_requests() == 0 && router.components.clients.open() == 0).await;
            assert!(replica.take_counts().1 <= 1, "front {front}: a request sent ahead was forwarded");
            assert_eq!(
                router.components.read_ahead_budget.available(),
                router.components.limits.read_ahead_budget
            );
        }
    });
}

/// Guards against a hedged request for a client that has sent much at once and left.
#[test]
fn no_hedged_request_is_sent_for_a_client_that_sent_much_and_left() {
    run_test(async {
        let mut remaining_fronts = vec![0, 1];
        while let Some(front) = remaining_fronts.pop() {
            let (first, second) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
            let short_objective = CONFIG.replace("\"GoalTimeNs\": 1200000000", "\"GoalTimeNs\": 200000000");
            let config = Config::parse(&short_objective).unwrap();
            let router = TestRouter::with_config(config, Chat, &[&first, &second], None).await;
            // The router sends hedged requests only where it has measured fast first tokens.
            assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
            first.take_counts();
            second.take_counts();
            first.add_faults(&[ReplicaFault::NoAnswer]);
            second.add_faults(&[ReplicaFault::NoAnswer]);
            let (addr, request) = fronts(&router)[front];
            send_and_close(addr, &request(), &request().repeat(2 * MAX_RECEIVE_WINDOW / request().len()));
            let closed_at = Instant::now();
            wait_for_disconnect(&router, closed_at).await;
            // If the machine stalls, the hedged request is due before the router has read the input: this front is run again.
            if closed_at.elapsed() > HEDGE_DELAY / 2 {
                remaining_fronts.push(front);
                continue;
            }
            wait_until(|| closed_at.elapsed() > MAX_HEDGE_WAIT).await;
            let forwarded = first.take_counts().1 + second.take_counts().1;
            assert!(forwarded <= 1, "front {front}: {forwarded} attempts, one at most before the close");
        }
    });
}

/// Guards against retrying requests whose clients have left: 50 clients of two silent replicas disconnect together, just before
/// each request would be retried.
#[test]
fn requests_of_clients_that_disconnect_together_are_not_retried() {
    run_test(async {
        let (first, second) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
        first.add_faults(&[ReplicaFault::NoAnswer; 100]);
        second.add_faults(&[ReplicaFault::NoAnswer; 100]);
        let router = TestRouter::new(Chat, &[&first, &second], |_| {}).await;
        let mut clients = Vec::new();
        for _ in 0..50 {
            let mut client = Client::connect(router.addr).await;
            client.send(&platform_request("", "{}")).await;
            clients.push(client);
        }
        let new_requests = || first.take_counts().1 + second.take_counts().1;
        let mut forwarded = 0;
        while forwarded < 50 {
            tokio::task::yield_now().await;
            forwarded += new_requests();
        }
        clients.clear();
        wait_until(|| router.request_counts().client_disconnects == 50 && router.open_requests() == 0).await;
        let before_wait = new_requests();
        tokio::time::sleep(router.components.limits.connect_timeout * 4).await;
        assert_eq!(
            (before_wait, new_requests()),
            (0, 0),
            "no request is retried after its client disconnected"
        );
    });
}
