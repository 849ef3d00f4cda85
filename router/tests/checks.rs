//! Health checks, drains and operator orders over real sockets, with a mock balancer and mock replicas.
#![allow(missing_docs)]

mod common;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::*;
use tallypin::api::{Effect, ListUpdate, PeerId};
use tallypin_health::assessment::{HealthState, OperatorOrder};
use tallypin_health::drain_sequence::{DrainGoal, DrainPhase};
use tallypin_health::{grpc_health, load_report};
use tallypin_router::checks::control::{execute, Command, ControlSocket};
use tallypin_router::checks::{self, CheckListeners, HealthMonitor};
use tallypin_router::components::Components;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::endpoint_list::{self, EndpointListMessage, EndpointRecord};
use tallypin_router::front::{self, Front};
use tallypin_router::installation::{ControlSettings, Installation};
use tallypin_router::lifecycle::Stage;
use tallypin_router::peers::Peers;
use tallypin_router::reload::SettingsReloader;
use tallypin_router::{config, probe, shutdown};
use tallypin_test_support::balancer::{Balancer, Check, Event, ServerState};
use tallypin_test_support::health_checks::{agent_check_line, run_grpc_watch_once};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{spawn_local, AbortHandle, JoinHandle};

const MS: Duration = Duration::from_millis(1);

/// A router with check listeners, and its addresses.
struct TestRouter {
    components: Rc<Components>,
    health_monitor: Rc<HealthMonitor>,
    front: SocketAddr,
    messages_front: SocketAddr,
    /// `None` only while the router stops.
    check_listeners: Option<CheckListeners>,
    installation: Installation,
    front_tasks: Vec<AbortHandle>,
}

