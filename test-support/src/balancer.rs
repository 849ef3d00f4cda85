//! A balancer: spreads requests over routers by weight (smooth weighted round robin), keeps connections, and
//! shifts traffic by what its checks tell.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::checkers;

/// How a server is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// It is not: it gets its share whatever happens.
    None,
    /// By the agent check; the line is sent first, if it is not empty.
    Agent(SocketAddr, Duration, &'static str),
    /// Over HTTP: path, successes to rise, failures to fall; 404 is a soft stop.
    Http(SocketAddr, Duration, &'static str, u32, u32),
    /// By a gRPC watch on the whole server.
    Watch(SocketAddr),
}

/// How the balancer holds a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// It works.
    pub up: bool,
    /// It is to get new requests.
    pub ready: bool,
    /// Its share, 0 to 100.
    pub weight: u32,
}

/// What happened, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A check of this server ended, and it is held like this.
    Checked(usize, Held),
    /// A request was sent to it.
    Sent(usize),
    /// Something the test noted.
    Mark(u32),
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The status; 0: it was lost, without a whole answer.
    pub status: u16,
    /// The server that gave it.
    pub server: usize,
    /// The body, when it is whole.
    pub body: Vec<u8>,
}

struct Server {
    front: SocketAddr,
    held: Cell<Held>,
    current: Cell<i64>,
    idle: RefCell<Vec<TcpStream>>,
    sent: Cell<u64>,
}

/// The balancer. Its checks end with it.
pub struct Balancer {
    servers: Vec<Rc<Server>>,
    shared: Rc<Shared>,
    checks: Vec<AbortHandle>,
    crossed: Cell<u64>,
    redispatched: Cell<u64>,
}

/// What checks and requests share.
pub struct Shared {
    events: RefCell<Vec<Event>>,
    news: Notify,
}

impl Shared {
    fn note(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.news.notify_waiters();
    }
}

/// How a checker tells what it has found.
pub struct Teller {
    number: usize,
    server: Rc<Server>,
    shared: Rc<Shared>,
}

impl Teller {
    /// The server is held otherwise, or as before.
    pub fn tell(&self, change: impl FnOnce(&mut Held)) {
        let mut held = self.server.held.get();
        change(&mut held);
        self.server.held.set(held);
        if !(held.up && held.ready) {
            self.server.idle.borrow_mut().clear();
        }
        self.shared.note(Event::Checked(self.number, held));
    }

    /// How it is held.
    pub fn held(&self) -> Held {
        self.server.held.get()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.checks.iter().for_each(AbortHandle::abort);
    }
}

impl Balancer {
    /// A balancer before these servers, each with its front and check. They are held down until a check has said
    /// otherwise, but for those without one.
    pub fn new(servers: impl IntoIterator<Item = (SocketAddr, Check)>) -> Balancer {
        let shared = Rc::new(Shared { events: RefCell::default(), news: Notify::new() });
        let mut balancer = Balancer {
            servers: Vec::new(),
            shared: shared.clone(),
            checks: Vec::new(),
            crossed: Cell::default(),
            redispatched: Cell::default(),
        };
        for (number, (front, check)) in servers.into_iter().enumerate() {
            let held = Held { up: check == Check::None, ready: true, weight: 100 };
            let server = Rc::new(Server {
                front,
                held: Cell::new(held),
                current: Cell::default(),
                idle: RefCell::default(),
                sent: Cell::default(),
            });
            balancer.servers.push(server.clone());
            let teller = Teller { number, server, shared: shared.clone() };
            let task = match check {
                Check::None => continue,
                Check::Agent(at, every, line) => {
                    tokio::task::spawn_local(checkers::agent(teller, at, every, line))
                }
                Check::Http(at, every, path, rise, fall) => {
                    tokio::task::spawn_local(checkers::http(teller, at, every, path, rise, fall))
                }
                Check::Watch(at) => tokio::task::spawn_local(checkers::watch(teller, at)),
            };
            balancer.checks.push(task.abort_handle());
        }
        balancer
    }

    /// Stops checking a server; it stays as it is held.
    pub fn stop_checking(&self, number: usize) {
        self.checks[number].abort();
    }

    /// How a server is held.
    pub fn held(&self, number: usize) -> Held {
        self.servers[number].held.get()
    }

    /// Requests sent to a server.
    pub fn sent(&self, number: usize) -> u64 {
        self.servers[number].sent.get()
    }

    /// Requests sent again as a kept connection had been closed when they crossed, and those that went to
    /// another server as no connection came up.
    pub fn again(&self) -> (u64, u64) {
        (self.crossed.get(), self.redispatched.get())
    }

    /// Notes something among the events.
    pub fn mark(&self, mark: u32) {
        self.shared.note(Event::Mark(mark));
    }

