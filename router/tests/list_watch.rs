//! The watch of the endpoint list on real sockets: incomplete responses, a change of the service's address, and no response.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use tallypin::api::{EndpointListMode, EndpointState, PeerId, SECOND};
use tallypin_router::config::PeerAddresses;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::endpoint_list_state::WatchCounts;
use tallypin_router::peers::Peers;
use tallypin_router::reload::{self, StartupConfiguration};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const MS: Duration = Duration::from_millis(1);

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Returns the number of replicas that the router may send requests to.
fn usable_replicas(router: &TestRouter) -> usize {
    router.components.with_core(|core, now| core.replica_snapshots(now).len())
}

/// Guards against an incomplete message that counts as a sign of life: blank lines after it would keep the watch open for
/// ever.
#[test]
fn a_watch_with_an_incomplete_message_is_abandoned_despite_blank_lines() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let list = listener().await;
        let mut config = config();
        config.endpoint_list_agent = list.local_addr().unwrap();
        config.limits.list_message_stall_timeout = 100 * MS;
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let complete = list_message_chunk(41, true, "s-1", &replica, "active");
        let (mut call, _) = accept_list_call(&list).await;
        // A message in pieces is accepted if each piece arrives within `list_message_gap`.
        let message = complete.split("\r\n").nth(1).unwrap();
        call.send(WATCH_HEAD).await;
        for piece in message.as_bytes().chunks(30) {
            tokio::time::sleep(40 * MS).await;
            call.send(&chunk(std::str::from_utf8(piece).unwrap())).await;
        }
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        // Sends half of the next message, then only blank lines.
        let change = list_message_chunk(42, false, "s-1", &replica, "leaving");
        let change = change.split("\r\n").nth(1).unwrap();
        call.send(&chunk(&change[..change.len() / 2])).await;
        let blank_lines = async {
            loop {
                tokio::time::sleep(30 * MS).await;
                let _ = tokio::io::AsyncWriteExt::write_all(&mut call.stream, chunk("\n").as_bytes()).await;
            }
        };
        let (mut second_call, head) = tokio::select! {
            second_call = accept_list_call(&list) => second_call,
            () = blank_lines => unreachable!(),
        };
        assert!(head.contains("since=41"), "{head}");
        second_call
            .send(&(WATCH_HEAD.to_string() + &list_message_chunk(42, false, "s-1", &replica, "leaving")))
            .await;
        wait_until(|| router.components.replicas.ready_count() == 0).await;
        let counts = router.components.endpoint_list.state.counts();
        assert_eq!(counts, WatchCounts { opened: 2, established: 2, failed: 0, lost: 1 });
    });
}

/// Guards against a response head that alone counts as a sign of life.
#[test]
fn a_response_without_a_message_after_its_head_does_not_establish_a_watch() {
    run_test(async {
        let list = listener().await;
        let mut config = config();
        config.endpoint_list_agent = list.local_addr().unwrap();
        config.limits.list_message_stall_timeout = 100 * MS;
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let (mut call, _) = accept_list_call(&list).await;
        call.send(WATCH_HEAD).await;
        let (_second_call, _) = accept_list_call(&list).await;
        let counts = router.components.endpoint_list.state.counts();
        assert_eq!(counts, WatchCounts { opened: 2, established: 0, failed: 1, lost: 0 });
        assert!(!router.components.endpoint_list.state.is_active());
    });
}

/// Guards against a new address of the list service that does not answer and keeps the router from calling the former one.
#[test]
fn the_former_address_is_called_again_while_the_new_one_does_not_answer() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let (former, new) = (listener().await, listener().await);
        let mut config = config();
        config.endpoint_list_agent = former.local_addr().unwrap();
        let mut new_config = config.clone();
        new_config.endpoint_list_agent = new.local_addr().unwrap();
        let startup = StartupConfiguration::from_config(&config);
        let router = TestRouter::with_config(config, Chat, &[], None).await;
        let (mut first_call, _) = accept_list_call(&former).await;
        first_call
            .send(&(WATCH_HEAD.to_string() + &list_message_chunk(41, true, "s-1", &replica, "active")))
            .await;
        wait_until(|| router.components.replicas.ready_count() == 1).await;
        reload::apply(&router.components.endpoint_list.state, &startup, &new_config);
        let (_unanswered_call, _) = accept_list_call(&new).await;
        drop(first_call);
        let (mut second_call, head) = accept_list_call(&former).await;
        assert!(head.contains("since=41"), "{head}");
        second_call
            .send(&(WATCH_HEAD.to_string() + &list_message_chunk(42, false, "s-1", &replica, "leaving")))
            .await;
        wait_until(|| router.components.replicas.ready_count() == 0).await;
    });
}

