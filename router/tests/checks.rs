//! Real sockets: a stand-in balancer, checks and orders before routers with stand-in model nodes.
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
use tallypin_router::checks::control::{execute, Command, Control};
use tallypin_router::checks::{self, Board, CheckListeners};
use tallypin_router::components::Components;
use tallypin_router::dialect::Dialect::Chat;
use tallypin_router::endpoint_list::{self, EndpointListMessage, EndpointRecord};
use tallypin_router::front::{self, Front};
use tallypin_router::installation::{ControlSettings, Installation};
use tallypin_router::peers::Peers;
use tallypin_router::reload::SettingsReloader;
use tallypin_router::{config, probe, shutdown};
use tallypin_test_support::balancer::{Balancer, Check, Event, Held};
use tallypin_test_support::checkers::{agent_line, watch_once};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{spawn_local, AbortHandle, JoinHandle};

const MS: Duration = Duration::from_millis(1);

/// A router with checks, and where it is asked what.
struct Checked {
    components: Rc<Components>,
    board: Rc<Board>,
    front: SocketAddr,
    messages: SocketAddr,
    /// Always there but while it stops.
    listening: Option<CheckListeners>,
    installation: Installation,
    fronts: Vec<AbortHandle>,
}

impl Drop for Checked {
    fn drop(&mut self) {
        self.fronts.iter().for_each(AbortHandle::abort);
    }
}

/// The settings that ship, quick, at these addresses (front, agent, HTTP, gRPC).
fn quick(at: &[SocketAddr; 4], more: &[(&str, &str)]) -> String {
    let mut text = settings("");
    let listeners = ["127.0.0.1:8701", "127.0.0.1:8702", "127.0.0.1:8703"];
    let places = listeners.iter().zip(&at[1..]).map(|(from, to)| (from.to_string(), to.to_string()));
    for (from, to) in places {
        text = text.replace(&from, &to);
    }
    let figures = "slow-start 0ms\n every 2ms\n dwell 0ms\n smooth 1ms\n step 100%\n late 10m";
    text = text.replace("slow-start 10s", figures);
    text =
        text.replace("most 15s", "most 3s\n least 5ms\n settle 5ms\n parting 20ms\n unknown-interval 300ms");
    more.iter().fold(text, |text, (from, to)| text.replacen(from, to, 1))
}

const ANYWHERE: [SocketAddr; 4] = {
    let any = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
    [any; 4]
};

async fn start_by(
    mut config: config::Config,
    rows: Vec<EndpointRecord>,
    at: &[SocketAddr; 4],
    more: &[(&str, &str)],
    peers: Option<Peers>,
) -> Checked {
    let installation = installation(&config, &quick(at, more));
    installation.reserve(&mut config.limits).unwrap();
    let components = Components::new(config, Chat, peers).unwrap();
    components.start();
    components.outward.guard(installation.gate.clone());
    endpoint_list::apply(
        &components.endpoint_list,
        &EndpointListMessage { version: 1, full: true, endpoints: rows },
        ListUpdate::Cached,
    );
    let board = Board::new(&installation, components.outward.clone());
    let listening = checks::start(&components.check_context(), &board).await.unwrap();
    let (listener, second) =
        (TcpListener::bind(at[0]).await.unwrap(), TcpListener::bind(ANYWHERE[0]).await.unwrap());
    let (front, messages) = (listener.local_addr().unwrap(), second.local_addr().unwrap());
    let api = Box::new(installation.messages.clone().unwrap());
    let fronts = vec![
        spawn_local(front::serve(components.front_context(), listener, Front::Platform)).abort_handle(),
        spawn_local(front::serve(components.front_context(), second, Front::Messages(api))).abort_handle(),
    ];
    Checked { components, board, front, messages, listening: Some(listening), installation, fronts }
}

async fn start(nodes: &[&Node], at: &[SocketAddr; 4], more: &[(&str, &str)]) -> Checked {
    let rows = nodes.iter().enumerate().map(|(i, n)| row(&format!("s-{i}"), n.addr, "active")).collect();
    let router = start_by(config(), rows, at, more, None).await;
    router.until(|s| s == HealthState::Up).await;
    router
}

impl Checked {
    async fn until(&self, so: impl Fn(HealthState) -> bool) {
        let _ = self.board.subscribe().wait_for(|now| so(now.state)).await;
    }

    async fn phase(&self, phase: DrainPhase) {
        let _ = self.board.phases().wait_for(|p| *p == phase).await;
    }

    fn agent(&self) -> SocketAddr {
        self.listening.as_ref().unwrap().agent.unwrap()
    }

