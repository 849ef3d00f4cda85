//! A mock load balancer: distributes requests over routers by weight (smooth weighted round robin), reuses
//! connections, and shifts traffic by the results of its health checks.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::health_checks;

/// How the balancer checks a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The server is not checked and always counts as up.
    None,
    /// Agent check: address, interval, and a line to send first unless it is empty.
    Agent(SocketAddr, Duration, &'static str),
    /// HTTP check: address, interval, path, successes until the server is up, and failures until it is down.
    /// Status 404 is a soft stop.
    Http(SocketAddr, Duration, &'static str, u32, u32),
    /// gRPC health watch on the whole server.
    Watch(SocketAddr),
}

/// The state of a server in the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerState {
    /// Whether the server is up.
    pub up: bool,
    /// Whether the server may get new requests.
    pub ready: bool,
    /// Weight of the server, from 0 to 100.
    pub weight: u32,
}

/// An event that the balancer records, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A check of this server ended and left it in this state.
    Checked(usize, ServerState),
    /// A request was sent to this server.
    Sent(usize),
    /// A mark that the test set.
    Mark(u32),
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The status code, or 0 if there was no complete response.
    pub status: u16,
    /// Index of the server that responded, `usize::MAX` if it was the balancer itself.
    pub server: usize,
    /// The response body, empty if the response is not complete.
    pub body: Vec<u8>,
}

struct Server {
    front: SocketAddr,
    state: Cell<ServerState>,
    current_weight: Cell<i64>,
    idle: RefCell<Vec<TcpStream>>,
    sent: Cell<u64>,
}

/// A mock load balancer. Its checks end when it is dropped.
pub struct Balancer {
    servers: Vec<Rc<Server>>,
    shared: Rc<Shared>,
    checks: Vec<AbortHandle>,
    closed_before_read: Cell<u64>,
    redispatched: Cell<u64>,
}

/// State shared by checks and requests.
pub struct Shared {
    events: RefCell<Vec<Event>>,
    changed: Notify,
}

impl Shared {
    fn record(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.changed.notify_waiters();
    }
}

/// Updates the state of a server on behalf of its check.
pub struct CheckReporter {
    number: usize,
    server: Rc<Server>,
    shared: Rc<Shared>,
}

impl CheckReporter {
    /// Applies `change` to the state of the server and records the result as an event, even if nothing changed.
    /// Idle connections are closed if the server may get no new requests.
    pub fn update(&self, change: impl FnOnce(&mut ServerState)) {
        let mut state = self.server.state.get();
        change(&mut state);
        self.server.state.set(state);
        if !(state.up && state.ready) {
            self.server.idle.borrow_mut().clear();
        }
        self.shared.record(Event::Checked(self.number, state));
    }

    /// Returns the state of the server.
    pub fn state(&self) -> ServerState {
        self.server.state.get()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.checks.iter().for_each(AbortHandle::abort);
    }
}

impl Balancer {
    /// Starts a balancer in front of these servers, each given by its front and its check. Servers with a check
    /// count as down until the check says otherwise.
    pub fn new(servers: impl IntoIterator<Item = (SocketAddr, Check)>) -> Balancer {
        let shared = Rc::new(Shared { events: RefCell::default(), changed: Notify::new() });
        let mut balancer = Balancer {
            servers: Vec::new(),
            shared: shared.clone(),
            checks: Vec::new(),
            closed_before_read: Cell::default(),
            redispatched: Cell::default(),
        };
        for (number, (front, check)) in servers.into_iter().enumerate() {
            let initial = ServerState { up: check == Check::None, ready: true, weight: 100 };
            let server = Rc::new(Server {
                front,
                state: Cell::new(initial),
                current_weight: Cell::default(),
                idle: RefCell::default(),
                sent: Cell::default(),
            });
            balancer.servers.push(server.clone());
            let reporter = CheckReporter { number, server, shared: shared.clone() };
            let task = match check {
                Check::None => continue,
                Check::Agent(at, interval, line) => {
                    tokio::task::spawn_local(health_checks::run_agent_check(reporter, at, interval, line))
                }
                Check::Http(at, interval, path, rise, fall) => tokio::task::spawn_local(
                    health_checks::run_http_check(reporter, at, interval, path, rise, fall),
                ),
                Check::Watch(at) => tokio::task::spawn_local(health_checks::run_grpc_watch(reporter, at)),
            };
            balancer.checks.push(task.abort_handle());
        }
        balancer
    }

    /// Stops the check of a server, whose state then stays as it is.
    pub fn stop_checking(&self, number: usize) {
        self.checks[number].abort();
    }

    /// Returns the state of a server.
    pub fn server_state(&self, number: usize) -> ServerState {
        self.servers[number].state.get()
    }

    /// Returns the number of requests sent to a server.
    pub fn requests_sent(&self, number: usize) -> u64 {
        self.servers[number].sent.get()
    }

    /// Returns two counts: requests sent again because the idle connection they were sent on had been closed
    /// meanwhile, and requests sent to another server because no connection could be opened.
    pub fn resend_counts(&self) -> (u64, u64) {
        (self.closed_before_read.get(), self.redispatched.get())
    }

