//! Races between two events, each tested in the unfavourable order: what one side sent has arrived in the kernel, and the router
//! has not polled its sockets since. `docs/RACES.md` lists the races.
#![allow(missing_docs)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::*;
use tallypin_router::config::Config;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::reload::{self, StartupConfiguration};
use tokio::net::TcpListener;

const MS: Duration = Duration::from_millis(1);

/// Guards against a request that is written to a pooled connection just closed by the replica. The attempt would end as a
/// connection reset, after which the request may have run.
#[test]
fn a_pooled_connection_that_closes_as_it_is_reused_is_replaced() {
    run_test(async {
        for front in [0, 1] {
            let (router, listener) =
                router_with_manual_replica(|l| l.replica_reuse_delay = Duration::ZERO).await;
            let (addr, request) = fronts(&router)[front];
            let mut client = Client::connect(addr).await;
            client.send(&request()).await;
            let mut replica = accept_request(&listener).await;
            replica.send(&streamed_answer("first")).await;
            assert_eq!(client.read_answer().await.0, 200);
            wait_until(|| router.components.replicas.connection_counts() == (1, 1)).await;
            // Polls the idle connection, so that the router depends on a readiness event from here on.
            router.components.replicas.close_expired();
            let (mut client, replica) = (into_blocking(client), into_blocking(replica));
            client.write_all(request().as_bytes()).unwrap();
            wait_for_arrival(&[&client], Arrival::Data);
            // This task runs between the choice of the replica and the first poll of the attempt.
            let components = router.components.clone();
            let closing = tokio::task::spawn_local(async move {
                while components.with_core(|core, _| core.open_requests()) == 0 {
                    yield_times(1).await;
                }
                replica.shutdown(std::net::Shutdown::Write).unwrap();
                wait_for_arrival(&[&replica], Arrival::End);
            });
            closing.await.unwrap();
            let mut second = accept_request(&listener).await;
            second.send(&streamed_answer("second")).await;
            let mut client = into_client(client);
            assert!(client.read_answer().await.2.contains("second"), "front {front}");
            assert_eq!(router.request_counts().unanswered(), 0, "front {front}: no attempt was reset");
        }
    });
}

/// Guards against an attempt that is written to a replica that drained, moved, restarted or left after it was chosen.
#[test]
fn a_replica_that_drains_moves_or_restarts_after_the_choice_receives_no_attempt() {
    run_test(async {
        for front in [0, 1] {
            for change in ["drains", "moves", "restarts", "is gone"] {
                let (first, second) = (MockReplica::new(Chat).await, MockReplica::new(Chat).await);
                let router =
                    TestRouter::new(Chat, &[&first], |l| l.replica_reuse_delay = Duration::ZERO).await;
                let (addr, request) = fronts(&router)[front];
                let mut client = Client::connect(addr).await;
                client.send(&request()).await;
                assert_eq!(client.read_answer().await.0, 200);
                wait_until(|| router.components.replicas.connection_counts() == (1, 1)).await;
                assert_eq!(first.take_counts().1, 1);
                client.send(&request()).await;
                while router.open_requests() == 0 {
                    yield_times(1).await;
                }
                let former = endpoint_record("s-0", first.addr, "active");
                let listed = match change {
                    "drains" => Some(endpoint_record("s-0", first.addr, "leaving")),
                    "moves" => Some(endpoint_record("s-0", second.addr, "active")),
                    "restarts" => {
                        Some(tallypin_router::endpoint_list::EndpointRecord { started_ms: 1, ..former })
                    }
                    _ => None,
                };
                router.set_endpoint_list(listed.into_iter().chain([endpoint_record(
                    "s-1",
                    second.addr,
                    "active",
                )]));
                assert_eq!(
                    client.read_answer().await.0,
                    200,
                    "front {front}, {change}: another attempt succeeds"
                );
                assert_eq!(
                    first.take_counts().1,
                    0,
                    "front {front}: nothing is written to a replica that {change}"
                );
                assert_eq!(second.take_counts().1, 1, "front {front}, {change}");
                assert_eq!(router.request_counts().unanswered(), 0, "front {front}, {change}");
            }
        }
    });
}