    fn http(&self) -> SocketAddr {
        self.listening.as_ref().unwrap().http.unwrap()
    }

    fn grpc(&self) -> SocketAddr {
        self.listening.as_ref().unwrap().grpc.unwrap()
    }

    async fn says(&self) -> String {
        agent_line(self.agent(), "").await.expect("a line")
    }

    fn places(&self) -> [SocketAddr; 4] {
        [self.front, self.agent(), self.http(), self.grpc()]
    }

    /// Stops, its fronts having closed; all its addresses are free then.
    async fn stop(mut self) {
        self.listening.take().unwrap().stop().await;
        until(|| self.fronts.iter().all(|f| f.is_finished())).await;
    }

    /// Goes to its end by itself, as on SIGTERM.
    fn end(&self) -> JoinHandle<()> {
        assert!(self.board.want(DrainGoal::Exit, OperatorOrder::Drain));
        let (components, board) = (self.components.clone(), self.board.clone());
        spawn_local(async move { shutdown::wait_and_finish_drain(&components, &board).await })
    }
}

async fn status(client: &mut Client, target: &str) -> (u16, String, String) {
    client.send(&format!("GET {target} HTTP/1.1\r\nHost: r\r\n\r\n")).await;
    let (status, head, body, _) = client.answer().await;
    (status, head, body)
}

#[test]
fn a_drain_is_told_by_every_protocol_before_anything_closes_and_can_be_taken_back() {
    run(async {
        let node = Node::new(Chat).await;
        let router = start(&[&node], &ANYWHERE, &[("most 3s", "most 10m")]).await;
        // Opened before the drain, and kept.
        let mut checker = Client::to(router.http()).await;
        assert_eq!(status(&mut checker, "/healthz").await.0, 200);
        let mut client = Client::to(router.front).await;
        assert_eq!(client.ask("").await.0, 200);
        let told: Rc<RefCell<Vec<u8>>> = Rc::default();
        let (at, tell) = (router.grpc(), told.clone());
        let watch = spawn_local(async move {
            let tell = |status| {
                tell.borrow_mut().push(status);
                std::future::ready(())
            };
            watch_once(at, "messages", 64 << 10, tell).await
        });
        until(|| !told.borrow().is_empty()).await;
        assert_eq!(router.says().await, "up ready 100%");
        execute(Command::Drain { end: false }, &router.components.check_context(), &router.board);
        // Whoever asks now is told now, on connections of before and after.
        assert_eq!(router.says().await, "up drain");
        assert_eq!(probe::grpc(at, "").await.unwrap().words, "NOT_SERVING");
        assert_eq!(router.board.phase(), DrainPhase::Notifying, "the check over HTTP has not been told");
        let (code, head, _, whole) = client.ask("").await;
        assert!(code == 200 && whole && field(&head, "connection").is_none(), "{head}");
        assert_eq!(status(&mut checker, "/healthz").await.0, 404);
        assert_eq!(status(&mut checker, "/livez").await.0, 200);
        until(|| *told.borrow() == [1, 2]).await;
        router.phase(DrainPhase::ClosingConnections).await;
        let (code, head, _, whole) = client.ask("").await;
        assert!(code == 200 && whole && field(&head, "connection") == Some("close"), "{head}");
        // Taken back half way.
        assert_eq!(execute(Command::Ready, &router.components.check_context(), &router.board)["done"], true);
        assert_eq!(router.says().await, "up ready 100%");
        assert_eq!(status(&mut checker, "/healthz").await.0, 200);
        until(|| *told.borrow() == [1, 2, 1]).await;
        let mut client = Client::to(router.front).await;
        let (code, head, ..) = client.ask("").await;
        assert!(code == 200 && field(&head, "connection").is_none());
        // And begun again, to the end this time: idle connections close, new ones are served until then.
        assert_eq!(
            execute(Command::Drain { end: false }, &router.components.check_context(), &router.board)["done"],
            true
        );
        router.says().await;
        probe::grpc(at, "").await.unwrap();
        status(&mut checker, "/healthz").await;
        router.phase(DrainPhase::Drained).await;
        assert_eq!(client.stream.read(&mut [0; 8]).await.unwrap(), 0, "an idle connection closes");
        assert_eq!(Client::to(router.front).await.ask("").await.0, 200);
        let over = router.end();
        assert_eq!(
            execute(Command::Ready, &router.components.check_context(), &router.board)["done"],
            false,
            "the signal stays"
        );
        over.await.unwrap();
        until(|| !router.fronts.iter().any(|f| !f.is_finished())).await;
        assert!(TcpStream::connect(router.front).await.is_err());
        watch.abort();
    });
}

