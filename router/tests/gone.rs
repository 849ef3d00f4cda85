//! Clients that leave: nothing is begun for them afterwards, whatever was under way.
#![allow(missing_docs)]

mod common;

use common::*;
use std::time::{Duration, Instant};
use tallypin::name_hash;
use tallypin_router::config::Config;
use tallypin_router::dialect::Dialect::Chat;
use tokio::task::spawn_local;

/// A hedged request goes out 80 ms after the first attempt, 0.4 of the latency objective of 200 ms, if first tokens take
/// less than 30 ms. One that has not gone out within this time is not going to: without the bound a play lasts until
/// the client's deadline of 4 s, and on a busy machine a few of them use up the time that a test may take.
const HEDGE_WAIT: Duration = Duration::from_millis(600);

/// Guards against an attempt that is written when its connection and its client's end are news of one moment.
#[test]
fn what_connects_as_its_client_leaves_is_not_sent() {
    run(async {
        let (mut called_off, mut written) = (0, 0);
        for (wait, front) in (0..40).flat_map(|wait| [(wait, 0), (wait, 1)]) {
            let node = Node::new(Chat).await;
            node.plan(&[Fault::Mute; 8]);
            let router = Router::new(Chat, &[&node], |_| {}).await;
            let mut clients = Vec::new();
            for _ in 0..8 {
                let (addr, request) = fronts(&router)[front];
                let mut client = Client::to(addr).await;
                client.send(&request()).await;
                clients.push(client);
            }
            // A task beside the router's has its turns between theirs.
            let components = router.components.clone();
            let left = spawn_local(async move {
                while components.with(|core, _| core.open_requests()) < clients.len() {
                    turns(1).await;
                }
                turns(wait).await;
                drop(clients);
                components.replicas.in_flight(name_hash::replica_id("s-0"))
            });
            let out = left.await.unwrap();
            until(|| router.tallies().client_disconnects == 8).await;
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            let (_, requests) = node.so_far();
            assert_eq!(
                requests, out as usize,
                "front {front}, {wait} turns later: sent on after the client had left"
            );
            called_off += 8 - out;
            written += out;
        }
        println!("{called_off} called off, {written} written before");
        assert!(called_off > 0, "no client left early enough to tell");
    });
}

/// Guards against a second copy that is written when its connection comes up as its client leaves.
#[test]
fn a_copy_that_connects_as_its_client_leaves_is_not_sent() {
    run(async {
        let (mut called_off, mut written) = (0, 0);
        let mut waits: Vec<usize> = (0..200).step_by(10).collect();
        while let Some(wait) = waits.pop() {
            let (first, second) = (Node::new(Chat).await, Node::new(Chat).await);
            let soon = CONFIG.replace("\"GoalTimeNs\": 1200000000", "\"GoalTimeNs\": 200000000");
            let mut config = Config::parse(&soon).unwrap();
            config.limits.replica_idle_timeout = Duration::from_millis(1);
            let router = Router::by(config, Chat, &[&first, &second], None).await;
            // Copies are sent where first tokens are known to come at once.
            assert_eq!(Client::to(router.addr).await.ask("").await.0, 200);
            until(|| router.components.replicas.connection_counts().0 == 0).await;
            first.plan(&[Fault::Mute]);
            second.plan(&[Fault::Mute]);
            assert_eq!(first.so_far().1 + second.so_far().1, 1);
            let (addr, request) = fronts(&router)[wait / 10 % 2];
            let mut client = Client::to(addr).await;
            client.send(&request()).await;
            let components = router.components.clone();
            let left = spawn_local(async move {
                let open = || components.with(|core, _| core.open_requests());
                while open() == 0 {
                    turns(1).await;
                }
                // One that is counted is up or on its way.
                let begun = Instant::now();
                while components.replicas.connection_counts().0 < 2
                    && open() > 0
                    && begun.elapsed() < HEDGE_WAIT
                {
                    turns(1).await;
                }
                let copied = components.replicas.connection_counts().0 == 2;
                turns(wait).await;
                leave([client]);
                let out = components.replicas.in_flight(name_hash::replica_id("s-0"))
                    + components.replicas.in_flight(name_hash::replica_id("s-1"));
                copied.then_some(out)
            });
            // Where the machine stood still first tokens look late, and no copy is sent: played again.
            let Some(out) = left.await.unwrap() else {
                waits.push(wait);
                continue;
            };
            until(|| router.tallies().client_disconnects == 1 && router.open() == 0).await;
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            let requests = first.so_far().1 + second.so_far().1;
            assert_eq!(requests, out as usize, "{wait} turns later: sent on after the client had left");
            called_off += 2 - out;
            written += out - 1;
        }
        println!("{called_off} copies called off, {written} written before");
        assert!(called_off > 0 && written > 0, "one of the two was never seen: {called_off}, {written}");
    });
}

/// Guards against an end that is not seen because what stands before it is not read.
#[test]
fn an_end_behind_much_that_was_sent_ahead_is_seen() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute]);
        let router = Router::new(Chat, &[&node], |_| {}).await;
        let mut client = Client::to(router.addr).await;
        client.send(&platform("", "{}")).await;
        node.next_request().await;
        client.send(&"POST /v1/chat/completions HTTP/1.1\r\n".repeat(2_000)).await;
        drop(client);
        until(|| router.tallies().client_disconnects == 1).await;
        assert_eq!(node.next().await, Seen::GivenUp);
    });
}

/// Fifty that wait for a node that answers nothing leave together, just before each would be tried again.
#[test]
fn of_many_that_leave_at_once_none_is_tried_again() {
    run(async {
        let (first, second) = (Node::new(Chat).await, Node::new(Chat).await);
        first.plan(&[Fault::Mute; 100]);
        second.plan(&[Fault::Mute; 100]);
        let router = Router::new(Chat, &[&first, &second], |_| {}).await;
        let mut clients = Vec::new();
        for _ in 0..50 {
            let mut client = Client::to(router.addr).await;
            client.send(&platform("", "{}")).await;
            clients.push(client);
        }
        let sent = || first.so_far().1 + second.so_far().1;
        let mut seen = 0;
        while seen < 50 {
            tokio::task::yield_now().await;
            seen += sent();
        }
        clients.clear();
        until(|| router.tallies().client_disconnects == 50 && router.open() == 0).await;
        let before = sent();
        tokio::time::sleep(router.components.limits.connect_timeout * 4).await;
        assert_eq!((before, sent()), (0, 0), "tried again for a client that has left");
    });
}