impl Drop for TestRouter {
    fn drop(&mut self) {
        self.front_tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Returns the default settings with short times and the given addresses (front, agent, HTTP, gRPC). Each pair of `replacements`
/// then replaces the first occurrence of its first text.
fn fast_settings(addresses: &[SocketAddr; 4], replacements: &[(&str, &str)]) -> String {
    let mut text = settings("");
    let defaults = ["127.0.0.1:8701", "127.0.0.1:8702", "127.0.0.1:8703"];
    let check_addresses =
        defaults.iter().zip(&addresses[1..]).map(|(from, to)| (from.to_string(), to.to_string()));
    for (from, to) in check_addresses {
        text = text.replace(&from, &to);
    }
    let timing = "slow-start 0ms\n every 2ms\n dwell 0ms\n smooth 1ms\n step 100%\n late 10m";
    text = text.replace("slow-start 10s", timing);
    text =
        text.replace("most 15s", "most 3s\n least 5ms\n settle 5ms\n parting 20ms\n unknown-interval 300ms");
    replacements.iter().fold(text, |text, (from, to)| text.replacen(from, to, 1))
}

/// Loopback addresses with ports that the system chooses.
const ANY_PORTS: [SocketAddr; 4] = {
    let any = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
    [any; 4]
};

async fn start_with(
    mut config: config::Config,
    endpoints: Vec<EndpointRecord>,
    addresses: &[SocketAddr; 4],
    replacements: &[(&str, &str)],
    peers: Option<Peers>,
) -> TestRouter {
    let installation = installation(&config, &fast_settings(addresses, replacements));
    installation.reserve(&mut config.limits).unwrap();
    let components = Components::new(config, Chat, peers).unwrap();
    components.start();
    components.balancer_interface.set_proxy_protocol_policy(installation.proxy_policy.clone());
    endpoint_list::apply(
        &components.endpoint_list,
        &EndpointListMessage { version: 1, full: true, endpoints },
        ListUpdate::Cached,
    );
    let health_monitor = HealthMonitor::new(&installation, components.balancer_interface.clone());
    let check_listeners = checks::start(&components.check_context(), &health_monitor).await.unwrap();
    let (platform_listener, messages_listener) =
        (TcpListener::bind(addresses[0]).await.unwrap(), TcpListener::bind(ANY_PORTS[0]).await.unwrap());
    let (front, messages_front) =
        (platform_listener.local_addr().unwrap(), messages_listener.local_addr().unwrap());
    let messages_settings = Box::new(installation.messages.clone().unwrap());
    let front_tasks = vec![
        spawn_local(front::serve(components.front_context(), platform_listener, Front::Platform))
            .abort_handle(),
        spawn_local(front::serve(
            components.front_context(),
            messages_listener,
            Front::Messages(messages_settings),
        ))
        .abort_handle(),
    ];
    TestRouter {
        components,
        health_monitor,
        front,
        messages_front,
        check_listeners: Some(check_listeners),
        installation,
        front_tasks,
    }
}

async fn start(
    replicas: &[&MockReplica],
    addresses: &[SocketAddr; 4],
    replacements: &[(&str, &str)],
) -> TestRouter {
    let endpoints = replicas
        .iter()
        .enumerate()
        .map(|(i, n)| endpoint_record(&format!("s-{i}"), n.addr, "active"))
        .collect();
    let router = start_with(config(), endpoints, addresses, replacements, None).await;
    router.until(|s| s == HealthState::Up).await;
    router
}

impl TestRouter {
    async fn until(&self, condition: impl Fn(HealthState) -> bool) {
        let _ = self.health_monitor.subscribe().wait_for(|assessment| condition(assessment.state)).await;
    }

    async fn until_phase(&self, phase: DrainPhase) {
        let _ = self.health_monitor.subscribe_drain_phase().wait_for(|p| *p == phase).await;
    }

    fn agent(&self) -> SocketAddr {
        self.check_listeners.as_ref().unwrap().agent.unwrap()
    }

    fn http(&self) -> SocketAddr {
        self.check_listeners.as_ref().unwrap().http.unwrap()
    }

    fn grpc(&self) -> SocketAddr {
        self.check_listeners.as_ref().unwrap().grpc.unwrap()
    }

    async fn agent_check(&self) -> String {
        agent_check_line(self.agent(), "").await.expect("the agent check answers")
    }

    fn addresses(&self) -> [SocketAddr; 4] {
        [self.front, self.agent(), self.http(), self.grpc()]
    }

    /// Stops the check listeners and waits until the fronts have closed. Its addresses are free after that.
    async fn stop(mut self) {
        self.check_listeners.take().unwrap().stop().await;
        wait_until(|| self.front_tasks.iter().all(|f| f.is_finished())).await;
    }

    /// Begins a drain that ends with the router's shutdown, as SIGTERM does.
    fn begin_shutdown(&self) -> JoinHandle<()> {
        assert!(self.health_monitor.set_drain_goal(DrainGoal::Exit, OperatorOrder::Drain));
        let (components, health_monitor) = (self.components.clone(), self.health_monitor.clone());
        spawn_local(async move { shutdown::wait_and_finish_drain(&components, &health_monitor).await })
    }
}

async fn get(client: &mut Client, target: &str) -> (u16, String, String) {
    client.send(&format!("GET {target} HTTP/1.1\r\nHost: r\r\n\r\n")).await;
    let (status, head, body, _) = client.read_answer().await;
    (status, head, body)
}

#[test]
fn every_protocol_reports_a_drain_before_connections_close_and_a_drain_can_be_cancelled() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = start(&[&replica], &ANY_PORTS, &[("most 3s", "most 10m")]).await;
        // These connections are opened before the drain and kept open.
        let mut checker = Client::connect(router.http()).await;
        assert_eq!(get(&mut checker, "/healthz").await.0, 200);
        let mut client = Client::connect(router.front).await;
        assert_eq!(client.send_platform_request("").await.0, 200);
        let statuses: Rc<RefCell<Vec<u8>>> = Rc::default();
        let (grpc, received) = (router.grpc(), statuses.clone());
        let watch = spawn_local(async move {
            let on_status = |status| {
                received.borrow_mut().push(status);
                std::future::ready(())
            };
            run_grpc_watch_once(grpc, "messages", 64 << 10, on_status).await
        });
        wait_until(|| !statuses.borrow().is_empty()).await;
        assert_eq!(router.agent_check().await, "up ready 100%");
        execute(Command::Drain { end: false }, &router.components.check_context(), &router.health_monitor);
        // Checks are answered with the drain at once, on old and on new connections.
        assert_eq!(router.agent_check().await, "up drain");
        assert_eq!(probe::check_grpc(grpc, "").await.unwrap().text, "NOT_SERVING");
        assert_eq!(
            router.health_monitor.drain_phase(),
            DrainPhase::Notifying,
            "the HTTP checker has not been notified yet"
        );
        let (code, head, _, complete) = client.send_platform_request("").await;
        assert!(code == 200 && complete && header_value(&head, "connection").is_none(), "{head}");
        assert_eq!(get(&mut checker, "/healthz").await.0, 404);
        assert_eq!(get(&mut checker, "/livez").await.0, 200);
        wait_until(|| *statuses.borrow() == [1, 2]).await;
        router.until_phase(DrainPhase::ClosingConnections).await;
        let (code, head, _, complete) = client.send_platform_request("").await;
        assert!(code == 200 && complete && header_value(&head, "connection") == Some("close"), "{head}");
        // The drain is cancelled while connections close.
        assert_eq!(
            execute(Command::Ready, &router.components.check_context(), &router.health_monitor)["done"],
            true
        );
        assert_eq!(router.agent_check().await, "up ready 100%");
        assert_eq!(get(&mut checker, "/healthz").await.0, 200);
        wait_until(|| *statuses.borrow() == [1, 2, 1]).await;
        let mut client = Client::connect(router.front).await;
        let (code, head, ..) = client.send_platform_request("").await;
        assert!(code == 200 && header_value(&head, "connection").is_none());
        // A second drain completes: idle connections close, and new ones are served until the router shuts down.
        assert_eq!(
            execute(
                Command::Drain { end: false },
                &router.components.check_context(),
                &router.health_monitor
            )["done"],
            true
        );
        router.agent_check().await;
        probe::check_grpc(grpc, "").await.unwrap();
        get(&mut checker, "/healthz").await;
        router.until_phase(DrainPhase::Drained).await;
        assert_eq!(client.stream.read(&mut [0; 8]).await.unwrap(), 0, "the router closes an idle connection");
        assert_eq!(Client::connect(router.front).await.send_platform_request("").await.0, 200);
        let shutdown = router.begin_shutdown();
        assert_eq!(
            execute(Command::Ready, &router.components.check_context(), &router.health_monitor)["done"],
            false,
            "a shutdown cannot be cancelled"
        );
        shutdown.await.unwrap();
        wait_until(|| !router.front_tasks.iter().any(|f| !f.is_finished())).await;
        assert!(TcpStream::connect(router.front).await.is_err());
        watch.abort();
    });
}