/// What is common to all routers is told as degraded, never as down.
/// Guards against a router that ends under clients that still wait: their connections would close without a word.
#[test]
fn what_still_waits_when_a_drain_is_out_of_time_is_answered_before_the_end() {
    run(async {
        for (effect, status) in [(Effect::Idempotent, 503), (Effect::NotIdempotent, 500)] {
            let node = Node::new(Chat).await;
            node.plan(&[Fault::Mute]);
            let mut config = config();
            config.limits.drain_time = 30 * MS;
            config.deployment.decisions.classes.iter_mut().for_each(|c| c.effect = effect);
            let router = start_by(config, vec![row("s-0", node.addr, "active")], &ANYWHERE, &[], None).await;
            router.until(|s| s == HealthState::Up).await;
            let mut client = Client::to(router.front).await;
            client.send(&platform("", "{}")).await;
            node.next_request().await;
            router.end().await.unwrap();
            assert_eq!(client.answer().await.0, status, "{effect:?}");
        }
    });
}

#[test]
fn a_fleet_that_is_cold_or_gone_makes_the_router_degraded() {
    run(async {
        let node = Node::new(Chat).await;
        let router = start(&[&node], &ANYWHERE, &[]).await;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let cold = EndpointRecord { started_ms: now, ..row("s-9", node.addr, "active") };
        let list = |servers| {
            endpoint_list::apply(
                &router.components.endpoint_list,
                &EndpointListMessage { version: 1, full: true, endpoints: servers },
                ListUpdate::Full,
            )
        };
        list(vec![cold]);
        router.until(|s| s == HealthState::Degraded).await;
        let mut client = Client::to(router.http()).await;
        let (code, _, body) = status(&mut client, "/healthz").await;
        assert!(code == 200 && body.contains("every model node is cold"), "{body}");
        list(vec![]);
        until(|| router.board.assessment().cause.description() == "no model node takes work").await;
        assert!(router.says().await.starts_with("up ready "));
        let (code, _, body) = status(&mut client, "/readyz?verbose").await;
        assert!(code == 200 && body.contains("[-]nodes not well: 0 ready"), "{body}");
        list(vec![row("s-0", node.addr, "active")]);
        router.until(|s| s == HealthState::Up).await;
    });
}

/// All nodes fail this router; whether that is its own trouble, another router's word decides.
#[test]
fn nodes_that_fail_this_router_alone_make_it_down() {
    run(async {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let mine = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let mut config = config();
        let each = vec![mine, other.local_addr().unwrap()];
        let addresses = config::PeerAddresses { listen: mine, each, all: None };
        config.peers = Some(addresses.clone());
        let digest = config.deployment.decisions.digest;
        let peers = Peers::new(addresses, PeerId(0), digest).await.unwrap();
        let gone = ReservedPort::new();
        // Several: one that refused is not asked again for a while.
        let rows = (0..6).map(|i| row(&format!("s-{i}"), gone.addr(), "active")).collect();
        let figures = "failures 3\n witness-after 200ms\n witness-fresh 1s\n retry 10m\n slow-start 10s";
        let more = [("slow-start 0ms", &*figures.replace("10s", "0ms"))];
        let router = start_by(config, rows, &ANYWHERE, &more, Some(peers)).await;
        let mut client = Client::to(router.front).await;
        for _ in 0..4 {
            client.ask("").await;
        }
        until(|| router.board.assessment().cause.description() == "no model node answers").await;
        assert!(router.says().await.starts_with("up ready "), "nobody else is known to serve");
        let report = tallypin::served_report::encode(digest, 500, &[served(7, 0)]);
        let mut every = tokio::time::interval(20 * MS);
        while router.board.assessment().state != HealthState::Down {
            every.tick().await;
            other.send_to(&report[0], mine).await.unwrap();
        }
        assert_eq!(router.says().await, "down ready #no model node answers here while another router serves");
        assert_eq!(probe::http(router.http(), "/healthz").await.unwrap().state, HealthState::Down);
        // The witness falls silent: it may be the last router.
        router.until(|s| s == HealthState::Degraded).await;
    });
}

