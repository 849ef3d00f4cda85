//! Tests of clients that send requests ahead and stay: each request gets one answer, in order, in bounded memory.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use tallypin_router::http::SMALL_READ_SIZE;
use tallypin_router::limits::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Size of a request in these tests, in bytes.
const REQUEST_SIZE: usize = 2000;
/// Deadline of the requests, ms. It runs from the time at which a request is read, for all that are sent at once together.
const DEADLINE_MS: u64 = 60_000;
/// Turns of the router between two looks at the system's table of connections, which may be long.
const TURNS_BETWEEN_LOOKS: usize = 100;

/// Fills a request up to `REQUEST_SIZE` bytes with a header field.
fn fill_up(request: &str) -> String {
    let filler = "f".repeat(REQUEST_SIZE - request.len() - "x-filler: \r\n".len());
    let filled = request.replacen("Content-Length", &format!("x-filler: {filler}\r\nContent-Length"), 1);
    assert_eq!(filled.len(), REQUEST_SIZE);
    filled
}

/// A router whose only replica echoes the identifier of each request, and a client that has sent requests to a front of it
/// while the replica holds back its first answer.
struct Pipeline {
    router: TestRouter,
    client: Client,
    listener: TcpListener,
    first_request: Client,
    first_id: String,
}

/// Returns the identifier in the head of a request to a replica.
fn id_of(head: &str) -> String {
    header_value(head, "req-id").expect("a request to a replica has an identifier").to_string()
}

/// Sends the answer to request `id`, and answers all further requests on the connection.
async fn answer_all(mut connection: Client, mut id: String) {
    loop {
        connection.send(&streamed_answer(&id)).await;
        let Some((head, _)) = connection.read_message().await else { return };
        id = id_of(&head);
    }
}

/// Accepts a connection to the replica, and reads the first request on it.
async fn accept_with_id(listener: &TcpListener) -> (Client, String) {
    let mut connection = Client { stream: listener.accept().await.unwrap().0, buf: Vec::new() };
    let (head, _) = connection.read_message().await.expect("a request");
    let id = id_of(&head);
    (connection, id)
}

impl Pipeline {
    /// Sends the requests, and then `incomplete`. Returns once the router has read all of them.
    async fn start(
        front: usize,
        requests: &[String],
        incomplete: &str,
        limits: impl FnOnce(&mut Limits),
    ) -> Pipeline {
        let (router, listener) = router_with_manual_replica(limits).await;
        let addr: SocketAddr = fronts(&router)[front].0;
        let mut client = Client::connect(addr).await;
        client.send(&requests[0]).await;
        let (first_request, first_id) = accept_with_id(&listener).await;
        client.send(&(requests[1..].concat() + incomplete)).await;
        while !is_read_by_peer(&client.stream) {
            for _ in 0..TURNS_BETWEEN_LOOKS {
                tokio::task::yield_now().await;
            }
        }
        Pipeline { router, client, listener, first_request, first_id }
    }

    /// Lets the replica answer, and returns the router, the client and the replica's listening task.
    fn release(self) -> (TestRouter, Client) {
        spawn_local(answer_all(self.first_request, self.first_id));
        spawn_local(async move {
            loop {
                let (connection, id) = accept_with_id(&self.listener).await;
                spawn_local(answer_all(connection, id));
            }
        });
        (self.router, self.client)
    }
}

fn filled_requests(front: usize, count: usize) -> Vec<String> {
    let request = |_| match front {
        0 => fill_up(&platform_request(&format!("Req-Deadline-Ms: {DEADLINE_MS}\r\n"), "{}")),
        _ => fill_up(&messages_request(&format!("x-deadline-ms: {DEADLINE_MS}\r\n"), MESSAGES_BODY)),
    };
    (0..count).map(request).collect()
}