    /// Adds a mark to the events.
    pub fn add_mark(&self, mark: u32) {
        self.shared.record(Event::Mark(mark));
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        self.shared.events.borrow().clone()
    }

    /// Waits until the state of a server satisfies `condition`.
    pub async fn wait_until(&self, number: usize, condition: impl Fn(ServerState) -> bool) {
        while !condition(self.server_state(number)) {
            self.shared.changed.notified().await;
        }
    }

    /// Picks the server for the next request by smooth weighted round robin; never the server `excluded`.
    fn pick(&self, excluded: Option<usize>) -> Option<usize> {
        let is_available = |s: &Server| {
            let state = s.state.get();
            state.up && state.ready && state.weight > 0
        };
        let mut best: Option<(i64, usize)> = None;
        let mut total = 0;
        for (number, server) in
            self.servers.iter().enumerate().filter(|(n, s)| is_available(s) && Some(*n) != excluded)
        {
            let weight = i64::from(server.state.get().weight);
            total += weight;
            server.current_weight.set(server.current_weight.get() + weight);
            if best.is_none_or(|(highest, _)| server.current_weight.get() > highest) {
                best = Some((server.current_weight.get(), number));
            }
        }
        let (_, number) = best?;
        let server = &self.servers[number];
        server.current_weight.set(server.current_weight.get() - total);
        Some(number)
    }

    /// Sends a request and reads the response. Without an available server, the balancer itself responds with 503.
    pub async fn send(&self, request: &str) -> Outcome {
        let mut excluded = None;
        for _ in 0..self.servers.len() + 1 {
            let Some(number) = self.pick(excluded) else { break };
            let server = &self.servers[number];
            let idle = server.idle.borrow_mut().pop();
            let is_new = idle.is_none();
            let stream = match idle {
                Some(stream) => stream,
                None => match TcpStream::connect(server.front).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        stream
                    }
                    // No byte was sent, so the request may go to another server.
                    Err(_) => {
                        self.redispatched.set(self.redispatched.get() + 1);
                        excluded = Some(number);
                        continue;
                    }
                },
            };
            self.shared.record(Event::Sent(number));
            server.sent.set(server.sent.get() + 1);
            match exchange(stream, request).await {
                Ok((status, body, stream)) => {
                    let state = server.state.get();
                    server.idle.borrow_mut().extend(stream.filter(|_| state.up && state.ready));
                    return Outcome { status, server: number, body };
                }
                // The server closed the idle connection before it read the request: RFC 9112, section 9.3.1.
                Err(RequestError::NoResponse) if !is_new => {
                    self.closed_before_read.set(self.closed_before_read.get() + 1);
                    server.idle.borrow_mut().clear();
                }
                Err(_) => return Outcome { status: 0, server: number, body: Vec::new() },
            }
        }
        Outcome { status: 503, server: usize::MAX, body: Vec::new() }
    }
}

/// Why there is no complete response.
enum RequestError {
    /// No byte of a response arrived.
    NoResponse,
    /// The response broke off.
    Truncated,
}

/// Status code, body, and the connection if it may be reused.
type Response = (u16, Vec<u8>, Option<TcpStream>);

async fn exchange(mut stream: TcpStream, request: &str) -> Result<Response, RequestError> {
    let mut buf = Vec::new();
    let read_more = async |stream: &mut TcpStream, buf: &mut Vec<u8>| -> io::Result<bool> {
        Ok(stream.read_buf(buf).await? > 0)
    };
    stream.write_all(request.as_bytes()).await.map_err(|_| RequestError::NoResponse)?;
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        match read_more(&mut stream, &mut buf).await {
            Ok(true) => {}
            _ if buf.is_empty() => return Err(RequestError::NoResponse),
            _ => return Err(RequestError::Truncated),
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
    buf.drain(..end);
    let status = head.get(9..12).and_then(|s| s.parse().ok()).ok_or(RequestError::Truncated)?;
    let field = |name: &str| {
        let lines = head.split("\r\n").filter_map(|l| l.split_once(": "));
        lines.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string()).next()
    };
    let mut body = Vec::new();
    if field("transfer-encoding").is_some() {
        loop {
            while !buf.windows(2).any(|w| w == b"\r\n") {
                if !matches!(read_more(&mut stream, &mut buf).await, Ok(true)) {
                    return Err(RequestError::Truncated);
                }
            }
            let at = buf.windows(2).position(|w| w == b"\r\n").ok_or(RequestError::Truncated)?;
            let size = std::str::from_utf8(&buf[..at]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
            let size = size.ok_or(RequestError::Truncated)?;
            while buf.len() < at + size + 4 {
                if !matches!(read_more(&mut stream, &mut buf).await, Ok(true)) {
                    return Err(RequestError::Truncated);
                }
            }
            body.extend_from_slice(&buf[at + 2..at + 2 + size]);
            buf.drain(..at + size + 4);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while buf.len() < length {
            if !matches!(read_more(&mut stream, &mut buf).await, Ok(true)) {
                return Err(RequestError::Truncated);
            }
        }
        body = buf.drain(..length).collect();
    }
    let may_reuse = field("connection").is_none_or(|c| c != "close");
    Ok((status, body, may_reuse.then_some(stream)))
}
