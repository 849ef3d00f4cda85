//! Node lists that are large, doubled or far too long: taken, or refused as a whole while the last one stays.
#![allow(missing_docs)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tallypin::api::{EndpointState, ListUpdate};
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::endpoint_list::{self, EndpointListMessage, EndpointRecord};
use tokio::net::TcpListener;

/// So many rows stay within the longest object of the list.
const MANY: usize = 30_000;

fn pages(kind: ListUpdate, rows: Vec<EndpointRecord>) -> EndpointListMessage {
    EndpointListMessage { version: 1, full: kind == ListUpdate::Full, endpoints: rows }
}

/// Guards against a look at all rows for each of them: it held the router up for seconds.
#[test]
fn a_list_of_thousands_of_rows_holds_nothing_up() {
    run(async {
        let node = Node::new(Chat).await;
        let router = Router::new(Chat, &[], |_| {}).await;
        let rows: Vec<EndpointRecord> =
            (0..MANY).map(|n| row(&format!("s-{n}"), node.addr, "active")).collect();
        let began = Instant::now();
        endpoint_list::apply(
            &router.components.endpoint_list,
            &pages(ListUpdate::Full, rows.clone()),
            ListUpdate::Full,
        );
        endpoint_list::apply(
            &router.components.endpoint_list,
            &pages(ListUpdate::Full, rows),
            ListUpdate::Full,
        );
        let changed = vec![row("s-7", node.addr, "left")];
        endpoint_list::apply(
            &router.components.endpoint_list,
            &pages(ListUpdate::Delta, changed),
            ListUpdate::Delta,
        );
        let took = began.elapsed();
        assert!(took < Duration::from_secs(3), "two whole lists of {MANY} rows took {took:?}");
        assert_eq!(router.components.replicas.ready_count(), MANY - 1);
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 200);
    });
}

/// Guards against a node that is ready by one part of the router and unknown to the other.
#[test]
fn of_a_node_s_rows_in_one_page_the_last_counts_everywhere() {
    run(async {
        for kind in [ListUpdate::Delta, ListUpdate::Full] {
            for (states, ready) in [(["left", "active"], true), (["active", "left"], false)] {
                let node = Node::new(Chat).await;
                let router = Router::new(Chat, &[&node], |_| {}).await;
                let rows = states.iter().map(|state| row("s-0", node.addr, state)).collect();
                endpoint_list::apply(&router.components.endpoint_list, &pages(kind, rows), kind);
                let by_module = router.components.with(|core, _| {
                    core.listed_replicas().filter(|r| r.state == EndpointState::Ready).count()
                });
                let case = format!("{kind:?}, {states:?}");
                assert_eq!(
                    (by_module, router.components.replicas.ready_count()),
                    (usize::from(ready), usize::from(ready)),
                    "{case}"
                );
                let expected = if ready { 200 } else { 503 };
                assert_eq!(Client::to(router.addr).await.ask("").await.0, expected, "{case}");
            }
        }
    });
}

/// A list object with so many rows beyond the one of a node, or with names so long.
fn long_list(version: u64, rows: usize, name: &str, node: &Node) -> String {
    let addr = node.addr;
    let row = |n: usize| {
        format!(r#"{{"id":"{name}-{n}","addr":"{addr}","zone":"z-{n}","kind":"k-{n}","state":"leaving"}}"#)
    };
    let rows: Vec<String> = (0..rows).map(row).collect();
    let first = format!(r#"{{"id":"s-1","addr":"{addr}","state":"active"}}"#);
    chunk(&format!("{{\"version\":{version},\"full\":true,\"servers\":[{first},{}]}}\n", rows.join(",")))
}

/// A row of 60 KB, and thousands of zones and kinds that the settings lack, are taken; 100,000 rows are more than a list may
/// have: the watch is lost, and the last list stays.
#[test]
fn an_endless_list_is_refused_and_a_long_row_is_taken() {
    run(async {
        let node = Node::new(Chat).await;
        let list = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = config();
        config.node_list = list.local_addr().unwrap();
        let router = Router::by(config, Chat, &[], None).await;
        let (mut call, _) = next_call(&list).await;
        call.send(&(WATCH.to_string() + &long_list(41, 1, &"n".repeat(60_000), &node))).await;
        until(|| router.components.replicas.ready_count() == 1).await;
        call.send(&long_list(42, 5_000, "u", &node)).await;
        until(|| router.components.with(|core, _| core.listed_replicas().count()) == 5_001).await;
        let endless = long_list(43, 100_000, "t", &node);
        // The router closes before it has read all of it.
        let _ = tokio::io::AsyncWriteExt::write_all(&mut call.stream, endless.as_bytes()).await;
        let (_again, head) = next_call(&list).await;
        assert!(head.contains("since=42"), "{head}");
        assert_eq!(router.components.with(|core, _| core.listed_replicas().count()), 5_001);
        assert_eq!(Client::to(router.addr).await.ask("").await.0, 200);
    });
}