/// Guards against rejecting or mixing up what a client sends ahead within the limit.
#[test]
fn hundreds_of_requests_sent_at_once_are_all_served_in_order() {
    run_test(async {
        for front in 0..2 {
            let requests = filled_requests(front, 400);
            let (router, mut client) = Pipeline::start(front, &requests, "", |_| {}).await.release();
            for (number, request) in requests.iter().enumerate() {
                let (status, _, body, complete) = client.read_answer().await;
                assert_eq!((status, complete), (200, true), "front {front}, request {number}");
                let id = header_value(request, "req-id").unwrap_or_default();
                assert!(body.contains(id), "front {front}, request {number} of id {id}: {body}");
            }
            drop(client);
            wait_until(|| router.components.clients.open() == 0).await;
            let (available, total) =
                (router.components.read_ahead_budget.available(), router.components.limits.read_ahead_budget);
            assert_eq!(available, total, "front {front}");
        }
    });
}

/// Guards against unbounded memory for a client, and against requests without an answer beyond the limit.
#[test]
fn requests_beyond_the_limit_are_rejected_after_those_before_it_are_served() {
    /// Requests that fit into the limit, less the one that the last piece of input may cut.
    const MIN_SERVED: usize = 10;
    const MAX_READ_AHEAD: usize = 40_000;
    /// The buffer has room for a read beyond the input that is kept, as that is dropped only once it has been read.
    const MAX_MEMORY: usize = MAX_READ_AHEAD + SMALL_READ_SIZE;
    run_test(async {
        for (front, rejected_status) in [(0, 503), (1, 529)] {
            let requests = filled_requests(front, 200);
            let (last, complete) = requests.split_last().unwrap();
            let (first_half, second_half) = last.split_at(REQUEST_SIZE / 2);
            let pipeline = Pipeline::start(front, complete, first_half, |limits| {
                limits.max_read_ahead = MAX_READ_AHEAD;
            })
            .await;
            let kept = pipeline.router.components.limits.read_ahead_budget
                - pipeline.router.components.read_ahead_budget.available();
            assert!((20_000..=MAX_MEMORY).contains(&kept), "front {front}: {kept} bytes are reserved");
            let (router, mut client) = pipeline.release();
            assert_eq!(client.read_answer().await.0, 200);
            client.send(second_half).await;
            let mut statuses = Vec::new();
            loop {
                match client.read_answer().await {
                    (0, ..) => break,
                    (status, _, _, complete) => {
                        assert!(complete);
                        statuses.push(status);
                    }
                }
            }
            let served = statuses.iter().take_while(|status| **status == 200).count();
            assert!(served >= MIN_SERVED, "front {front}: {served} served");
            assert!(statuses[served..].iter().all(|status| *status == rejected_status), "{statuses:?}");
            assert_eq!(statuses.len() + 1, requests.len(), "front {front}: each request gets one answer");
            assert_eq!(router.request_counts().accepted as usize, served + 1, "front {front}");
        }
    });
}

/// Guards against holding back rejections for a request that never becomes complete.
#[test]
fn requests_beyond_the_limit_are_rejected_although_the_last_one_stays_incomplete() {
    run_test(async {
        let requests = filled_requests(0, 100);
        let pipeline = Pipeline::start(0, &requests, &requests[0][..REQUEST_SIZE / 2], |limits| {
            limits.max_read_ahead = 20_000;
            limits.request_read_timeout = Duration::from_millis(100);
        })
        .await;
        let (_router, mut client) = pipeline.release();
        for number in 0..requests.len() {
            let status = client.read_answer().await.0;
            assert!(status == 200 || status == 503, "request {number}: status {status}");
        }
        assert_eq!(client.read_answer().await.0, 0, "the connection ends");
    });
}

/// A client that shuts down its sending side counts as gone, whatever it has sent before (`docs/OPEN.md`). Guards against
/// resetting its connection, or forwarding further requests.
#[test]
fn a_client_that_only_half_closes_sees_the_end_of_its_connection() {
    run_test(async {
        for (front, count) in [(0, 1), (0, 3), (0, 400), (1, 1), (1, 400)] {
            let requests = filled_requests(front, count);
            let mut pipeline = Pipeline::start(front, &requests, "", |_| {}).await;
            pipeline.client.stream.shutdown().await.unwrap();
            let read = pipeline.client.stream.read(&mut [0; 100]).await;
            assert_eq!(read.unwrap(), 0, "front {front}, {count} requests");
            let counts = pipeline.router.request_counts();
            assert_eq!(
                (counts.accepted, counts.client_disconnects),
                (1, 1),
                "front {front}, {count} requests"
            );
        }
    });
}