/// Guards against a router that shuts down while requests wait: their connections would close without an answer.
#[test]
fn requests_that_still_wait_at_the_drain_timeout_are_answered_before_shutdown() {
    run_test(async {
        for (effect, status) in [(Effect::Idempotent, 503), (Effect::NotIdempotent, 500)] {
            let replica = MockReplica::new(Chat).await;
            replica.add_faults(&[ReplicaFault::NoAnswer]);
            let mut config = config();
            config.limits.drain_time = 30 * MS;
            config.deployment.decision_settings.classes.iter_mut().for_each(|c| c.effect = effect);
            let router = start_with(
                config,
                vec![endpoint_record("s-0", replica.addr, "active")],
                &ANY_PORTS,
                &[],
                None,
            )
            .await;
            router.until(|s| s == HealthState::Up).await;
            let mut client = Client::connect(router.front).await;
            client.send(&platform_request("", "{}")).await;
            replica.next_request().await;
            router.begin_shutdown().await.unwrap();
            assert_eq!(client.read_answer().await.0, status, "{effect:?}");
        }
    });
}

/// Guards against forwarding a request whose stream the end of the drain would cut.
#[test]
fn a_request_completed_at_the_end_of_a_drain_is_rejected_if_its_answer_may_outlast_it() {
    run_test(async {
        for (max_tokens, status) in [(10, 200), (400, 503)] {
            let replica = MockReplica::new(Chat).await;
            let mut config = config();
            (config.deployment.resumes_streams, config.limits.drain_time) = (false, 2000 * MS);
            for class in &mut config.deployment.decision_settings.classes {
                class.token_interval_objective = 50_000_000;
            }
            let replicas = vec![endpoint_record("s-0", replica.addr, "active")];
            let router = start_with(config, replicas, &ANY_PORTS, &[], None).await;
            router.until(|s| s == HealthState::Up).await;
            let request = platform_request(&format!("Req-Extra: max_out={max_tokens}\r\n"), "{}");
            let (start, last_byte) = request.split_at(request.len() - 1);
            let mut client = Client::connect(router.front).await;
            client.send(start).await;
            let shutdown = router.begin_shutdown();
            router.components.lifecycle.wait_for(Stage::Closing).await;
            tokio::time::sleep(router.components.limits.final_read_duration * 3).await;
            client.send(last_byte).await;
            assert_eq!(client.read_answer().await.0, status, "at most {max_tokens} tokens");
            assert_eq!(replica.take_counts().1, usize::from(status == 200), "at most {max_tokens} tokens");
            drop(client);
            shutdown.await.unwrap();
        }
    });
}

/// A cause that all routers share is reported as degraded, never as down.
#[test]
fn a_fleet_without_warm_replicas_makes_the_router_degraded() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = start(&[&replica], &ANY_PORTS, &[]).await;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let warming_up = EndpointRecord { started_ms: now, ..endpoint_record("s-9", replica.addr, "active") };
        let set_endpoints = |endpoints| {
            endpoint_list::apply(
                &router.components.endpoint_list,
                &EndpointListMessage { version: 1, full: true, endpoints },
                ListUpdate::Full,
            )
        };
        set_endpoints(vec![warming_up]);
        router.until(|s| s == HealthState::Degraded).await;
        let mut client = Client::connect(router.http()).await;
        let (code, _, body) = get(&mut client, "/healthz").await;
        assert!(code == 200 && body.contains("every model node is cold"), "{body}");
        set_endpoints(vec![]);
        wait_until(|| router.health_monitor.assessment().cause.description() == "no model node takes work")
            .await;
        assert!(router.agent_check().await.starts_with("up ready "));
        let (code, _, body) = get(&mut client, "/readyz?verbose").await;
        assert!(code == 200 && body.contains("[-]nodes not well: 0 ready"), "{body}");
        set_endpoints(vec![endpoint_record("s-0", replica.addr, "active")]);
        router.until(|s| s == HealthState::Up).await;
    });
}