    /// What has happened so far.
    pub fn events(&self) -> Vec<Event> {
        self.shared.events.borrow().clone()
    }

    /// Waits until a server is held in some way.
    pub async fn until(&self, number: usize, so: impl Fn(Held) -> bool) {
        while !so(self.held(number)) {
            self.shared.news.notified().await;
        }
    }

    /// The next server that is to get a request: smooth weighted round robin.
    fn pick(&self, but: Option<usize>) -> Option<usize> {
        let takes = |s: &Server| {
            let held = s.held.get();
            held.up && held.ready && held.weight > 0
        };
        let mut best: Option<(i64, usize)> = None;
        let mut total = 0;
        for (number, server) in self.servers.iter().enumerate().filter(|(n, s)| takes(s) && Some(*n) != but) {
            let weight = i64::from(server.held.get().weight);
            total += weight;
            server.current.set(server.current.get() + weight);
            if best.is_none_or(|(most, _)| server.current.get() > most) {
                best = Some((server.current.get(), number));
            }
        }
        let (_, number) = best?;
        let server = &self.servers[number];
        server.current.set(server.current.get() - total);
        Some(number)
    }

    /// Sends a request and reads its answer. No server at all: 503 by the balancer itself.
    pub async fn ask(&self, request: &str) -> Outcome {
        let mut but = None;
        for _ in 0..self.servers.len() + 1 {
            let Some(number) = self.pick(but) else { break };
            let server = &self.servers[number];
            let kept = server.idle.borrow_mut().pop();
            let fresh = kept.is_none();
            let stream = match kept {
                Some(stream) => stream,
                None => match TcpStream::connect(server.front).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        stream
                    }
                    // Nothing was sent: another server may have it.
                    Err(_) => {
                        self.redispatched.set(self.redispatched.get() + 1);
                        but = Some(number);
                        continue;
                    }
                },
            };
            self.shared.note(Event::Sent(number));
            server.sent.set(server.sent.get() + 1);
            match exchange(stream, request).await {
                Ok((status, body, stream)) => {
                    let held = server.held.get();
                    server.idle.borrow_mut().extend(stream.filter(|_| held.up && held.ready));
                    return Outcome { status, server: number, body };
                }
                // It was closed before the request was read: RFC 9112, section 9.3.1.
                Err(Lost::Unanswered) if !fresh => {
                    self.crossed.set(self.crossed.get() + 1);
                    server.idle.borrow_mut().clear();
                }
                Err(_) => return Outcome { status: 0, server: number, body: Vec::new() },
            }
        }
        Outcome { status: 503, server: usize::MAX, body: Vec::new() }
    }
}

/// Why there is no whole answer.
enum Lost {
    /// Not a byte of one came.
    Unanswered,
    /// It broke off.
    Broken,
}

/// Status, body, and the connection if it may be kept.
type Answered = (u16, Vec<u8>, Option<TcpStream>);

async fn exchange(mut stream: TcpStream, request: &str) -> Result<Answered, Lost> {
    let mut buf = Vec::new();
    let more = async |stream: &mut TcpStream, buf: &mut Vec<u8>| -> io::Result<bool> {
        Ok(stream.read_buf(buf).await? > 0)
    };
    stream.write_all(request.as_bytes()).await.map_err(|_| Lost::Unanswered)?;
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        match more(&mut stream, &mut buf).await {
            Ok(true) => {}
            _ if buf.is_empty() => return Err(Lost::Unanswered),
            _ => return Err(Lost::Broken),
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
    buf.drain(..end);
    let status = head.get(9..12).and_then(|s| s.parse().ok()).ok_or(Lost::Broken)?;
    let field = |name: &str| {
        let lines = head.split("\r\n").filter_map(|l| l.split_once(": "));
        lines.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string()).next()
    };
    let mut body = Vec::new();
    if field("transfer-encoding").is_some() {
        loop {
            while !buf.windows(2).any(|w| w == b"\r\n") {
                if !matches!(more(&mut stream, &mut buf).await, Ok(true)) {
                    return Err(Lost::Broken);
                }
            }
            let at = buf.windows(2).position(|w| w == b"\r\n").ok_or(Lost::Broken)?;
            let size = std::str::from_utf8(&buf[..at]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
            let size = size.ok_or(Lost::Broken)?;
            while buf.len() < at + size + 4 {
                if !matches!(more(&mut stream, &mut buf).await, Ok(true)) {
                    return Err(Lost::Broken);
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
            if !matches!(more(&mut stream, &mut buf).await, Ok(true)) {
                return Err(Lost::Broken);
            }
        }
        body = buf.drain(..length).collect();
    }
    let keeps = field("connection").is_none_or(|c| c != "close");
    Ok((status, body, keeps.then_some(stream)))
}