/// Guards against the incident of 2026-12-03: the list service does not answer one router, which must still learn from another
/// router which replicas take no new requests.
#[test]
fn a_router_without_the_list_excludes_replicas_reported_by_a_peer() {
    run_test(async {
        let replicas = [MockReplica::new(Chat).await, MockReplica::new(Chat).await];
        let lists = [listener().await, listener().await];
        let peer_addrs: Vec<_> = ["127.2.14.1", "127.2.14.2"].map(free_udp_address).to_vec();
        let mut routers = Vec::new();
        for (index, list) in lists.iter().enumerate() {
            let mut config = config();
            let decisions = &mut config.deployment.decision_settings;
            (decisions.own_index, decisions.router_count) = (PeerId(index as u32), 2);
            // Long intervals and timeouts, so that each router makes a single call.
            decisions.list_mode = EndpointListMode::Polled { max_poll_interval: 60 * SECOND };
            let digest = decisions.tenants_digest;
            config.endpoint_list_agent = list.local_addr().unwrap();
            config.limits.list_response_timeout = Duration::from_secs(60);
            let addresses =
                PeerAddresses { listen: peer_addrs[index], routers: peer_addrs.clone(), broadcast: None };
            let peers = Peers::new(addresses, PeerId(index as u32), digest).await.unwrap();
            routers.push(
                TestRouter::with_config(config, Chat, &[&replicas[0], &replicas[1]], Some(peers)).await,
            );
        }
        let (mut first_call, _) = accept_list_call(&lists[0]).await;
        first_call
            .send(&(WATCH_HEAD.to_string() + &list_message_chunk(41, true, "s-1", &replicas[1], "active")))
            .await;
        // The second router gets no answer. The list of the first lacks s-0, which is in the configuration, so s-0 is gone.
        wait_until(|| usable_replicas(&routers[0]) == 1).await;
        wait_until(|| usable_replicas(&routers[1]) == 1).await;
        assert_eq!(
            routers[1].components.with_core(|core, _| core.listed_replicas().count()),
            2,
            "the second router keeps its own list"
        );
        first_call.send(&list_message_chunk(42, false, "s-1", &replicas[1], "leaving")).await;
        wait_until(|| usable_replicas(&routers[1]) == 0).await;
        // Once the second router has a list of its own, that list alone decides.
        let (mut second_call, _) = accept_list_call(&lists[1]).await;
        second_call
            .send(&(WATCH_HEAD.to_string() + &list_message_chunk(40, true, "s-1", &replicas[1], "active")))
            .await;
        wait_until(|| usable_replicas(&routers[1]) == 1).await;
        let listed =
            routers[1].components.with_core(|core, _| core.listed_replicas().cloned().collect::<Vec<_>>());
        assert_eq!((listed.len(), listed[0].state), (1, EndpointState::Ready));
    });
}

/// Time without the list after which a router must no longer use it if calls are turned away. The settings of these tests have
/// no grace for drains.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);

/// A router without peers that has lost its watch.
async fn router_without_watch(replica: &MockReplica, list: &TcpListener) -> TestRouter {
    let mut config = config();
    config.endpoint_list_agent = list.local_addr().unwrap();
    config.deployment.decision_settings.has_peers = false;
    let router = TestRouter::with_config(config, Chat, &[], None).await;
    let (mut call, _) = accept_list_call(list).await;
    call.send(&(WATCH_HEAD.to_string() + &list_message_chunk(41, true, "s-1", replica, "active"))).await;
    wait_until(|| router.components.replicas.ready_count() == 1).await;
    router
}

/// Answers all calls but the first with status 503.
async fn turn_calls_away(list: TcpListener) {
    loop {
        let (mut call, _) = accept_list_call(&list).await;
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
    }
}

/// Resets all calls without an answer.
async fn reset_calls(list: TcpListener) {
    while let Ok((call, _)) = list.accept().await {
        let _ = call.set_zero_linger();
    }
}

/// Guards against review/9: a router whose calls are turned away goes on using its list. One that cannot reach the service has to
/// go on, however its calls fail: refusing all work for as long as the service is down would be an outage of its own.
#[test]
fn a_list_is_used_for_longer_only_while_its_service_cannot_be_reached() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let lists = [listener().await, listener().await, listener().await];
        let mut routers = Vec::new();
        for list in &lists {
            routers.push(router_without_watch(&replica, list).await);
        }
        let [turning_away, resetting, down] = lists;
        let turning_away = spawn_local(turn_calls_away(turning_away));
        let resetting = spawn_local(reset_calls(resetting));
        drop(down);
        let lost_at = tokio::time::Instant::now();
        let status =
            async |router: &TestRouter| Client::connect(router.addr).await.send_platform_request("").await.0;
        while lost_at.elapsed() < NOTIFICATION_LIMIT - 500 * MS {
            for router in &routers {
                assert_eq!(status(router).await, 200, "after {:?}", lost_at.elapsed());
            }
            tokio::time::sleep(50 * MS).await;
        }
        tokio::time::sleep_until(lost_at + NOTIFICATION_LIMIT + 100 * MS).await;
        while lost_at.elapsed() < NOTIFICATION_LIMIT + 2000 * MS {
            let statuses = [status(&routers[0]).await, status(&routers[1]).await, status(&routers[2]).await];
            assert_eq!(statuses, [503, 200, 200], "after {:?}", lost_at.elapsed());
            tokio::time::sleep(50 * MS).await;
        }
        turning_away.abort();
        resetting.abort();
    });
}

/// Returns a free UDP address for a router to bind. The IP is used by this test alone, so no other test is given the port.
fn free_udp_address(ip: &str) -> SocketAddr {
    std::net::UdpSocket::bind((ip, 0)).unwrap().local_addr().unwrap()
}