/// No replica answers this router. A peer's report that it serves shows that the failure is this router's own.
#[test]
fn a_router_that_no_replica_answers_is_down_while_a_peer_serves() {
    run_test(async {
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own_address = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let mut config = config();
        let each = vec![own_address, peer.local_addr().unwrap()];
        let addresses = config::PeerAddresses { listen: own_address, routers: each, broadcast: None };
        config.peers = Some(addresses.clone());
        let digest = config.deployment.decision_settings.tenants_digest;
        let peers = Peers::new(addresses, PeerId(0), digest).await.unwrap();
        let refusing = ReservedPort::new();
        // Several replicas, because a router waits before it uses one again that refused a connection.
        let endpoints =
            (0..6).map(|i| endpoint_record(&format!("s-{i}"), refusing.addr(), "active")).collect();
        let timing = "failures 3\n witness-after 200ms\n witness-fresh 1s\n retry 10m\n slow-start 10s";
        let replacements = [("slow-start 0ms", &*timing.replace("10s", "0ms"))];
        let router = start_with(config, endpoints, &ANY_PORTS, &replacements, Some(peers)).await;
        let mut client = Client::connect(router.front).await;
        for _ in 0..4 {
            client.send_platform_request("").await;
        }
        wait_until(|| router.health_monitor.assessment().cause.description() == "no model node answers")
            .await;
        assert!(router.agent_check().await.starts_with("up ready "), "no peer is known to serve");
        let report = tallypin::served_report::encode(digest, 500, &[served_count(7, 0)]);
        let mut interval = tokio::time::interval(20 * MS);
        while router.health_monitor.assessment().state != HealthState::Down {
            interval.tick().await;
            peer.send_to(&report[0], own_address).await.unwrap();
        }
        assert_eq!(
            router.agent_check().await,
            "down ready #no model node answers here while another router serves"
        );
        assert_eq!(probe::check_http(router.http(), "/healthz").await.unwrap().state, HealthState::Down);
        // When the peer falls silent, this router may be the last one, and returns to degraded.
        router.until(|s| s == HealthState::Degraded).await;
    });
}

#[test]
fn checks_are_answered_with_all_client_slots_in_use_and_500_silent_check_connections() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        replica.add_faults(&[ReplicaFault::NoAnswer; 40]);
        let mut config = config();
        config.limits.max_clients = 44;
        let endpoints = vec![endpoint_record("s-0", replica.addr, "active")];
        let router = start_with(config, endpoints, &ANY_PORTS, &[("budget 500ms", "budget 5s")], None).await;
        let mut clients = Vec::new();
        for _ in 0..6 {
            let mut client = Client::connect(router.front).await;
            client.send(&platform_request("", "{}")).await;
            clients.push(client);
        }
        let mut silent = Vec::new();
        for address in [router.agent(), router.http(), router.grpc()] {
            for i in 0..500 {
                let mut stream = TcpStream::connect(address).await.unwrap();
                // A third of the connections sends an incomplete request.
                stream.write_all(if i % 3 == 0 { b"GET /h" } else { b"" }).await.unwrap();
                silent.push(stream);
            }
            assert!(router.agent_check().await.starts_with("up ready "));
            assert_eq!(probe::check_http(router.http(), "/healthz").await.unwrap().state, HealthState::Up);
            assert_eq!(probe::check_grpc(router.grpc(), "").await.unwrap().state, HealthState::Up);
        }
        let mut still_open = 0;
        for stream in &silent {
            still_open += usize::from(
                stream.try_read(&mut [0; 64]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock),
            );
        }
        assert!(still_open <= 40, "{still_open} silent connections are still open");
    });
}

#[test]
fn invalid_checks_get_an_error_or_a_closed_connection() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let replacements = [("checks {", "checks {\n budget 150ms\n idle 150ms")];
        let router = start(&[&replica], &ANY_PORTS, &replacements).await;
        let oversized = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(17 << 10));
        for (request, expected) in [
            ("nonsense\r\n\r\n", 400),
            ("GET /healthz HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            ("GET /healthz HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", 413),
            ("GET /healthz HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
            ("DELETE /healthz HTTP/1.1\r\n\r\n", 405),
            ("GET /other HTTP/1.1\r\n\r\n", 404),
            ("GET /healthz HTTP/1.1\r\nHo", 408),
            (&*oversized, 431),
        ] {
            let mut client = Client::connect(router.http()).await;
            client.stream.write_all(request.as_bytes()).await.unwrap();
            assert_eq!(
                client.read_answer().await.0,
                expected,
                "{}",
                request.chars().take(40).collect::<String>()
            );
        }
        // Nothing, a truncated request or another protocol: the connection is closed.
        for (address, bytes) in
            [(router.http(), ""), (router.grpc(), "GET / HTTP/1.1\r\n\r\n"), (router.grpc(), "PRI * HT")]
        {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(bytes.as_bytes()).await.unwrap();
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received).await;
            assert!(!String::from_utf8_lossy(&received).contains("200"), "{received:?}");
        }
        for (line, expected) in [
            ("", "up ready 100%"),
            ("platform\n", "up ready 100%"),
            ("messages\r\n", "up ready 100%"),
            ("letters\n", "failed #no service letters"),
            ("GET / HTTP/1.1\r\n\r\n", "failed #no service of that name"),
        ] {
            assert_eq!(agent_check_line(router.agent(), line).await.as_deref(), Some(expected), "{line:?}");
        }
        assert!(probe::check_grpc(router.grpc(), "letters")
            .await
            .unwrap_err()
            .to_string()
            .contains("grpc-status 5"));
        // The answer to a HEAD request has no body, and the connection stays usable.
        let mut client = Client::connect(router.http()).await;
        client.send("HEAD /healthz HTTP/1.1\r\n\r\n").await;
        let mut head = [0; 512];
        let n = client.stream.read(&mut head).await.unwrap();
        assert!(head[..n].ends_with(b"\r\n\r\n"), "{}", String::from_utf8_lossy(&head[..n]));
        assert_eq!(get(&mut client, "/livez").await.0, 200);
        assert_eq!(
            Client::connect(router.front).await.send_platform_request("").await.0,
            200,
            "clients are not affected"
        );
    });
}

