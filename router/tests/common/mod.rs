//! A router that runs in the test process, mock replicas of both dialects, and a plain HTTP client.
#![allow(dead_code, missing_docs)]

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

use tallypin::api::ListUpdate;
use tallypin_router::components::Components;
use tallypin_router::config::Config;
use tallypin_router::core::RequestCounts;
use tallypin_router::dialect::Dialect;
use tallypin_router::endpoint_list::{self, EndpointListMessage, EndpointRecord};
use tallypin_router::front::{self, Front};
use tallypin_router::installation::Installation;
use tallypin_router::limits::Limits;
use tallypin_router::peers::Peers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

pub const CONFIG: &str = r#"{
 "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:0"],
 "settings": {
  "Discovery": "on_request", "Family": "llm", "Me": 0, "MyZone": 0, "ReplicasOfMe": 2,
  "FamilyInfo": {"AimUsPer1000PromptTokens": [60000.0, 30000.0], "Resume": true},
  "Kinds": ["gpu-neu", "gpu-alt"], "Zones": ["rz-garching"],
  "Limits": {"Cancel": true, "ConnectTimeoutNs": 150000000, "IdleCloseNs": 5000000000,
   "MaxRetryAfterNs": 2000000000, "MostHeld": 1000, "ParallelTries": true, "Peers": true, "Probes": true,
   "RetryAfter": true, "TryLimit": 4},
  "Profiles": [{"DeadlineNs": 4000000000, "Effect": "pure", "GoalTimeNs": 1200000000, "Name": "chat"},
   {"DeadlineNs": 6000000000, "Effect": "pure", "GoalTimeNs": 1500000000, "Name": "belege"}],
  "Report": {"Fields": ["fail_rate", "lat_ms", "q"], "Via": "answers"},
  "Rules": {"AnswerSlackNs": 16000000, "ColdNs": 23000000000, "ColdShare": 0.15, "MustAskInNs": 1000000000},
  "Tenants": [{"Name": "haendlerbund", "QuotaPerS": 1000.0}, {"Name": "grenzstellen", "QuotaPerS": 0.001}]
 }}"#;

pub fn config() -> Config {
    Config::parse(CONFIG).expect("the configuration of the tests is valid")
}

/// Returns the shipped settings, adapted to the deployment of the tests, with `more` appended.
pub fn settings(more: &str) -> String {
    include_str!("../../../deploy/tallypin.conf").replace("partner flughafen-schalter flughafen-schalter", "")
        + more
}

pub fn installation(config: &Config, text: &str) -> Installation {
    let read = |_: &std::path::Path| Ok(text.to_string());
    let read = Installation::read_with("t.conf".as_ref(), &config.deployment, &read);
    read.unwrap_or_else(|problems| panic!("{problems}"))
}

/// Number of requests that a router has served for a tenant.
pub fn served_count(requests: u32, tenant: u32) -> tallypin::served_report::ServedCount {
    tallypin::served_report::ServedCount { tenant: tallypin::api::TenantId(tenant), requests }
}

/// Runs a test on a single-threaded runtime. Panics if it takes longer than 20 s.
pub fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        tokio::time::timeout(Duration::from_secs(20), test)
            .await
            .expect("the test did not finish within 20 s")
    });
}

/// How a mock replica handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaFault {
    None,
    /// Sends an event of an unknown type in the middle of the stream.
    UnknownEvent,
    /// Closes the connection right after the first text.
    CloseAfterFirstText,
    /// Sends nothing after the first text and keeps the connection open.
    SilentAfterFirstText,
    /// Declines the request without processing it.
    Decline,
    /// Answers with status 500.
    Error,
    /// Closes the connection before the answer.
    CloseBeforeAnswer,
    /// Sends the first event after 40 ms.
    SlowFirstEvent,
    /// Never answers.
    NoAnswer,
    /// Sends text events without end.
    EndlessText,
}

/// What a mock replica observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaEvent {
    Connected,
    Request(String, Vec<u8>),
    /// The router closed the connection before the answer was complete.
    ClosedByRouter,
}

