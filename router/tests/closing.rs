//! What comes in the moment in which the router closes a connection: it is answered, or never sent on.
#![allow(missing_docs)]

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::*;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::lifecycle::Stage;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// What clients have got by the end of their connection: the statuses of whole answers, and the last one's head.
async fn answers(client: &mut Client) -> (Vec<u16>, String) {
    let (mut all, mut last) = (Vec::new(), String::new());
    loop {
        let (status, head, _, whole) = client.answer().await;
        if status == 0 {
            return (all, last);
        }
        assert!(whole, "cut");
        all.push(status);
        last = head;
    }
}

/// The router closes; some time later the play goes on.
async fn closes(router: &Router, at: u32) {
    router.components.lifecycle.enter(Stage::Closing);
    let begun = Instant::now();
    until(|| begun.elapsed() >= Duration::from_micros(100) * at).await;
}

/// Plays something at both fronts, each time a little later, from well before the close to well after it; a play gives the
/// statuses of what its client got then. All that is sent on is answered, and what was there before the close is.
async fn around_the_close(play: impl AsyncFn(u32, &Node, &Router, At) -> Vec<u16>) {
    let (mut served, mut closed) = (0, 0);
    for (at, front) in (0..60).flat_map(|at| [(at, 0), (at, 1)]) {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[&node], |l| l.final_read_time = Duration::from_millis(2)).await;
        let statuses = play(at, &node, &router, fronts(&router)[front]).await;
        let requests = node.so_far().1;
        assert_eq!(statuses, vec![200; requests], "front {front}, {at}: {requests} sent on");
        assert!(requests <= 1 && (requests == 1 || at > 0), "front {front}, {at}: {requests} sent on");
        served += requests;
        closed += 1 - requests;
    }
    println!("{served} served, {closed} closed");
    assert!(served > 0 && closed > 0, "one of the two was never seen: {served}, {closed}");
}

/// Guards against requests that are read after the shutdown and sent on, and against ones read before it and dropped.
#[test]
fn a_request_in_the_moment_of_the_close_is_answered_or_never_sent_on() {
    run(around_the_close(async |at, node, router, (addr, request)| {
        let mut client = Client::to(addr).await;
        client.send(&request()).await;
        assert_eq!(client.answer().await.0, 200);
        node.so_far();
        closes(router, at).await;
        // One of two sends more behind it: after the last answer, none of that is sent on.
        let more = at as usize % 2 * 2;
        let sent = (0..=more).map(|_| request()).collect::<String>();
        // Once the connection is closed for good, not even this goes out.
        let _ = client.stream.try_write(sent.as_bytes());
        let (statuses, last) = answers(&mut client).await;
        if !statuses.is_empty() {
            assert_eq!(field(&last, "connection"), Some("close"), "{at}");
        }
        statuses
    }));
}

/// Guards against a listener that goes with whoever the machine has accepted already: a request that has been sent on such a
/// connection would be reset unread. The first play connects before the close.
#[test]
fn who_connects_in_the_moment_of_the_close_is_answered_or_never_sent_on() {
    run(around_the_close(async |at, _, router, (addr, request)| {
        let before = (at == 0).then(|| std::net::TcpStream::connect(addr).unwrap());
        closes(router, at).await;
        // The connection is up before the router's tasks have another turn.
        let client = before.or_else(|| std::net::TcpStream::connect(addr).ok());
        let Some(mut client) = client else { return Vec::new() };
        // Once the connection is closed for good, not even this goes out.
        let _ = client.write_all(request().as_bytes());
        client.set_nonblocking(true).unwrap();
        let stream = tokio::net::TcpStream::from_std(client).unwrap();
        answers(&mut Client { stream, buf: Vec::new() }).await.0
    }));
}

/// Guards against an outright close, which resets the connection under what its client has not read yet when the client
/// sends once more in that moment.
#[test]
fn a_resting_connection_that_is_closed_takes_what_still_comes_without_a_reset() {
    run(async {
        for (parting, front) in [(true, 0), (true, 1), (false, 0), (false, 1)] {
            let node = Node::new(Chat).await;
            let router = Router::new(Chat, &[&node], |l| {
                l.final_read_time = Duration::from_millis(1);
                if !parting {
                    l.client_idle_timeout = Duration::from_millis(5);
                }
            })
            .await;
            let (addr, request) = fronts(&router)[front];
            let mut client = Client::to(addr).await;
            client.send(&request()).await;
            assert_eq!(client.answer().await.0, 200);
            if parting {
                router.components.lifecycle.enter(Stage::Closing);
            }
            assert_eq!(client.stream.read(&mut [0; 9]).await.unwrap(), 0, "shut down");
            for _ in 0..3 {
                client.send(&request()).await;
                turns(200).await;
                let error = client.stream.take_error().unwrap();
                assert!(error.is_none(), "parting {parting}: {error:?}");
            }
            assert_eq!(node.so_far().1, 1, "read after the shutdown and sent on");
            drop(client);
            until(|| router.components.clients.open() == 0).await;
        }
    });
}

/// Guards against half a line from a node in the moment in which the router gives its connection up: it is no answer.
#[test]
fn half_a_line_from_a_node_in_the_moment_of_its_close_is_nobody_s() {
    run(async {
        let (router, listener): (Router, TcpListener) =
            by_hand(|l| l.response_head_timeout = Duration::from_secs(3600)).await;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", "{}")).await;
        let mut node = asked(&listener).await;
        // Its client leaves; before the router has seen that, half a line comes.
        drop(client);
        node.send(&HEAD[..20]).await;
        until(|| router.tallies().client_disconnects == 1 && router.open() == 0).await;
        let mut next = Client::to(router.addr).await;
        next.send(&platform("", "{}")).await;
        let mut second = asked(&listener).await;
        second.send(&answer("second")).await;
        assert!(next.answer().await.2.contains("second"));
        assert!(node.message().await.is_none(), "closed");
    });
}