#[test]
fn a_check_is_answered_while_clients_hold_everything_and_500_checkers_say_nothing() {
    run(async {
        let node = Node::new(Chat).await;
        node.plan(&[Fault::Mute; 40]);
        let mut config = config();
        config.limits.max_clients = 44;
        let rows = vec![row("s-0", node.addr, "active")];
        let router = start_by(config, rows, &ANYWHERE, &[("budget 500ms", "budget 5s")], None).await;
        let mut clients = Vec::new();
        for _ in 0..6 {
            let mut client = Client::to(router.front).await;
            client.send(&platform("", "{}")).await;
            clients.push(client);
        }
        let mut silent = Vec::new();
        for at in [router.agent(), router.http(), router.grpc()] {
            for i in 0..500 {
                let mut stream = TcpStream::connect(at).await.unwrap();
                // Some begin, and go no further.
                stream.write_all(if i % 3 == 0 { b"GET /h" } else { b"" }).await.unwrap();
                silent.push(stream);
            }
            assert!(router.says().await.starts_with("up ready "));
            assert_eq!(probe::http(router.http(), "/healthz").await.unwrap().state, HealthState::Up);
            assert_eq!(probe::grpc(router.grpc(), "").await.unwrap().state, HealthState::Up);
        }
        let mut kept = 0;
        for s in &silent {
            kept +=
                usize::from(s.try_read(&mut [0; 64]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock));
        }
        assert!(kept <= 40, "{kept} silent connections still have a place");
    });
}