/// Faults of the next requests, in order. Several replicas may share one script.
pub type FaultScript = Rc<RefCell<VecDeque<ReplicaFault>>>;

/// A mock replica.
pub struct MockReplica {
    pub addr: SocketAddr,
    pub script: FaultScript,
    pub events: tokio::sync::Mutex<mpsc::UnboundedReceiver<ReplicaEvent>>,
    /// Number of bytes sent by [`ReplicaFault::EndlessText`].
    pub endless_text_bytes: Rc<Cell<usize>>,
    /// Whether a connection is closed as soon as an answer is complete.
    pub close_after_answer: Rc<Cell<bool>>,
}

pub const CHAT: &[&str] = &[
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Grüß \"},\"finish_reason\":null}]}\n\n",
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Gott\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2,\
     \"prompt_tokens_details\":{\"cached_tokens\":16}}}\n\n",
    ": Srv-Load: TEXT eps=0, latency_ms=12.5, queue=2\n\n",
    "data: [DONE]\n\n",
];
pub const MESSAGES: &[&str] = &[
    "event: message_start\ndata: {\"type\":\"message_start\",\"message\":{\"id\":\"m\",\"usage\":\
     {\"input_tokens\":24,\"cache_read_input_tokens\":16,\"output_tokens\":1}}}\n\n\
     event: content_block_start\ndata: {\"type\":\"content_block_start\",\"index\":0}\n\n\
     event: ping\ndata: {\"type\":\"ping\"}\n\n\
     event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,\"delta\":\
     {\"type\":\"text_delta\",\"text\":\"Grüß \"}}\n\n",
    "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,\"delta\":\
     {\"type\":\"text_delta\",\"text\":\"Gott\"}}\n\n",
    "event: content_block_stop\ndata: {\"type\":\"content_block_stop\",\"index\":0}\n\n",
    "event: message_delta\ndata: {\"type\":\"message_delta\",\"delta\":{\"stop_reason\":\"end_turn\"},\
     \"usage\":{\"output_tokens\":2}}\n\n",
    "event: message_stop\ndata: {\"type\":\"message_stop\"}\n\n",
];
const UNKNOWN_EVENT: &str = "event: novelty\ndata: {\"type\":\"novelty\",\"n\":1}\n\n";
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn events(dialect: Dialect) -> &'static [&'static str] {
    match dialect {
        Dialect::Chat => CHAT,
        Dialect::Messages => MESSAGES,
    }
}

impl MockReplica {
    pub async fn new(dialect: Dialect) -> MockReplica {
        MockReplica::with_script(dialect, &FaultScript::default()).await
    }

