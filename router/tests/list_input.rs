//! Endpoint lists that are large, repeat entries or exceed the size limit. A list is applied, or rejected as a whole while the
//! last list stays in use.
#![allow(missing_docs)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tallypin::api::{EndpointState, ListUpdate};
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::endpoint_list::{self, EndpointListMessage, EndpointRecord};
use tokio::net::TcpListener;

/// Number of entries of a large list, still within the maximum size of a list message.
const LARGE_LIST_ENTRIES: usize = 30_000;

fn list_message(update: ListUpdate, endpoints: Vec<EndpointRecord>) -> EndpointListMessage {
    EndpointListMessage { version: 1, full: update == ListUpdate::Full, endpoints }
}

/// Guards against work that is quadratic in the number of entries and blocks the router for seconds.
#[test]
fn a_list_with_thousands_of_entries_is_applied_without_blocking() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = TestRouter::new(Chat, &[], |_| {}).await;
        let records: Vec<EndpointRecord> = (0..LARGE_LIST_ENTRIES)
            .map(|n| endpoint_record(&format!("s-{n}"), replica.addr, "active"))
            .collect();
        let started_at = Instant::now();
        endpoint_list::apply(
            &router.components.endpoint_list,
            &list_message(ListUpdate::Full, records.clone()),
            ListUpdate::Full,
        );
        endpoint_list::apply(
            &router.components.endpoint_list,
            &list_message(ListUpdate::Full, records),
            ListUpdate::Full,
        );
        let changed = vec![endpoint_record("s-7", replica.addr, "left")];
        endpoint_list::apply(
            &router.components.endpoint_list,
            &list_message(ListUpdate::Delta, changed),
            ListUpdate::Delta,
        );
        let duration = started_at.elapsed();
        assert!(
            duration < Duration::from_secs(3),
            "two full lists of {LARGE_LIST_ENTRIES} entries took {duration:?}"
        );
        assert_eq!(router.components.replicas.ready_count(), LARGE_LIST_ENTRIES - 1);
        assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
    });
}

/// Guards against a replica that one part of the router takes for ready while another part does not know it.
#[test]
fn the_last_of_several_entries_of_a_replica_in_one_message_counts_everywhere() {
    run_test(async {
        for update in [ListUpdate::Delta, ListUpdate::Full] {
            for (states, ready) in [(["left", "active"], true), (["active", "left"], false)] {
                let replica = MockReplica::new(Chat).await;
                let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
                let records =
                    states.iter().map(|state| endpoint_record("s-0", replica.addr, state)).collect();
                endpoint_list::apply(
                    &router.components.endpoint_list,
                    &list_message(update, records),
                    update,
                );
                let ready_in_core = router.components.with_core(|core, _| {
                    core.listed_replicas().filter(|r| r.state == EndpointState::Ready).count()
                });
                let case = format!("{update:?}, {states:?}");
                assert_eq!(
                    (ready_in_core, router.components.replicas.ready_count()),
                    (usize::from(ready), usize::from(ready)),
                    "{case}"
                );
                let expected = if ready { 200 } else { 503 };
                assert_eq!(
                    Client::connect(router.addr).await.send_platform_request("").await.0,
                    expected,
                    "{case}"
                );
            }
        }
    });
}

/// Returns a list message with the active entry of a replica and `count` leaving entries whose ids start with `name`.
fn long_list(version: u64, count: usize, name: &str, replica: &MockReplica) -> String {
    let addr = replica.addr;
    let leaving_entry = |n: usize| {
        format!(r#"{{"id":"{name}-{n}","addr":"{addr}","zone":"z-{n}","kind":"k-{n}","state":"leaving"}}"#)
    };
    let leaving: Vec<String> = (0..count).map(leaving_entry).collect();
    let first = format!(r#"{{"id":"s-1","addr":"{addr}","state":"active"}}"#);
    chunk(&format!("{{\"version\":{version},\"full\":true,\"servers\":[{first},{}]}}\n", leaving.join(",")))
}

/// An entry of 60 KB and thousands of zones and kinds that are not in the settings are accepted. A list of 100,000 entries
/// exceeds the limit: the router gives up the watch and keeps its last list.
#[test]
fn a_list_above_the_size_limit_is_rejected_and_a_long_entry_is_accepted() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let list = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config();
        config.endpoint_list_agent = list.local_addr().unwrap();
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let (mut call, _) = accept_list_call(&list).await;
        call.send(&(WATCH_HEAD.to_string() + &long_list(41, 1, &"n".repeat(60_000), &replica))).await;
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        call.send(&long_list(42, 5_000, "u", &replica)).await;
        wait_until(|| router.components.with_core(|core, _| core.listed_replicas().count()) == 5_001).await;
        let too_long = long_list(43, 100_000, "t", &replica);
        // The router closes the connection before it has read the whole list, so the write may fail.
        let _ = tokio::io::AsyncWriteExt::write_all(&mut call.stream, too_long.as_bytes()).await;
        let (_second_call, head) = accept_list_call(&list).await;
        assert!(head.contains("since=42"), "{head}");
        assert_eq!(router.components.with_core(|core, _| core.listed_replicas().count()), 5_001);
        assert_eq!(Client::connect(router.addr).await.send_platform_request("").await.0, 200);
    });
}