/// Guards against the immediate close of an idle client connection to make room for another one: a request that has just
/// arrived on it would be lost unread.
#[test]
fn a_request_that_arrives_as_its_idle_connection_closes_to_make_room_is_answered() {
    run_test(async {
        for front in [0, 1] {
            let replica = MockReplica::new(Chat).await;
            let router = TestRouter::new(Chat, &[&replica], |l| l.max_clients = 1).await;
            let (addr, request) = fronts(&router)[front];
            let mut idle = Client::connect(addr).await;
            idle.send(&request()).await;
            assert_eq!(idle.read_answer().await.0, 200);
            let mut idle = into_blocking(idle);
            wait_until(|| router.components.clients.request_idle_close()).await;
            // The connection's task was asked to close and has not run; it knows the readiness of the last poll only.
            idle.write_all(request().as_bytes()).unwrap();
            wait_for_arrival(&[&idle], Arrival::Data);
            let mut idle = into_client(idle);
            let (status, _, _, complete) = idle.read_answer().await;
            assert!(status == 200 && complete, "front {front}: {status}");
        }
    });
}

/// Guards against a reset of a client that writes on an idle connection just as it is closed to make room.
#[test]
fn an_idle_connection_that_closes_to_make_room_is_not_reset() {
    run_test(async {
        for front in [0, 1] {
            let replica = MockReplica::new(Chat).await;
            let router = TestRouter::new(Chat, &[&replica], |l| {
                (l.max_clients, l.final_read_duration) = (1, 200 * MS)
            })
            .await;
            let (addr, request) = fronts(&router)[front];
            let mut idle = Client::connect(addr).await;
            idle.send(&request()).await;
            assert_eq!(idle.read_answer().await.0, 200);
            let mut next = Client::connect(addr).await;
            let mut idle = into_blocking(idle);
            idle.set_nonblocking(true).unwrap();
            let mut buffer = [0; 8];
            let closed = loop {
                match idle.read(&mut buffer) {
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => tokio::task::yield_now().await,
                    result => break result,
                }
            };
            assert_eq!(closed.unwrap(), 0, "front {front}: the connection is shut down");
            idle.write_all(request().as_bytes()).unwrap();
            yield_times(200).await;
            assert!(idle.take_error().unwrap().is_none(), "front {front}: the connection is not reset");
            next.send(&request()).await;
            assert_eq!(next.read_answer().await.0, 200, "front {front}");
            assert_eq!(
                replica.take_counts().1,
                2,
                "front {front}: a request read after the shutdown is forwarded"
            );
        }
    });
}

/// Guards against a pipelined request that gets its full deadline only once it is processed: the deadline runs from its first
/// byte.
#[test]
fn the_deadline_of_a_pipelined_request_runs_from_its_first_byte() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::SlowFirstEvent]);
        let router = TestRouter::new(Chat, &[&replica], |_| {}).await;
        let mut client = Client::connect(router.addr).await;
        let pipelined = platform_request("Req-Deadline-Ms: 900\r\n", "{}")
            + &platform_request("Req-Deadline-Ms: 900\r\n", "{}");
        client.send(&pipelined).await;
        let (first, _) = replica.next_request().await;
        let started_at = std::time::Instant::now();
        let deadline_ms = |head: &str| header_value(head, "req-deadline-ms").unwrap().parse::<u64>().unwrap();
        assert_eq!(client.read_answer().await.0, 200);
        let (second, _) = replica.next_request().await;
        assert!(started_at.elapsed() >= 40 * MS, "the first answer takes 40 ms");
        assert!(deadline_ms(&second) + 40 <= deadline_ms(&first), "{first}{second}");
    });
}