#[test]
fn a_slow_watcher_gets_only_the_latest_state_and_excess_watchers_get_an_error() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let replacements = [("listen 127.0.0.1:0\n    }\n}", "listen 127.0.0.1:0\n watches 1\n    }\n}")];
        let router = start(&[&replica], &ANY_PORTS, &replacements).await;
        let (statuses, proceed): (Rc<RefCell<Vec<u8>>>, Rc<tokio::sync::Notify>) = Default::default();
        let (grpc, received, wait) = (router.grpc(), statuses.clone(), proceed.clone());
        // The flow-control window has room for one message: the next one waits until this one is consumed.
        let watch = spawn_local(async move {
            let on_status = |status| {
                received.borrow_mut().push(status);
                let wait = wait.clone();
                async move { wait.notified().await }
            };
            run_grpc_watch_once(grpc, "", 7, on_status).await
        });
        wait_until(|| statuses.borrow().len() == 1).await;
        assert!(
            run_grpc_watch_once(grpc, "", 64 << 10, |_| std::future::ready(())).await.is_some(),
            "a second watch is rejected"
        );
        for order in [OperatorOrder::Drain, OperatorOrder::Ready, OperatorOrder::Maintenance] {
            let goal = if order == OperatorOrder::Ready { DrainGoal::Serve } else { DrainGoal::Drain };
            router.health_monitor.set_drain_goal(goal, order);
            tokio::time::sleep(5 * MS).await;
        }
        proceed.notify_one();
        wait_until(|| statuses.borrow().len() == 2).await;
        proceed.notify_one();
        tokio::time::sleep(20 * MS).await;
        assert_eq!(*statuses.borrow(), [1, 2], "three changes give one message with the latest state");
        watch.abort();
    });
}

#[test]
fn a_reload_moves_the_check_listener_and_applies_new_check_settings() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let (old, new) = (ReservedPort::new(), ReservedPort::new());
        let mut addresses = ANY_PORTS;
        addresses[2] = old.addr();
        let router = start(&[&replica], &addresses, &[]).await;
        let mut old_connection = Client::connect(router.http()).await;
        assert_eq!(get(&mut old_connection, "/healthz").await.0, 200);
        let mut reloader =
            SettingsReloader::new(&router.installation, Some(router.health_monitor.clone()), None);
        addresses[2] = new.addr();
        let replacements = [("drain 404", "drain 418"), ("checks {", "checks {\n connections 5\n envoy on")];
        let changed = installation(&config(), &fast_settings(&addresses, &replacements));
        reloader.apply(&router.components.balancer_interface, &changed);
        let mut new_connection = loop {
            match TcpStream::connect(new.addr()).await {
                Ok(stream) => break Client { stream, buf: Vec::new() },
                Err(_) => tokio::task::yield_now().await,
            }
        };
        assert!(TcpStream::connect(old.addr()).await.is_err(), "the old listener is closed");
        router.health_monitor.set_drain_goal(DrainGoal::Drain, OperatorOrder::Drain);
        assert_eq!(
            get(&mut old_connection, "/healthz").await.0,
            418,
            "an old connection stays open and uses the new settings"
        );
        assert_eq!(get(&mut new_connection, "/healthz").await.0, 418);
        let (_, head, ..) = Client::connect(router.front).await.send_platform_request("").await;
        assert_eq!(header_value(&head, "x-envoy-immediate-health-check-fail"), Some("true"));
        // An address in use is not taken over, but the other settings apply.
        let occupied = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses[2] = occupied.local_addr().unwrap();
        reloader.apply(
            &router.components.balancer_interface,
            &installation(&config(), &fast_settings(&addresses, &[])),
        );
        assert_eq!(get(&mut old_connection, "/healthz").await.0, 404);
        assert_eq!(get(&mut Client::connect(new.addr()).await, "/healthz").await.0, 404);
    });
}

#[test]
fn answers_to_clients_carry_health_fields_only_if_enabled() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let default_router = start(&[&replica], &ANY_PORTS, &[]).await;
        let (_, head, ..) = Client::connect(default_router.front).await.send_platform_request("").await;
        let expected_head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(head, expected_head);
        let replacements = [
            ("checks {", "checks {\n envoy on\n report text"),
            ("listen 127.0.0.1:0\n    }\n}", "listen 127.0.0.1:0\n reports on\n }\n}"),
        ];
        let router = start(&[&replica], &ANY_PORTS, &replacements).await;
        wait_until(|| router.components.balancer_interface.response_fields().contains("weight=1")).await;
        for (head, body) in [
            {
                let (_, h, b, _) = Client::connect(router.front).await.send_platform_request("").await;
                (h, b)
            },
            {
                let (_, h, b, _) =
                    Client::connect(router.front).await.send_platform_request("Req-Kind: x\r\n").await;
                (h, b)
            },
        ] {
            assert!(
                header_value(&head, "endpoint-load-metrics").is_some_and(|v| v.starts_with("TEXT ")),
                "{head}{body}"
            );
            assert_eq!(header_value(&head, "x-envoy-degraded"), None);
        }
        execute(Command::Maint, &router.components.check_context(), &router.health_monitor);
        let (_, head, ..) = Client::connect(router.front).await.send_platform_request("").await;
        assert_eq!(header_value(&head, "x-envoy-immediate-health-check-fail"), Some("true"));
        let report = router.health_monitor.load_report();
        assert!(report.named_metrics.contains_key("open") && report.utilization.contains_key("clients"));
    });
}

