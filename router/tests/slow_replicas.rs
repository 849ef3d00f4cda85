//! Replicas that write a long answer slowly, and in a form that delays its events.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::*;
use tokio::io::AsyncReadExt;

const MS: Duration = Duration::from_millis(1);
/// Time within which an event that a replica has written must reach the client.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);

/// Starts a router that gives up silent streams early, and a request to it. Returns the client and the replica's connection.
async fn router_with_a_request() -> (TestRouter, Client, Client) {
    let (router, listener) =
        router_with_manual_replica(|limits| limits.stream_silence_timeout = 600 * MS).await;
    let (client, replica) = begin_request(&router, &listener, "").await;
    (router, client, replica)
}

/// Guards against a long answer that is cut off although its replica is still writing: a chunk was passed on only when it was
/// complete, so the events of a long one that is written slowly were held back until the deadline or the silence timeout.
#[test]
fn events_of_a_chunk_that_is_written_slowly_are_passed_on_before_its_end() {
    run_test(async {
        let (_router, mut client, mut replica) = router_with_a_request().await;
        let events: Vec<String> = (0..4).map(|number| content_event(&format!("text-{number}"))).collect();
        let end = "data: [DONE]\n\n";
        let size = events.iter().map(String::len).sum::<usize>() + end.len();
        replica.send(&format!("{STREAM_HEAD}{size:x}\r\n")).await;
        for (number, event) in events.iter().enumerate() {
            // The event is written in two parts: an incomplete event is not passed on.
            let (start, rest) = event.split_at(event.len() / 2);
            replica.send(start).await;
            tokio::time::sleep(50 * MS).await;
            replica.send(rest).await;
            let text = format!("text-{number}");
            let received = tokio::time::timeout(MAX_EVENT_DELAY, client.read_until(&text)).await;
            received.expect("the event is passed on");
            tokio::time::sleep(300 * MS).await;
        }
        replica.send(&format!("{end}\r\n0\r\n\r\n")).await;
        let (status, _, body, complete) = client.read_answer().await;
        assert_eq!((status, complete, body), (200, true, events.concat() + end));
    });
}

/// Guards against passing on what is no event: a chunk that is said to be longer than it is would swallow the framing behind it.
#[test]
fn framing_that_follows_in_a_chunk_of_a_wrong_size_is_not_passed_on() {
    run_test(async {
        let (_router, mut client, mut replica) = router_with_a_request().await;
        let (first, second) = (content_event("first"), content_event("second"));
        // The first chunk is as long as said; the second one is said to be too long.
        let spoilt = format!("400\r\n{second}\r\n{}0\r\n\r\n", chunk(&content_event("third")));
        replica.send(&format!("{STREAM_HEAD}{}{spoilt}", chunk(&first))).await;
        client.stream.read_to_end(&mut client.buf).await.unwrap();
        let received = String::from_utf8_lossy(&client.buf).into_owned();
        assert!(received.contains("first") && !received.contains("third"), "{received}");
        assert!(!received.ends_with("0\r\n\r\n"), "the answer is not complete: {received}");
        drop(replica);
    });
}
