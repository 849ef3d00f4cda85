//! Memory that a request takes while its answer is passed on.
#![allow(missing_docs)]

mod common;

use std::alloc::System;

use cap::Cap;
use common::{
    begin_request, chunk, content_event, router_with_manual_replica, run_test, Client, TestRouter,
    STREAM_HEAD,
};
use tokio::net::TcpListener;

/// Counts the allocated memory of this process, which has the router in it.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const STREAMS: usize = 50;
/// Bytes of a header field, close to the maximum of a head.
const FIELD_SIZE: usize = 14 << 10;

/// Begins streams whose requests have a header field with a value of this length. Returns the memory that they take.
async fn memory_of_streams(
    router: &TestRouter,
    listener: &TcpListener,
    field_size: usize,
    streams: &mut Vec<(Client, Client)>,
) -> usize {
    let fields = format!("Long: {}\r\n", "v".repeat(field_size));
    let before = ALLOCATOR.allocated();
    for _ in 0..STREAMS {
        let (mut client, mut replica) = begin_request(router, listener, &fields).await;
        replica.send(&format!("{STREAM_HEAD}{}", chunk(&content_event("first")))).await;
        client.read_until("first").await;
        streams.push((client, replica));
    }
    ALLOCATOR.allocated() - before
}

/// Guards against a head that stays allocated while its answer is passed on, after the reservation of its memory has been
/// returned: whatever is kept of a head as a slice keeps all of it.
#[test]
fn the_head_of_a_request_takes_no_memory_while_its_answer_is_passed_on() {
    run_test(async {
        let (router, listener) = router_with_manual_replica(|_| {}).await;
        let mut streams = Vec::with_capacity(3 * STREAMS);
        // The tables of the router grow with the first streams.
        memory_of_streams(&router, &listener, 1, &mut streams).await;
        let short = memory_of_streams(&router, &listener, 1, &mut streams).await;
        let long = memory_of_streams(&router, &listener, FIELD_SIZE, &mut streams).await;
        let heads = STREAMS * FIELD_SIZE;
        assert!(long < short + heads / 2, "{short} bytes, and {long} with {heads} bytes of heads");
    });
}