/// Requests the stream of load reports. Returns its response head and the handle of the connection's task.
async fn request_load_reports(
    address: SocketAddr,
    message: &load_report::OrcaLoadReportRequest,
) -> (http::Response<h2::RecvStream>, AbortHandle) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut send, connection) = h2::client::handshake(stream).await.unwrap();
    let connection_task = spawn_local(connection).abort_handle();
    let request = http::Request::post(format!("http://r{}", load_report::STREAM_PATH));
    let request = request.header("content-type", "application/grpc").body(()).unwrap();
    let (answer, mut body) = send.send_request(request, false).unwrap();
    body.send_data(grpc_health::encode_frame(message), true).unwrap();
    (answer.await.unwrap(), connection_task)
}

/// Load reports are streamed at the requested interval if the settings enable them.
#[test]
fn load_reports_are_streamed_only_if_enabled() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let reports_on = "listen 127.0.0.1:0\n reports on\n report-least 10ms\n    }\n}";
        let router = start(&[&replica], &ANY_PORTS, &[("listen 127.0.0.1:0\n    }\n}", reports_on)]).await;
        let interval = load_report::ProtoDuration { seconds: 0, nanos: 20_000_000 };
        let message = load_report::OrcaLoadReportRequest {
            report_interval: Some(interval),
            request_cost_names: vec![],
        };
        let (answer, connection_task) = request_load_reports(router.grpc(), &message).await;
        let mut stream = answer.into_body();
        let (mut buf, mut reports) = (bytes::BytesMut::new(), Vec::new());
        while reports.len() < 3 {
            let data = stream.data().await.unwrap().unwrap();
            stream.flow_control().release_capacity(data.len()).unwrap();
            buf.extend_from_slice(&data);
            while let Some(report) =
                grpc_health::decode_frame::<load_report::OrcaLoadReport>(&mut buf).unwrap()
            {
                reports.push(report);
            }
        }
        assert!(reports.iter().all(|r| r.named_metrics["weight"] > 0.5), "{reports:?}");
        connection_task.abort();
        // The method is unimplemented if reports are disabled.
        let default_router = start(&[&replica], &ANY_PORTS, &[]).await;
        let (answer, connection_task) = request_load_reports(default_router.grpc(), &message).await;
        assert_eq!(answer.headers()["grpc-status"], "12");
        connection_task.abort();
    });
}

#[test]
fn proxy_headers_are_accepted_only_from_trusted_balancers() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let section = "proxy-protocol {\n from 127.0.0.1\n platform on\n messages on\n checks on\n within 100ms\n}\nhealth {";
        let router = start_with(
            config(),
            vec![endpoint_record("s-0", replica.addr, "active")],
            &ANY_PORTS,
            &[("health {", section)],
            None,
        )
        .await;
        let v1 = b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n".to_vec();
        let v2 =
            [&b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x0c"[..], &[192, 0, 2, 8, 127, 0, 0, 1, 1, 1, 0, 80]].concat();
        let local = b"\r\n\r\n\0\r\nQUIT\n\x20\0\0\0".to_vec();
        for header in [&v1, &v2, &local] {
            let mut client = Client::connect(router.front).await;
            // The header arrives in two parts, the second together with the request.
            client.stream.write_all(&header[..7]).await.unwrap();
            tokio::task::yield_now().await;
            client.stream.write_all(&header[7..]).await.unwrap();
            assert_eq!(client.send_platform_request("").await.0, 200);
            assert_eq!(client.send_platform_request("").await.0, 200, "a connection has one header");
            let mut check = Client::connect(router.http()).await;
            check.stream.write_all(header).await.unwrap();
            assert_eq!(get(&mut check, "/healthz").await.0, 200);
            let mut messages = Client::connect(router.messages_front).await;
            messages.stream.write_all(header).await.unwrap();
            assert_eq!(get(&mut messages, "/healthz").await.0, 200);
        }
        let checkers: Vec<String> =
            router.health_monitor.checkers().iter().map(|a| a.id.ip.to_string()).collect();
        assert!(
            checkers.contains(&"192.0.2.7".into()) && checkers.contains(&"127.0.0.1".into()),
            "{checkers:?}"
        );
        // Without a header, with a malformed or with a truncated one, the connection is closed.
        for bytes in [b"GET /up HTTP/1.1\r\n\r\n".to_vec(), b"PROXY TCP4 x\r\n".to_vec(), v1[..9].to_vec()] {
            for address in [router.front, router.messages_front, router.http()] {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(&bytes).await.unwrap();
                let mut received = Vec::new();
                let _ = stream.read_to_end(&mut received).await;
                assert_eq!(received, b"", "{bytes:?}");
            }
        }
        assert_eq!(router.components.balancer_interface.invalid_headers(), 9);
        // A header from an untrusted sender does not change the client address: it is an invalid request.
        let section = section.replace("from 127.0.0.1", "from 10.0.0.0/8");
        let changed = installation(&config(), &fast_settings(&ANY_PORTS, &[("health {", &section)]));
        router.components.balancer_interface.set_proxy_protocol_policy(changed.proxy_policy);
        let mut client = Client::connect(router.front).await;
        client.stream.write_all(&v1).await.unwrap();
        assert_eq!(client.send_platform_request("").await.0, 400);
        assert_eq!(Client::connect(router.front).await.send_platform_request("").await.0, 200);
    });
}