    pub async fn with_script(dialect: Dialect, script: &FaultScript) -> MockReplica {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (event_sender, events) = mpsc::unbounded_channel();
        let replica = MockReplica {
            addr: listener.local_addr().unwrap(),
            script: script.clone(),
            events: tokio::sync::Mutex::new(events),
            endless_text_bytes: Rc::default(),
            close_after_answer: Rc::default(),
        };
        let (script, endless_text_bytes, close_after_answer) =
            (replica.script.clone(), replica.endless_text_bytes.clone(), replica.close_after_answer.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Sends small writes at once, as replicas do; otherwise each waits 40 ms for an acknowledgement.
                let _ = stream.set_nodelay(true);
                let _ = event_sender.send(ReplicaEvent::Connected);
                let (script, endless_text_bytes, close_after_answer) =
                    (script.clone(), endless_text_bytes.clone(), close_after_answer.clone());
                let event_sender = event_sender.clone();
                spawn_local(async move {
                    let mut client = Client { stream, buf: Vec::new() };
                    while let Some((head, body)) = client.read_message().await {
                        let _ = event_sender.send(ReplicaEvent::Request(head, body));
                        let fault = script.borrow_mut().pop_front().unwrap_or(ReplicaFault::None);
                        let answered = client.serve(dialect, fault, &endless_text_bytes).await;
                        if answered.is_none() {
                            let _ = event_sender.send(ReplicaEvent::ClosedByRouter);
                        }
                        if answered != Some(true) || close_after_answer.get() {
                            return;
                        }
                    }
                });
            }
        });
        replica
    }

    pub fn add_faults(&self, faults: &[ReplicaFault]) {
        self.script.borrow_mut().extend(faults);
    }

    pub async fn next_event(&self) -> ReplicaEvent {
        self.events.lock().await.recv().await.expect("the mock replica runs")
    }

    pub async fn next_request(&self) -> (String, Vec<u8>) {
        loop {
            if let ReplicaEvent::Request(head, body) = self.next_event().await {
                return (head, body);
            }
        }
    }

    /// Returns the numbers of connections and requests since the previous call, and discards what was observed.
    pub fn take_counts(&self) -> (usize, usize) {
        let mut events = self.events.try_lock().expect("no other task reads what the replica observed");
        let all: Vec<ReplicaEvent> = std::iter::from_fn(|| events.try_recv().ok()).collect();
        let requests = all.iter().filter(|s| matches!(s, ReplicaEvent::Request(..))).count();
        (all.iter().filter(|s| **s == ReplicaEvent::Connected).count(), requests)
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Client {
    pub async fn connect(addr: SocketAddr) -> Client {
        Client { stream: TcpStream::connect(addr).await.unwrap(), buf: Vec::new() }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    async fn read_more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buf).await, Ok(n) if n > 0)
    }

    /// Reads one message whose body length is given by Content-Length. Returns `None` if the connection ends first.
    pub async fn read_message(&mut self) -> Option<(String, Vec<u8>)> {
        let (head, rest) = self.head().await?;
        let length = header_value(&head, "content-length").map_or(0, |l| l.parse().unwrap());
        self.buf = rest;
        while self.buf.len() < length {
            if !self.read_more().await {
                return None;
            }
        }
        let rest = self.buf.split_off(length);
        Some((head, std::mem::replace(&mut self.buf, rest)))
    }

    /// Reads one head. Returns it with the bytes that follow it.
    async fn head(&mut self) -> Option<(String, Vec<u8>)> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let rest = self.buf.split_off(end + 4);
                return Some((String::from_utf8(std::mem::take(&mut self.buf)).unwrap(), rest));
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Reads until `text` has been received. Panics if the connection ends before it.
    pub async fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            let received = String::from_utf8_lossy(&self.buf).into_owned();
            assert!(self.read_more().await, "the connection ended before {text}: {received}");
        }
    }

    /// Reads an answer. Returns its status, head and body, and whether it is complete; the status is 0 if the connection ended
    /// before the head.
    pub async fn read_answer(&mut self) -> (u16, String, String, bool) {
        let Some((head, rest)) = self.head().await else { return (0, String::new(), String::new(), false) };
        let status = head[9..12].parse().unwrap();
        self.buf = rest;
        let (mut body, mut complete) = (Vec::new(), true);
        if header_value(&head, "transfer-encoding").is_some() {
            loop {
                while !self.buf.windows(2).any(|w| w == b"\r\n") && complete {
                    complete = self.read_more().await;
                }
                let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") else { break };
                let size = usize::from_str_radix(std::str::from_utf8(&self.buf[..at]).unwrap(), 16).unwrap();
                while self.buf.len() < at + size + 4 && complete {
                    complete = self.read_more().await;
                }
                body.extend_from_slice(&self.buf[at + 2..at + 2 + size]);
                self.buf.drain(..at + size + 4);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = header_value(&head, "content-length").map_or(0, |l| l.parse().unwrap());
            while self.buf.len() < length && complete {
                complete = self.read_more().await;
            }
            body = self.buf.drain(..length).collect();
        }
        (status, head, String::from_utf8(body).unwrap(), complete)
    }

    /// Sends one request to the platform front and returns the answer.
    pub async fn send_platform_request(&mut self, fields: &str) -> (u16, String, String, bool) {
        self.send(&platform_request(fields, "{}")).await;
        self.read_answer().await
    }

    /// Serves one request. Returns `None` if the router closed the connection first, and false if the connection is to close.
    async fn serve(
        &mut self,
        dialect: Dialect,
        fault: ReplicaFault,
        endless_text_bytes: &Cell<usize>,
    ) -> Option<bool> {
        let events = events(dialect);
        match fault {
            ReplicaFault::Decline => {
                let text = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
                return self.stream.write_all(text.as_bytes()).await.ok().map(|()| true);
            }
            ReplicaFault::Error => {
                let text = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
                return self.stream.write_all(text.as_bytes()).await.ok().map(|()| true);
            }
            ReplicaFault::CloseBeforeAnswer => return Some(false),
            ReplicaFault::NoAnswer => {
                while self.read_more().await {}
                return None;
            }
            ReplicaFault::SlowFirstEvent => tokio::time::sleep(Duration::from_millis(40)).await,
            _ => {}
        }
        self.stream.write_all((STREAM_HEAD.to_string() + &chunk(events[0])).as_bytes()).await.ok()?;
        match fault {
            ReplicaFault::CloseAfterFirstText => return Some(false),
            ReplicaFault::SilentAfterFirstText => {
                while self.read_more().await {}
                return None;
            }
            ReplicaFault::EndlessText => loop {
                let text = chunk(&events[1].repeat(20));
                self.stream.write_all(text.as_bytes()).await.ok()?;
                endless_text_bytes.set(endless_text_bytes.get() + text.len());
            },
            ReplicaFault::UnknownEvent => {
                self.stream.write_all(chunk(UNKNOWN_EVENT).as_bytes()).await.ok()?
            }
            _ => {}
        }
        for event in &events[1..] {
            self.stream.write_all(chunk(event).as_bytes()).await.ok()?;
        }
        self.stream.write_all(b"0\r\n\r\n").await.ok()?;
        Some(true)
    }
}