/// Accepts a watch of the endpoint list and sends the response head.
async fn accept_watch(list: &TcpListener) -> TcpStream {
    let mut watch = into_blocking(accept_list_call(list).await.0);
    watch.set_nodelay(true).unwrap();
    watch.write_all(WATCH_HEAD.as_bytes()).unwrap();
    watch
}

/// Returns a router that watches one address of the endpoint list and has called another one after a reload, with both watches.
async fn router_with_two_watches(replica: &MockReplica) -> (TestRouter, TcpStream, TcpStream) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (former, new) = (bind().await.unwrap(), bind().await.unwrap());
    let mut config = Config::parse(CONFIG).unwrap();
    config.endpoint_list_agent = former.local_addr().unwrap();
    let mut moved = config.clone();
    moved.endpoint_list_agent = new.local_addr().unwrap();
    let running = StartupConfiguration::from_config(&config);
    let router = TestRouter::with_config(config, Chat, &[], None).await;
    let mut old_watch = accept_watch(&former).await;
    old_watch.write_all(list_message_chunk(41, true, "s-1", replica, "active").as_bytes()).unwrap();
    wait_until(|| router.components.replicas.ready_count() == 1).await;
    reload::apply(&router.components.endpoint_list.state, &running, &moved);
    let new_watch = accept_watch(&new).await;
    (router, old_watch, new_watch)
}

/// Guards against a change from the former address that is applied after the list of the new address. Both are read in one poll.
#[test]
fn a_change_from_the_former_list_address_does_not_undo_the_new_list() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let (router, mut old_watch, mut new_watch) = router_with_two_watches(&replica).await;
        yield_times(200).await;
        new_watch.write_all(list_message_chunk(7, true, "s-1", &replica, "leaving").as_bytes()).unwrap();
        old_watch.write_all(list_message_chunk(42, false, "s-1", &replica, "active").as_bytes()).unwrap();
        wait_for_arrival(&[&new_watch, &old_watch], Arrival::Data);
        let state = || router.components.with_core(|core, _| core.listed_replicas().map(|r| r.state).next());
        wait_until(|| state() != Some(tallypin::api::EndpointState::Ready)).await;
        for _ in 0..50 {
            tokio::task::yield_now().await;
            assert_eq!(
                state(),
                Some(tallypin::api::EndpointState::Draining),
                "the former address does not change the list"
            );
        }
        // The router watches the new address from now on.
        new_watch.write_all(list_message_chunk(8, false, "s-1", &replica, "active").as_bytes()).unwrap();
        wait_until(|| state() == Some(tallypin::api::EndpointState::Ready)).await;
    });
}

/// Guards against changes older than the known list: they would bring back a replica that is draining.
#[test]
fn an_older_version_of_the_list_is_ignored_unless_it_is_complete() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let list = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut config = Config::parse(CONFIG).unwrap();
        config.endpoint_list_agent = list.local_addr().unwrap();
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let mut watch = accept_watch(&list).await;
        let mut send = |page: String| watch.write_all(page.as_bytes()).unwrap();
        let state_of = |id: &str| {
            let id = tallypin::name_hash::replica_id(id);
            router.components.with_core(|core, _| {
                core.listed_replicas().filter(|r| r.replica == id).map(|r| r.state).next()
            })
        };
        send(list_message_chunk(41, true, "s-1", &replica, "active"));
        send(list_message_chunk(43, false, "s-1", &replica, "leaving"));
        send(list_message_chunk(42, false, "s-1", &replica, "active"));
        send(list_message_chunk(44, false, "s-2", &replica, "active"));
        wait_until(|| state_of("s-2").is_some()).await;
        assert_eq!(state_of("s-1"), Some(tallypin::api::EndpointState::Draining));
        // A restarted service numbers its versions from the beginning.
        send(list_message_chunk(1, true, "s-3", &replica, "active"));
        wait_until(|| state_of("s-3").is_some()).await;
        send(list_message_chunk(2, false, "s-4", &replica, "active"));
        wait_until(|| state_of("s-4").is_some()).await;
    });
}