#[test]
fn the_control_socket_takes_operator_orders_and_has_the_configured_mode() {
    use std::os::unix::fs::PermissionsExt;
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let router = start(&[&replica], &ANY_PORTS, &[]).await;
        let socket = std::env::temp_dir().join(format!("tallypin-ctl-{}", std::process::id()));
        // A killed router leaves its socket file behind.
        drop(std::os::unix::net::UnixListener::bind(&socket).unwrap());
        let settings = ControlSettings { socket: socket.clone(), mode: 0o600 };
        let control = ControlSocket::bind(&settings).await.unwrap();
        assert_eq!(std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777, 0o600);
        let serving = spawn_local(control.serve(
            router.components.check_context(),
            router.health_monitor.clone(),
            None,
        ));
        let error = ControlSocket::bind(&settings).await.err().expect("the socket is in use").to_string();
        assert!(error.contains("another router answers there"), "{error}");
        let send = async |order: &str| -> serde_json::Value {
            serde_json::from_str(&probe::send_order(&socket, order).await.unwrap()).unwrap()
        };
        let status = send("show").await;
        assert_eq!(
            (&status["state"], &status["weight"], &status["phase"]),
            (&"up".into(), &100.into(), &"serving".into())
        );
        assert_eq!(send("weight 30%").await["done"], true);
        wait_until(|| router.health_monitor.assessment().weight == 30).await;
        assert_eq!(router.agent_check().await, "up ready 30%");
        assert_eq!(send("maint").await["state"], "maint");
        assert_eq!(router.agent_check().await, "stopped maint #in maintenance");
        assert_eq!(send("ready").await["state"], "up");
        for (order, reason) in
            [("dance", "unknown order"), ("weight 0%", "1% to 100%"), ("", "the order is empty")]
        {
            let answer = send(order).await;
            assert!(answer["done"] == false && answer["why"].as_str().unwrap().contains(reason), "{answer}");
        }
        let answer = send(&"x".repeat(300)).await;
        assert_eq!(answer["why"], "the order is not one complete line of text");
        serving.abort();
        wait_until(|| !socket.exists()).await;
    });
}

/// Starts three routers behind a balancer that checks all of them in the same way.
async fn routers_behind_balancer(
    replicas: &[&MockReplica],
    addresses: &[SocketAddr; 4],
    check: impl Fn(&TestRouter) -> Check,
) -> (Vec<TestRouter>, Rc<Balancer>) {
    let mut routers = Vec::new();
    for _ in 0..3 {
        routers.push(start(replicas, addresses, &[]).await);
    }
    let servers: Vec<_> = routers.iter().map(|r| (r.front, check(r))).collect();
    let balancer = Rc::new(Balancer::new(servers));
    for number in 0..3 {
        balancer.wait_until(number, |h| h.up && h.ready).await;
    }
    (routers, balancer)
}

/// Starts clients that send requests without pause until `stop` is set. Each returns the number of complete answers with status
/// 200 and the statuses of all other answers.
fn start_load(
    balancer: &Rc<Balancer>,
    clients: usize,
    stop: &Rc<std::cell::Cell<bool>>,
) -> Vec<JoinHandle<(u64, Vec<u16>)>> {
    let client = |_| {
        let (balancer, stop) = (balancer.clone(), stop.clone());
        spawn_local(async move {
            let (mut served, mut other) = (0, Vec::new());
            while !stop.get() {
                let outcome = balancer.send(&platform_request("", "{}")).await;
                match (outcome.status, outcome.body == CHAT.concat().as_bytes()) {
                    (200, true) => served += 1,
                    (status, _) => other.push(status),
                }
                tokio::task::yield_now().await;
            }
            (served, other)
        })
    };
    (0..clients).map(client).collect()
}

/// Makes the check of a router with the given interval.
type MakeCheck = fn(&TestRouter, Duration) -> Check;

/// With each protocol, the balancer moves traffic away at the first check after the drain began, and no request is lost.
#[test]
fn traffic_shifts_within_one_check_interval() {
    let interval = 15 * MS;
    let checks: [(&str, MakeCheck); 3] = [
        ("agent", |r, interval| Check::Agent(r.agent(), interval, "")),
        ("http", |r, interval| Check::Http(r.http(), interval, "/healthz", 1, 2)),
        ("watch", |r, _| Check::Watch(r.grpc())),
    ];
    for (name, check) in checks {
        run_test(async {
            let replica = MockReplica::new(Chat).await;
            let (routers, balancer) =
                routers_behind_balancer(&[&replica], &ANY_PORTS, |r| check(r, interval)).await;
            let stop = Rc::new(std::cell::Cell::new(false));
            let clients = start_load(&balancer, 6, &stop);
            wait_until(|| (0..3).all(|n| balancer.requests_sent(n) > 20)).await;
            balancer.add_mark(1);
            let shutdown = routers[1].begin_shutdown();
            shutdown.await.unwrap();
            balancer.add_mark(2);
            let sent_before = balancer.requests_sent(0);
            wait_until(|| balancer.requests_sent(0) > sent_before + 20).await;
            stop.set(true);
            for client in clients {
                let (served, other) = client.await.unwrap();
                assert!(served > 0 && other.is_empty(), "{name}: {served} {other:?}");
            }
            let events = balancer.events();
            let mark = events.iter().position(|e| *e == Event::Mark(1)).unwrap();
            let is_check = |e: &&Event| matches!(e, Event::Checked(1, _));
            let reports_drain =
                |e: &Event| matches!(e, Event::Checked(1, ServerState { ready, up, .. }) if !ready || !up);
            let first = events[mark..].iter().position(reports_drain).expect(name) + mark;
            // One check may have been in progress when the drain began.
            let before = events[mark..first].iter().filter(is_check).count();
            assert!(before <= 1, "{name}: {before} checks did not report the drain");
            let after = events[first..].iter().filter(|e| **e == Event::Sent(1)).count();
            assert_eq!(after, 0, "{name}: no requests are sent after the drain was reported");
            assert_eq!(balancer.resend_counts(), (0, 0), "{name}");
        });
    }
}