#[test]
fn what_is_no_check_gets_an_error_or_a_close() {
    run(async {
        let node = Node::new(Chat).await;
        let more = [("checks {", "checks {\n budget 150ms\n idle 150ms")];
        let router = start(&[&node], &ANYWHERE, &more).await;
        let endless = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(17 << 10));
        for (sent, want) in [
            ("nonsense\r\n\r\n", 400),
            ("GET /healthz HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            ("GET /healthz HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", 413),
            ("GET /healthz HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
            ("DELETE /healthz HTTP/1.1\r\n\r\n", 405),
            ("GET /other HTTP/1.1\r\n\r\n", 404),
            ("GET /healthz HTTP/1.1\r\nHo", 408),
            (&*endless, 431),
        ] {
            let mut client = Client::to(router.http()).await;
            client.stream.write_all(sent.as_bytes()).await.unwrap();
            assert_eq!(client.answer().await.0, want, "{}", sent.chars().take(40).collect::<String>());
        }
        // Said nothing, cut off in the middle, or another protocol: a close.
        for (at, sent) in
            [(router.http(), ""), (router.grpc(), "GET / HTTP/1.1\r\n\r\n"), (router.grpc(), "PRI * HT")]
        {
            let mut stream = TcpStream::connect(at).await.unwrap();
            stream.write_all(sent.as_bytes()).await.unwrap();
            let mut all = Vec::new();
            let _ = stream.read_to_end(&mut all).await;
            assert!(!String::from_utf8_lossy(&all).contains("200"), "{all:?}");
        }
        for (line, want) in [
            ("", "up ready 100%"),
            ("platform\n", "up ready 100%"),
            ("messages\r\n", "up ready 100%"),
            ("letters\n", "failed #no service letters"),
            ("GET / HTTP/1.1\r\n\r\n", "failed #no service of that name"),
        ] {
            assert_eq!(agent_line(router.agent(), line).await.as_deref(), Some(want), "{line:?}");
        }
        assert!(probe::grpc(router.grpc(), "letters")
            .await
            .unwrap_err()
            .to_string()
            .contains("grpc-status 5"));
        // A HEAD request gets the length and no body, and the connection goes on.
        let mut client = Client::to(router.http()).await;
        client.send("HEAD /healthz HTTP/1.1\r\n\r\n").await;
        let mut head = [0; 512];
        let n = client.stream.read(&mut head).await.unwrap();
        assert!(head[..n].ends_with(b"\r\n\r\n"), "{}", String::from_utf8_lossy(&head[..n]));
        assert_eq!(status(&mut client, "/livez").await.0, 200);
        assert_eq!(Client::to(router.front).await.ask("").await.0, 200, "clients are none the worse");
    });
}

#[test]
fn a_slow_watcher_gets_the_newest_state_and_too_many_get_an_error() {
    run(async {
        let node = Node::new(Chat).await;
        let more = [("listen 127.0.0.1:0\n    }\n}", "listen 127.0.0.1:0\n watches 1\n    }\n}")];
        let router = start(&[&node], &ANYWHERE, &more).await;
        let (told, go): (Rc<RefCell<Vec<u8>>>, Rc<tokio::sync::Notify>) = Default::default();
        let (at, tell, wait) = (router.grpc(), told.clone(), go.clone());
        // Room for one message: the next can't come before this one has been taken.
        let watch = spawn_local(async move {
            let tell = |status| {
                tell.borrow_mut().push(status);
                let wait = wait.clone();
                async move { wait.notified().await }
            };
            watch_once(at, "", 7, tell).await
        });
        until(|| told.borrow().len() == 1).await;
        assert!(watch_once(at, "", 64 << 10, |_| std::future::ready(())).await.is_some(), "ended at once");
        for order in [OperatorOrder::Drain, OperatorOrder::Ready, OperatorOrder::Maintenance] {
            let wish = if order == OperatorOrder::Ready { DrainGoal::Serve } else { DrainGoal::Drain };
            router.board.want(wish, order);
            tokio::time::sleep(5 * MS).await;
        }
        go.notify_one();
        until(|| told.borrow().len() == 2).await;
        go.notify_one();
        tokio::time::sleep(20 * MS).await;
        assert_eq!(*told.borrow(), [1, 2], "one word for three changes: how it is now");
        watch.abort();
    });
}

#[test]
fn a_reload_moves_the_check_listener_and_names_what_takes_a_restart() {
    run(async {
        let node = Node::new(Chat).await;
        let (old, spare) = (ReservedPort::new(), ReservedPort::new());
        let mut at = ANYWHERE;
        at[2] = old.addr();
        let router = start(&[&node], &at, &[]).await;
        let mut kept = Client::to(router.http()).await;
        assert_eq!(status(&mut kept, "/healthz").await.0, 200);
        let mut adopting = SettingsReloader::new(&router.installation, Some(router.board.clone()), None);
        at[2] = spare.addr();
        let more = [("drain 404", "drain 418"), ("checks {", "checks {\n connections 5\n envoy on")];
        let new = installation(&config(), &quick(&at, &more));
        adopting.apply(&router.components.outward, &new);
        let mut moved = loop {
            match TcpStream::connect(spare.addr()).await {
                Ok(stream) => break Client { stream, buf: Vec::new() },
                Err(_) => tokio::task::yield_now().await,
            }
        };
        assert!(TcpStream::connect(old.addr()).await.is_err(), "the old place is left");
        router.board.want(DrainGoal::Drain, OperatorOrder::Drain);
        assert_eq!(status(&mut kept, "/healthz").await.0, 418, "a connection of before goes on");
        assert_eq!(status(&mut moved, "/healthz").await.0, 418);
        let (_, head, ..) = Client::to(router.front).await.ask("").await;
        assert_eq!(field(&head, "x-envoy-immediate-health-check-fail"), Some("true"));
        // A place that is taken is not moved to.
        let taken = TcpListener::bind("127.0.0.1:0").await.unwrap();
        at[2] = taken.local_addr().unwrap();
        adopting.apply(&router.components.outward, &installation(&config(), &quick(&at, &[])));
        assert_eq!(status(&mut kept, "/healthz").await.0, 404);
        assert_eq!(status(&mut Client::to(spare.addr()).await, "/healthz").await.0, 404);
    });
}

#[test]
fn ordinary_answers_carry_what_settings_ask_for_and_nothing_else() {
    run(async {
        let node = Node::new(Chat).await;
        let plain = start(&[&node], &ANYWHERE, &[]).await;
        let (_, head, ..) = Client::to(plain.front).await.ask("").await;
        let platform =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(head, platform);
        let more = [
            ("checks {", "checks {\n envoy on\n report text"),
            ("listen 127.0.0.1:0\n    }\n}", "listen 127.0.0.1:0\n reports on\n }\n}"),
        ];
        let router = start(&[&node], &ANYWHERE, &more).await;
        until(|| router.components.outward.fields().contains("weight=1")).await;
        for (head, body) in [
            {
                let (_, h, b, _) = Client::to(router.front).await.ask("").await;
                (h, b)
            },
            {
                let (_, h, b, _) = Client::to(router.front).await.ask("Req-Kind: x\r\n").await;
                (h, b)
            },
        ] {
            assert!(
                field(&head, "endpoint-load-metrics").is_some_and(|v| v.starts_with("TEXT ")),
                "{head}{body}"
            );
            assert_eq!(field(&head, "x-envoy-degraded"), None);
        }
        execute(Command::Maint, &router.components.check_context(), &router.board);
        let (_, head, ..) = Client::to(router.front).await.ask("").await;
        assert_eq!(field(&head, "x-envoy-immediate-health-check-fail"), Some("true"));
        let report = router.board.load_report();
        assert!(report.named_metrics.contains_key("open") && report.utilization.contains_key("clients"));
    });
}

/// Asks for the stream of load reports; gives its head and what drives the connection.
async fn ask_reports(
    at: SocketAddr,
    asked: &load_report::OrcaLoadReportRequest,
) -> (http::Response<h2::RecvStream>, AbortHandle) {
    let stream = TcpStream::connect(at).await.unwrap();
    let (mut send, connection) = h2::client::handshake(stream).await.unwrap();
    let driven = spawn_local(connection).abort_handle();
    let request = http::Request::post(format!("http://r{}", load_report::STREAM_PATH));
    let request = request.header("content-type", "application/grpc").body(()).unwrap();
    let (answer, mut body) = send.send_request(request, false).unwrap();
    body.send_data(grpc_health::encode_frame(asked), true).unwrap();
    (answer.await.unwrap(), driven)
}

/// Load reports come out of band, as often as is asked for within the bounds.
#[test]
fn load_reports_are_streamed_where_settings_say_so() {
    run(async {
        let node = Node::new(Chat).await;
        let on = "listen 127.0.0.1:0\n reports on\n report-least 10ms\n    }\n}";
        let router = start(&[&node], &ANYWHERE, &[("listen 127.0.0.1:0\n    }\n}", on)]).await;
        let every = load_report::ProtoDuration { seconds: 0, nanos: 20_000_000 };
        let asked =
            load_report::OrcaLoadReportRequest { report_interval: Some(every), request_cost_names: vec![] };
        let (answer, driven) = ask_reports(router.grpc(), &asked).await;
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
        driven.abort();
        // Off, there is no such method.
        let plain = start(&[&node], &ANYWHERE, &[]).await;
        let (answer, driven) = ask_reports(plain.grpc(), &asked).await;
        assert_eq!(answer.headers()["grpc-status"], "12");
        driven.abort();
    });
}

#[test]
fn a_preface_is_taken_from_balancers_alone() {
    run(async {
        let node = Node::new(Chat).await;
        let gate = "proxy-protocol {\n from 127.0.0.1\n platform on\n messages on\n checks on\n within 100ms\n}\nhealth {";
        let router =
            start_by(config(), vec![row("s-0", node.addr, "active")], &ANYWHERE, &[("health {", gate)], None)
                .await;
        let line = b"PROXY TCP4 192.0.2.7 127.0.0.1 8080 80\r\n".to_vec();
        let v2 =
            [&b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x0c"[..], &[192, 0, 2, 8, 127, 0, 0, 1, 1, 1, 0, 80]].concat();
        let local = b"\r\n\r\n\0\r\nQUIT\n\x20\0\0\0".to_vec();
        for preface in [&line, &v2, &local] {
            let mut client = Client::to(router.front).await;
            // In two parts, the second with the request.
            client.stream.write_all(&preface[..7]).await.unwrap();
            tokio::task::yield_now().await;
            client.stream.write_all(&preface[7..]).await.unwrap();
            assert_eq!(client.ask("").await.0, 200);
            assert_eq!(client.ask("").await.0, 200, "one preface a connection");
            let mut check = Client::to(router.http()).await;
            check.stream.write_all(preface).await.unwrap();
            assert_eq!(status(&mut check, "/healthz").await.0, 200);
            let mut api = Client::to(router.messages).await;
            api.stream.write_all(preface).await.unwrap();
            assert_eq!(status(&mut api, "/healthz").await.0, 200);
        }
        let askers: Vec<String> = router.board.askers().iter().map(|a| a.id.ip.to_string()).collect();
        assert!(askers.contains(&"192.0.2.7".into()) && askers.contains(&"127.0.0.1".into()), "{askers:?}");
        // A balancer that sends none, a broken one, or half of one: a close.
        for bytes in [b"GET /up HTTP/1.1\r\n\r\n".to_vec(), b"PROXY TCP4 x\r\n".to_vec(), line[..9].to_vec()]
        {
            for at in [router.front, router.messages, router.http()] {
                let mut stream = TcpStream::connect(at).await.unwrap();
                stream.write_all(&bytes).await.unwrap();
                let mut all = Vec::new();
                let _ = stream.read_to_end(&mut all).await;
                assert_eq!(all, b"", "{bytes:?}");
            }
        }
        assert_eq!(router.components.outward.invalid_headers(), 9);
        // Whoever may not send one can be nobody else by it.
        let gate = gate.replace("from 127.0.0.1", "from 10.0.0.0/8");
        let new = installation(&config(), &quick(&ANYWHERE, &[("health {", &gate)]));
        router.components.outward.guard(new.gate);
        let mut client = Client::to(router.front).await;
        client.stream.write_all(&line).await.unwrap();
        assert_eq!(client.ask("").await.0, 400);
        assert_eq!(Client::to(router.front).await.ask("").await.0, 200);
    });
}

#[test]
fn orders_come_over_a_socket_that_its_permissions_guard() {
    use std::os::unix::fs::PermissionsExt;
    run(async {
        let node = Node::new(Chat).await;
        let router = start(&[&node], &ANYWHERE, &[]).await;
        let socket = std::env::temp_dir().join(format!("tallypin-ctl-{}", std::process::id()));
        // Left behind by a router that was killed.
        drop(std::os::unix::net::UnixListener::bind(&socket).unwrap());
        let settings = ControlSettings { socket: socket.clone(), mode: 0o600 };
        let control = Control::bind(&settings).await.unwrap();
        assert_eq!(std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777, 0o600);
        let serving =
            spawn_local(control.serve(router.components.check_context(), router.board.clone(), None));
        let again = Control::bind(&settings).await.err().expect("it is taken").to_string();
        assert!(again.contains("another router answers there"), "{again}");
        let ask = async |order: &str| -> serde_json::Value {
            serde_json::from_str(&probe::order(&socket, order).await.unwrap()).unwrap()
        };
        let shown = ask("show").await;
        assert_eq!(
            (&shown["state"], &shown["weight"], &shown["phase"]),
            (&"up".into(), &100.into(), &"serving".into())
        );
        assert_eq!(ask("weight 30%").await["done"], true);
        until(|| router.board.assessment().weight == 30).await;
        assert_eq!(router.says().await, "up ready 30%");
        assert_eq!(ask("maint").await["state"], "maint");
        assert_eq!(router.says().await, "stopped maint #in maintenance");
        assert_eq!(ask("ready").await["state"], "up");
        for (order, why) in
            [("dance", "no such order"), ("weight 0%", "1% to 100%"), ("", "the order is empty")]
        {
            let answer = ask(order).await;
            assert!(answer["done"] == false && answer["why"].as_str().unwrap().contains(why), "{answer}");
        }
        let long = ask(&"x".repeat(300)).await;
        assert_eq!(long["why"], "the order is not one complete line of text");
        serving.abort();
        until(|| !socket.exists()).await;
    });
}

/// Three routers behind a balancer that checks them all in one way.
async fn tier(
    nodes: &[&Node],
    at: &[SocketAddr; 4],
    check: impl Fn(&Checked) -> Check,
) -> (Vec<Checked>, Rc<Balancer>) {
    let mut routers = Vec::new();
    for _ in 0..3 {
        routers.push(start(nodes, at, &[]).await);
    }
    let servers: Vec<_> = routers.iter().map(|r| (r.front, check(r))).collect();
    let balancer = Rc::new(Balancer::new(servers));
    for number in 0..3 {
        balancer.until(number, |h| h.up && h.ready).await;
    }
    (routers, balancer)
}

/// So many clients ask without a break until told to stop; gives the counts of statuses other than 200.
fn load(
    balancer: &Rc<Balancer>,
    clients: usize,
    stop: &Rc<std::cell::Cell<bool>>,
) -> Vec<JoinHandle<(u64, Vec<u16>)>> {
    let one = |_| {
        let (balancer, stop) = (balancer.clone(), stop.clone());
        spawn_local(async move {
            let (mut served, mut other) = (0, Vec::new());
            while !stop.get() {
                let outcome = balancer.ask(&platform("", "{}")).await;
                match (outcome.status, outcome.body == CHAT.concat().as_bytes()) {
                    (200, true) => served += 1,
                    (status, _) => other.push(status),
                }
                tokio::task::yield_now().await;
            }
            (served, other)
        })
    };
    (0..clients).map(one).collect()
}

/// How a router is checked, and how often.
type How = fn(&Checked, Duration) -> Check;

/// Traffic shifts at the first check that ends after the drain has begun, in each protocol, and nothing is lost.
#[test]
fn traffic_shifts_within_one_check_interval() {
    let every = 15 * MS;
    let checks: [(&str, How); 3] = [
        ("agent", |r, every| Check::Agent(r.agent(), every, "")),
        ("http", |r, every| Check::Http(r.http(), every, "/healthz", 1, 2)),
        ("watch", |r, _| Check::Watch(r.grpc())),
    ];
    for (name, check) in checks {
        run(async {
            let node = Node::new(Chat).await;
            let (routers, balancer) = tier(&[&node], &ANYWHERE, |r| check(r, every)).await;
            let stop = Rc::new(std::cell::Cell::new(false));
            let clients = load(&balancer, 6, &stop);
            until(|| (0..3).all(|n| balancer.sent(n) > 20)).await;
            balancer.mark(1);
            let over = routers[1].end();
            over.await.unwrap();
            balancer.mark(2);
            let so_far = balancer.sent(0);
            until(|| balancer.sent(0) > so_far + 20).await;
            stop.set(true);
            for client in clients {
                let (served, other) = client.await.unwrap();
                assert!(served > 0 && other.is_empty(), "{name}: {served} {other:?}");
            }
            let events = balancer.events();
            let mark = events.iter().position(|e| *e == Event::Mark(1)).unwrap();
            let checked = |e: &&Event| matches!(e, Event::Checked(1, _));
            let told = |e: &Event| matches!(e, Event::Checked(1, Held { ready, up, .. }) if !ready || !up);
            let first = events[mark..].iter().position(told).expect(name) + mark;
            // One may have been under way when the drain began.
            let before = events[mark..first].iter().filter(checked).count();
            assert!(before <= 1, "{name}: {before} checks before the drain was told");
            let after = events[first..].iter().filter(|e| **e == Event::Sent(1)).count();
            assert_eq!(after, 0, "{name}: requests after the balancer had been told");
            assert_eq!(balancer.again(), (0, 0), "{name}");
        });
    }
}

/// Two balancers, one asking often and one seldom, and a third that stops: the drain waits for the two.
#[test]
fn a_drain_waits_for_the_balancer_that_asks_seldom_and_not_for_one_that_is_down() {
    run(async {
        let node = Node::new(Chat).await;
        let more = [("most 3s", "most 10m"), ("unknown-interval 300ms", "unknown-interval 100ms")];
        let router = start(&[&node], &ANYWHERE, &more).await;
        let often = Balancer::new([(router.front, Check::Agent(router.agent(), 5 * MS, ""))]);
        let seldom = Balancer::new([(router.front, Check::Http(router.http(), 400 * MS, "/healthz", 1, 1))]);
        // The third is a watch: while it stands it is waited for, and it goes as its balancer goes down.
        let down = Balancer::new([(router.front, Check::Watch(router.grpc()))]);
        often.until(0, |h| h.up).await;
        down.until(0, |h| h.up).await;
        for _ in 0..3 {
            let seen = seldom.events().len();
            until(|| seldom.events().len() > seen).await;
        }
        drop(down);
        let over = router.end();
        seldom.until(0, |h| !h.ready || !h.up).await;
        assert!(
            router.board.phase() <= DrainPhase::ClosingConnections,
            "it was still there when the second was told"
        );
        assert!(!often.held(0).ready);
        over.await.unwrap();
        assert!(!router.board.untold());
    });
}

/// Rolling restarts of three routers under load, one after the other in an order drawn from a seed, at moments drawn
/// from it: every request gets its whole answer.
fn rolling_restarts(seed: u64) {
    run(async {
        let mut random = fastrand::Rng::with_seed(seed);
        let node = Node::new(Chat).await;
        let every = Duration::from_millis(random.u64(4..25));
        // An address of its own: nothing else on the machine takes a port of it while its router is away.
        let at = [SocketAddr::from(([127, 1, (seed >> 8) as u8, seed as u8], 0)); 4];
        let watches = random.bool();
        let (mut routers, balancer) = tier(&[&node], &at, |r| match watches {
            true => Check::Watch(r.grpc()),
            false => Check::Agent(r.agent(), every, "platform\n"),
        })
        .await;
        let stop = Rc::new(std::cell::Cell::new(false));
        let clients = load(&balancer, random.usize(2..8), &stop);
        let mut order = [0, 1, 2];
        random.shuffle(&mut order);
        for number in order {
            let enough = balancer.sent(number) + random.u64(1..30);
            until(|| balancer.sent(number) > enough).await;
            let places = routers[number].places();
            if random.u8(..4) == 0 {
                // Ordered, and taken back half way.
                execute(
                    Command::Drain { end: true },
                    &routers[number].components.check_context(),
                    &routers[number].board,
                );
                tokio::time::sleep(Duration::from_millis(random.u64(0..10))).await;
                execute(Command::Ready, &routers[number].components.check_context(), &routers[number].board);
                balancer.until(number, |h| h.up && h.ready).await;
            }
            routers[number].end().await.unwrap();
            routers.remove(number).stop().await;
            // At the old places, as a restart is.
            routers.insert(number, start(&[&node], &places, &[]).await);
            balancer.until(number, |h| h.up && h.ready).await;
        }
        stop.set(true);
        for client in clients {
            let (served, other) = client.await.unwrap();
            assert!(served > 0 && other.is_empty(), "seed {seed}: {served} served, others {other:?}");
        }
    });
}

#[test]
fn rolling_restarts_under_load_lose_nothing() {
    (0..6).for_each(rolling_restarts);
}

/// The long form: `cargo test --release -p tallypin-router --test checks -- --ignored`.
#[test]
#[ignore = "long; not for CI"]
fn rolling_restarts_under_load_lose_nothing_over_50_seeds() {
    (100..150).for_each(rolling_restarts);
}