/// Returns the value of a header field.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.split("\r\n").filter_map(|l| l.split_once(": "));
    lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v).next()
}

/// Returns a request to the platform front.
pub fn platform_request(fields: &str, body: &str) -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let (length, id) = (body.len(), LAST.fetch_add(1, Ordering::Relaxed));
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: 9b1f-{id}\r\nReq-Kind: chat\r\n\
         Req-Owner: haendlerbund\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    )
}

pub const MESSAGES_BODY: &str = r#"{"model":"refund-chat","max_tokens":64,"stream":true,"system":"You help travellers.",
"messages":[{"role":"user","content":[{"type":"text","text":"Where is my refund?"}]}]}"#;

/// Returns a request to the messages API.
pub fn messages_request(fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/messages HTTP/1.1\r\nHost: m\r\nx-partner: haendlerbund\r\n{fields}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Address of a front of the router, and a function that returns a request to that front.
pub type FrontUnderTest = (SocketAddr, fn() -> String);

/// Returns the platform front and the messages API of a router.
pub fn fronts(router: &TestRouter) -> [FrontUnderTest; 2] {
    [
        (router.addr, || platform_request("", "{}")),
        (router.messages_addr, || messages_request("", MESSAGES_BODY)),
    ]
}

/// A local port that is bound but not listened on, so that it stays reserved for this test until the value is dropped.
/// Otherwise the system may give the port of a closed listener to another test, and a client would connect to that test.
pub struct ReservedPort(TcpSocket);

impl ReservedPort {
    pub fn new() -> ReservedPort {
        let socket = TcpSocket::new_v4().unwrap();
        // A listener of this test may still bind the port; the system does not pick it for a bind to port 0.
        socket.set_reuseaddr(true).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        ReservedPort(socket)
    }

    pub fn addr(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    pub async fn listen(&self) -> TcpListener {
        TcpListener::bind(self.addr()).await.unwrap()
    }
}

/// A router in the test process.
pub struct TestRouter {
    pub components: Rc<Components>,
    pub addr: SocketAddr,
    pub messages_addr: SocketAddr,
    _ports: [ReservedPort; 2],
}

impl TestRouter {
    pub async fn new(
        dialect: Dialect,
        replicas: &[&MockReplica],
        change: impl FnOnce(&mut Limits),
    ) -> TestRouter {
        let mut config = config();
        change(&mut config.limits);
        TestRouter::with_config(config, dialect, replicas, None).await
    }

    pub async fn with_config(
        config: Config,
        dialect: Dialect,
        replicas: &[&MockReplica],
        peers: Option<Peers>,
    ) -> TestRouter {
        let front = installation(&config, &settings("")).messages.expect("the settings have a messages API");
        let components = Components::new(config, dialect, peers).unwrap();
        components.start();
        let ports = [ReservedPort::new(), ReservedPort::new()];
        let (listener, second) = (ports[0].listen().await, ports[1].listen().await);
        let (addr, messages_addr) = (ports[0].addr(), ports[1].addr());
        spawn_local(front::serve(components.front_context(), listener, Front::Platform));
        spawn_local(front::serve(components.front_context(), second, Front::Messages(Box::new(front))));
        let router = TestRouter { components, addr, messages_addr, _ports: ports };
        let servers = replicas.iter().enumerate();
        let servers = servers.map(|(i, n)| endpoint_record(&format!("s-{i}"), n.addr, "active")).collect();
        endpoint_list::apply(
            &router.components.endpoint_list,
            &EndpointListMessage { version: 1, full: true, endpoints: servers },
            ListUpdate::Cached,
        );
        router
    }

    /// Applies a complete endpoint list.
    pub fn set_endpoint_list(&self, rows: impl IntoIterator<Item = EndpointRecord>) {
        let page = EndpointListMessage { version: 1, full: true, endpoints: rows.into_iter().collect() };
        endpoint_list::apply(&self.components.endpoint_list, &page, ListUpdate::Full);
    }

    pub fn request_counts(&self) -> RequestCounts {
        self.components.with_core(|core, _| core.counts().clone())
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.components.with_core(|core, _| core.open_requests())
    }
}

/// Returns an event of an answer with this content.
pub fn content_event(content: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n")
}

/// Starts a router with one replica whose connections the test accepts and serves itself.
pub async fn router_with_manual_replica(limits: impl FnOnce(&mut Limits)) -> (TestRouter, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let router = TestRouter::new(Dialect::Chat, &[], limits).await;
    router.set_endpoint_list([endpoint_record("s-1", listener.local_addr().unwrap(), "active")]);
    (router, listener)
}

/// Accepts the next connection to that replica and reads its first request.
pub async fn accept_request(listener: &TcpListener) -> Client {
    let mut connection = Client { stream: listener.accept().await.unwrap().0, buf: Vec::new() };
    connection.read_message().await.expect("a request");
    connection
}

/// Sends a request to a router with a manual replica. Returns the client and the replica's connection, which has read it.
pub async fn begin_request(router: &TestRouter, listener: &TcpListener, fields: &str) -> (Client, Client) {
    let mut client = Client::connect(router.addr).await;
    client.send(&platform_request(fields, "{}")).await;
    let replica = accept_request(listener).await;
    (client, replica)
}

/// Returns a text as one chunk of the chunked transfer coding.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a complete streamed answer that contains this text.
pub fn streamed_answer(text: &str) -> String {
    let events = CHAT.iter().map(|e| chunk(&e.replace("Gott", text))).collect::<String>();
    STREAM_HEAD.to_string() + &events + "0\r\n\r\n"
}

/// Returns an endpoint record.
pub fn endpoint_record(id: &str, addr: SocketAddr, state: &str) -> EndpointRecord {
    let text = format!(r#"{{"id": "{id}", "addr": "{addr}", "state": "{state}"}}"#);
    serde_json::from_str(&text).unwrap()
}

/// Accepts the next call to a discovery service that the test serves itself. Returns the connection and the request head.
pub async fn accept_list_call(list: &TcpListener) -> (Client, String) {
    let (stream, _) = list.accept().await.unwrap();
    let mut call = Client { stream, buf: Vec::new() };
    let (head, _) = call.read_message().await.unwrap();
    (call, head)
}

/// The response head of a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns an endpoint list message with one replica, as one chunk.
pub fn list_message_chunk(version: u64, full: bool, id: &str, replica: &MockReplica, state: &str) -> String {
    let server = format!(r#"{{"id":"{id}","addr":"{}","state":"{state}"}}"#, replica.addr);
    chunk(&format!("{{\"version\":{version},\"full\":{full},\"servers\":[{server}]}}\n"))
}

/// Yields to the other tasks `n` times without a poll of the sockets in between.
pub async fn yield_times(mut n: usize) {
    poll_fn(|cx| {
        if n == 0 {
            return Poll::Ready(());
        }
        n -= 1;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Yields to the other tasks until the condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// Converts a blocking stream to a client of the runtime.
pub fn into_client(stream: std::net::TcpStream) -> Client {
    stream.set_nonblocking(true).unwrap();
    Client { stream: TcpStream::from_std(stream).unwrap(), buf: Vec::new() }
}

/// Converts a client to a blocking stream. The kernel has accepted what the stream writes when the write returns.
pub fn into_blocking(client: Client) -> std::net::TcpStream {
    let stream = client.stream.into_std().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Returns an address as `/proc/net/tcp` shows it.
fn hex_address(address: SocketAddr) -> String {
    match address.ip() {
        std::net::IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()),
        std::net::IpAddr::V6(_) => panic!("the tests use IPv4"),
    }
}

/// Whether the other end of a connection, which has to be on this machine, has read all that was sent.
pub fn is_read_by_peer(stream: &TcpStream) -> bool {
    let (own, peer) = (hex_address(stream.local_addr().unwrap()), hex_address(stream.peer_addr().unwrap()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    // The fields after the addresses are the state, and the numbers of unacknowledged and of unread bytes.
    let queues = |local: &str, remote: &str| {
        let rest = table.split_once(&format!(" {local} {remote} "))?.1;
        rest.split_ascii_whitespace().nth(1)?.split_once(':')
    };
    let unacknowledged = queues(&own, &peer).map(|(unacknowledged, _)| unacknowledged);
    let unread = queues(&peer, &own).map(|(_, unread)| unread);
    (unacknowledged, unread) == (Some("00000000"), Some("00000000"))
}

/// What [`wait_for_arrival`] waits for at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Unread bytes.
    Data,
    /// The end of the stream.
    End,
}

/// Blocks until what the sockets sent has arrived at their other ends, which have to be on this machine. The router's tasks do
/// not run meanwhile. Reads the state of the connections from `/proc/net/tcp`.
pub fn wait_for_arrival(sockets: &[&std::net::TcpStream], arrival: Arrival) {
    const CLOSE_WAIT: &str = "08";
    let ends: Vec<_> = sockets
        .iter()
        .map(|s| {
            format!(" {} {} ", hex_address(s.peer_addr().unwrap()), hex_address(s.local_addr().unwrap()))
        })
        .collect();
    let has_arrived = |table: &str, end: &str| {
        // The next fields of the line are the state, and the numbers of unacknowledged and of unread bytes.
        let rest = table.split_once(end).map_or("", |(_, rest)| rest);
        let mut fields = rest.split_ascii_whitespace();
        let (state, queues) = (fields.next().unwrap_or(""), fields.next().unwrap_or(""));
        match arrival {
            Arrival::End => state == CLOSE_WAIT,
            Arrival::Data => queues.split_once(':').is_some_and(|(_, unread)| unread != "00000000"),
        }
    };
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        if ends.iter().all(|end| has_arrived(&table, end)) {
            return;
        }
    }
}

/// Closes the clients' connections. Returns when the ends of stream have arrived, before any task of the router runs.
pub fn disconnect(clients: impl IntoIterator<Item = Client>) {
    let streams: Vec<_> = clients.into_iter().map(into_blocking).collect();
    streams.iter().for_each(|s| s.shutdown(std::net::Shutdown::Write).unwrap());
    wait_for_arrival(&streams.iter().collect::<Vec<_>>(), Arrival::End);
}