/// Of three balancers, one checks often, one seldom, and one stops. A drain waits for the first two.
#[test]
fn a_drain_waits_for_a_balancer_with_infrequent_checks_but_not_for_a_stopped_one() {
    run_test(async {
        let replica = MockReplica::new(Chat).await;
        let replacements = [("most 3s", "most 10m"), ("unknown-interval 300ms", "unknown-interval 100ms")];
        let router = start(&[&replica], &ANY_PORTS, &replacements).await;
        let frequent = Balancer::new([(router.front, Check::Agent(router.agent(), 5 * MS, ""))]);
        let infrequent =
            Balancer::new([(router.front, Check::Http(router.http(), 400 * MS, "/healthz", 1, 1))]);
        // The third balancer uses a watch, which counts as a checker until its connection closes with the balancer.
        let stopped = Balancer::new([(router.front, Check::Watch(router.grpc()))]);
        frequent.wait_until(0, |h| h.up).await;
        stopped.wait_until(0, |h| h.up).await;
        for _ in 0..3 {
            let seen = infrequent.events().len();
            wait_until(|| infrequent.events().len() > seen).await;
        }
        drop(stopped);
        let shutdown = router.begin_shutdown();
        infrequent.wait_until(0, |h| !h.ready || !h.up).await;
        assert!(
            router.health_monitor.drain_phase() <= DrainPhase::ClosingConnections,
            "the router still serves when the infrequent check reports the drain"
        );
        assert!(!frequent.server_state(0).ready);
        shutdown.await.unwrap();
        assert!(!router.health_monitor.notification_timed_out());
    });
}

/// Restarts three routers under load one after the other, in a random order and at random times of the seed. Every request
/// gets its complete answer.
fn rolling_restarts(seed: u64) {
    run_test(async {
        let mut random = fastrand::Rng::with_seed(seed);
        let replica = MockReplica::new(Chat).await;
        let interval = Duration::from_millis(random.u64(4..25));
        // Each seed has an IP address of its own, so that nothing else takes a router's port during its restart.
        let addresses = [SocketAddr::from(([127, 1, (seed >> 8) as u8, seed as u8], 0)); 4];
        let watches = random.bool();
        let (mut routers, balancer) = routers_behind_balancer(&[&replica], &addresses, |r| match watches {
            true => Check::Watch(r.grpc()),
            false => Check::Agent(r.agent(), interval, "platform\n"),
        })
        .await;
        let stop = Rc::new(std::cell::Cell::new(false));
        let clients = start_load(&balancer, random.usize(2..8), &stop);
        let mut order = [0, 1, 2];
        random.shuffle(&mut order);
        for number in order {
            let target = balancer.requests_sent(number) + random.u64(1..30);
            wait_until(|| balancer.requests_sent(number) > target).await;
            let addresses = routers[number].addresses();
            if random.u8(..4) == 0 {
                // An operator orders a drain and cancels it before its end.
                execute(
                    Command::Drain { end: true },
                    &routers[number].components.check_context(),
                    &routers[number].health_monitor,
                );
                tokio::time::sleep(Duration::from_millis(random.u64(0..10))).await;
                execute(
                    Command::Ready,
                    &routers[number].components.check_context(),
                    &routers[number].health_monitor,
                );
                balancer.wait_until(number, |h| h.up && h.ready).await;
            }
            routers[number].begin_shutdown().await.unwrap();
            routers.remove(number).stop().await;
            // A restarted router has the same addresses.
            routers.insert(number, start(&[&replica], &addresses, &[]).await);
            balancer.wait_until(number, |h| h.up && h.ready).await;
        }
        stop.set(true);
        for client in clients {
            let (served, other) = client.await.unwrap();
            assert!(served > 0 && other.is_empty(), "seed {seed}: {served} served, others {other:?}");
        }
    });
}

#[test]
fn rolling_restarts_under_load_lose_no_request() {
    (0..6).for_each(rolling_restarts);
}

/// Run by hand: `cargo test --release -p tallypin-router --test checks -- --ignored`.
#[test]
#[ignore = "takes too long for CI"]
fn rolling_restarts_under_load_lose_no_request_with_50_seeds() {
    (100..150).for_each(rolling_restarts);
}
