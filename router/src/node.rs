//! Connections to model nodes, and running one attempt on one of them.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use rustc_hash::FxHashMap;
use tallypin::api::{Nanos, Outcome, ReplicaId, RequestId};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::core::{AttemptEnd, FinalAnswer};
use crate::dialect::{self, Dialect, Event, Events};
use crate::host::{Host, Piece, Prompt};
use crate::http::{Body, Framing, Head, Part, Start, Wire};
use crate::limits::Limits;
use crate::shortage::is_shortage;

/// A connection to a model node, counted while it is open.
#[derive(Debug)]
struct Link {
    wire: Wire,
    /// Whom it was opened to. The address alone does not say that: a new node may stand where one has gone,
    /// and what was opened to that one is dead.
    to: Place,
    /// It has carried an answer before.
    reused: bool,
    open: Rc<Cell<usize>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

struct Idle {
    link: Link,
    since: Instant,
}

/// Which node, where, and in which of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    id: ReplicaId,
    addr: SocketAddr,
    started_ms: u64,
}

struct Listed {
    place: Place,
    ready: bool,
    /// As the list has it, for the log.
    name: Rc<str>,
}

/// The model nodes of the list, and idle connections to them.
pub struct Nodes {
    /// Attempts whose request has been written and whose connection is still open, by node.
    out: RefCell<FxHashMap<ReplicaId, u32>>,
    /// The dialect they speak.
    pub dialect: Dialect,
    most: usize,
    idle_limit: Duration,
    rest: Duration,
    connect_limit: Duration,
    /// By the list's `id`: the address may differ from router to router and change.
    listed: RefCell<FxHashMap<ReplicaId, Listed>>,
    /// The most recently used last; only for nodes that are listed.
    idle: RefCell<FxHashMap<ReplicaId, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
}

impl Nodes {
    /// No nodes yet.
    pub fn new(dialect: Dialect, limits: &Limits) -> Nodes {
        Nodes {
            dialect,
            most: limits.node_connections,
            idle_limit: limits.idle_node,
            rest: limits.node_rest,
            connect_limit: limits.connect,
            out: RefCell::default(),
            listed: RefCell::default(),
            idle: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// A node is at this address since then, and takes work or not. If it was elsewhere, or has started
    /// again, what is idle to it is closed.
    pub fn set(&self, id: ReplicaId, addr: SocketAddr, started_ms: u64, ready: bool) {
        let place = Place { id, addr, started_ms };
        let mut listed = self.listed.borrow_mut();
        let name = listed.get(&id).map(|n| n.name.clone()).unwrap_or_default();
        let before = listed.insert(id, Listed { place, ready, name });
        drop(listed);
        if before.is_some_and(|b| b.place != place) {
            self.distrust(id);
        }
    }

    /// Forgets the nodes that are not to be kept, and closes what is idle to them.
    pub fn retain(&self, keep: impl Fn(ReplicaId) -> bool) {
        let mut listed = self.listed.borrow_mut();
        listed.retain(|id, _| keep(*id));
        self.idle.borrow_mut().retain(|id, _| listed.contains_key(id));
    }

    /// Forgets nodes, and closes what is idle to them.
    pub fn remove(&self, gone: &[ReplicaId]) {
        let (mut listed, mut idle) = (self.listed.borrow_mut(), self.idle.borrow_mut());
        for id in gone {
            listed.remove(id);
            idle.remove(id);
        }
    }

    /// Closes what is idle to a node: the next attempt there has to open a connection. A machine that is
    /// cut off says nothing on the connections it had, and shows only by new ones that do not come up.
    pub fn distrust(&self, id: ReplicaId) {
        self.idle.borrow_mut().remove(&id);
    }

    /// How many nodes take work.
    pub fn ready(&self) -> usize {
        self.listed.borrow().values().filter(|n| n.ready).count()
    }

    /// A node's name, as the list has it.
    pub fn name(&self, id: ReplicaId, name: &str) {
        if let Some(n) = self.listed.borrow_mut().get_mut(&id).filter(|n| *n.name != *name) {
            n.name = name.into();
        }
    }

    /// The name, empty if it is not known.
    pub fn named(&self, id: ReplicaId) -> Rc<str> {
        self.listed.borrow().get(&id).map(|n| n.name.clone()).unwrap_or_default()
    }

    /// Where a node is.
    pub fn at(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.listed.borrow().get(&id).map(|n| n.place.addr)
    }

    /// How many attempts are out on a node's connections.
    pub fn out(&self, id: ReplicaId) -> u32 {
        self.out.borrow().get(&id).copied().unwrap_or(0)
    }

    /// How many connections are open, and how many of them are idle.
    pub fn links(&self) -> (usize, usize) {
        (self.open.get(), self.idle.borrow().values().map(Vec::len).sum())
    }

    /// Closes connections that have been idle for long or that the node has closed.
    pub fn sweep(&self) {
        let limit = self.idle_limit;
        self.idle.borrow_mut().retain(|_, links| {
            links.retain_mut(|i| i.since.elapsed() < limit && !i.link.wire.spoilt());
            !links.is_empty()
        });
    }

    /// The most recently used idle connection: the others then grow old and are retired. One that has just carried an
    /// answer rests first: a second answer that comes late would else be taken for the next request's.
    fn take_idle(&self, id: ReplicaId) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&id)?;
        while let Some(at) = links.iter().rposition(|i| i.since.elapsed() >= self.rest) {
            let mut i = links.remove(at);
            // A node that closed it, or is about to, would turn the next request into a reset.
            if i.since.elapsed() < self.idle_limit && !i.link.wire.spoilt() {
                return Some(i.link);
            }
        }
        None
    }

    /// Keeps a connection for later, unless its node has gone, moved or started again while it was out.
    fn give_back(&self, mut link: Link) {
        if self.listed.borrow().get(&link.to.id).is_some_and(|n| n.place == link.to) {
            link.wire.rest();
            link.reused = true;
            let idle = Idle { since: Instant::now(), link };
            self.idle.borrow_mut().entry(idle.link.to.id).or_default().push(idle);
        }
    }

    /// Makes room for one more connection, if need be by closing the one idle for longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.most {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since);
        oldest.map(|links| links.remove(0)).is_some()
    }

    /// Whether a connection still leads to a node that takes work: it may have been told to drain, have moved or have
    /// started again since the connection was asked for.
    fn takes_work(&self, place: &Place) -> bool {
        self.listed.borrow().get(&place.id).is_some_and(|node| node.ready && node.place == *place)
    }

    /// A connection to a node. What fails for want of anything here is *skipped*, not *refused*: it says
    /// nothing of the node, which the module would else shun.
    async fn reach(&self, id: ReplicaId) -> Result<Link, Outcome> {
        let to = self.listed.borrow().get(&id).map(|n| n.place).ok_or(Outcome::Skipped)?;
        if let Some(link) = self.take_idle(id) {
            return Ok(link);
        }
        if !self.make_room() {
            return Err(Outcome::Skipped);
        }
        self.open.set(self.open.get() + 1);
        let count = Count(Some(self.open.clone()));
        match timeout(self.connect_limit, TcpStream::connect(to.addr)).await {
            Ok(Ok(stream)) => Ok(count.into_link(Wire::new(stream), to)),
            Ok(Err(e)) if is_local(&e) => Err(Outcome::Skipped),
            _ => Err(Outcome::Refused),
        }
    }
}

/// Whether a connection failed for a reason of this machine or process, which says nothing of the node: a call cut short by
/// a signal, or want of descriptors, memory, buffers or addresses.
fn is_local(e: &io::Error) -> bool {
    let kinds = [io::ErrorKind::Interrupted, io::ErrorKind::WouldBlock, io::ErrorKind::AddrNotAvailable];
    kinds.contains(&e.kind()) || is_shortage(e)
}

/// A counted connection that is not up yet.
struct Count(Option<Rc<Cell<usize>>>);

impl Count {
    fn into_link(mut self, wire: Wire, to: Place) -> Link {
        Link { wire, to, reused: false, open: self.0.take().unwrap_or_default() }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get() - 1);
        }
    }
}

/// One attempt.
pub struct Attempt {
    /// The router.
    pub host: Rc<Host>,
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: u32,
    /// Where to.
    pub node: ReplicaId,
    /// When the client gives up.
    pub deadline: Nanos,
    /// What to send; not kept once the request is bound.
    pub prompt: Option<Rc<Prompt>>,
    /// The front wants the text of events, not only their bytes.
    pub text: bool,
    /// Where its events go once the request is bound to it.
    pub pieces: mpsc::Sender<Piece>,
}

impl Attempt {
    /// Runs it to its end. Giving it up is dropping it: the connection closes.
    pub async fn run(mut self) {
        let end = self.stream().await;
        tracing::debug!(target: "node", request = self.id.0, attempt = self.attempt,
            node = %self.host.nodes.named(self.node), outcome = ?end.outcome,
            kept = end.kept, "attempt ended");
        let answer = match end.outcome {
            Outcome::Done => FinalAnswer::Served,
            _ => FinalAnswer::Broken,
        };
        let (id, attempt, bound) = (self.id, self.attempt, self.bound());
        self.host.attempt_over(id, attempt);
        self.host.with(|core, now| core.ended(now, id, attempt, end));
        if bound {
            let _ = self.pieces.send(Piece::Answer(answer)).await;
        }
    }

    fn bound(&self) -> bool {
        self.deadline == BOUND
    }

    async fn stream(&mut self) -> AttemptEnd {
        let mut link = match self.reach().await {
            Ok(reached) => reached,
            Err(outcome) => return outcome.into(),
        };
        // Broken before its last byte was written, the request cannot have run.
        let Some((head, body)) = self.message() else { return Outcome::Skipped.into() };
        if !self.host.with(|core, now| core.may_write(now, self.id, self.attempt)) {
            self.host.nodes.give_back(link);
            return Outcome::Skipped.into();
        }
        if let Err(e) = link.wire.write(head.chain(body)).await {
            tracing::debug!(target: "node", request = self.id.0, attempt = self.attempt, why = %e,
                "attempt not written whole");
            return Outcome::Refused.into();
        }
        tracing::debug!(target: "node", request = self.id.0, attempt = self.attempt, reused = link.reused,
            "attempt written");
        let _out = Out::on(&self.host, self.node);
        let silent = Silent { nodes: &self.host.nodes, node: self.node };
        let more = link.wire.more().await;
        std::mem::forget(silent);
        let head = match more {
            Ok(true) => read_head(&mut link.wire, &self.host.limits).await,
            _ => None,
        };
        let Some(head) = head else { return Outcome::Reset.into() };
        let names = &self.host.deployment.report;
        let load = head.text("srv-load").ok().flatten().map(|l| dialect::read_load(l, names));
        let load = load.unwrap_or_default();
        let framing = match head.framing() {
            Ok(framing) => framing,
            Err(_) => return Outcome::Reset.into(),
        };
        match head.start {
            Start::Status(200) => {}
            Start::Status(status) => {
                let declined = matches!(head.text("srv-declined"), Ok(Some("1")));
                let outcome = match status {
                    503 | 504 if declined => Outcome::Busy,
                    _ => Outcome::Error,
                };
                if head.keeps() && drained(&mut link.wire, framing, self.host.limits.event) {
                    self.host.nodes.give_back(link);
                }
                return AttemptEnd { outcome, kept: None, load };
            }
            Start::Request(..) => return Outcome::Reset.into(),
        }
        let (end, reusable) = self.pass_on(&mut link.wire, framing, load).await;
        if reusable && head.keeps() && link.wire.buf.is_empty() {
            self.host.nodes.give_back(link);
        }
        end
    }

    /// A connection on which the request may be written now. Before that the event loop looks at the sockets once more:
    /// a front that hears of its client's end calls this off first, the node list may have told that the node takes no
    /// work, and an idle connection may have been closed by its node.
    async fn reach(&self) -> Result<Link, Outcome> {
        let nodes = &self.host.nodes;
        loop {
            let mut link = nodes.reach(self.node).await?;
            tokio::task::yield_now().await;
            if !nodes.takes_work(&link.to) {
                return Err(Outcome::Skipped);
            }
            if !link.reused || !link.wire.spoilt() {
                return Ok(link);
            }
        }
    }

    fn message(&self) -> Option<(Bytes, Bytes)> {
        let p = self.prompt.as_ref()?;
        let left = self.deadline.saturating_sub(self.host.clock.now()) / 1_000_000;
        let body = p.body.bytes.clone();
        let mut head = Vec::with_capacity(256 + p.target.len());
        for part in [&p.method[..], b" ", &p.target, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ", &p.id] {
            head.extend_from_slice(part);
        }
        if let Some(key) = &p.idempotency_key {
            head.extend_from_slice(b"\r\nIdempotency-Key: ");
            head.extend_from_slice(key);
        }
        let rest = format!(
            "\r\nReq-Deadline-Ms: {left}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        head.extend_from_slice(rest.as_bytes());
        Some((head.into(), body))
    }

    /// Passes the events of a stream on as they come; also says whether the connection is at the end of
    /// the answer.
    async fn pass_on(&mut self, wire: &mut Wire, framing: Framing, load: Vec<f64>) -> (AttemptEnd, bool) {
        let host = self.host.clone();
        let (mut body, mut events) = (Body::of_answer(framing, host.limits.event), Events::default());
        let (mut held, mut held_told) = (BytesMut::new(), Vec::new());
        let mut end = AttemptEnd { outcome: Outcome::Reset, kept: None, load };
        // A messages stream says itself that it is complete; the others are so at the last chunk.
        let mut complete = host.nodes.dialect == Dialect::Chat;
        let silence = |quiet_since: Instant| (quiet_since + host.limits.silence).into();
        let mut quiet_since = Instant::now();
        loop {
            let part = match body.next(&mut wire.buf) {
                Ok(part) => part,
                Err(_) => return (end, false),
            };
            let over = part == Some(Part::End);
            let whole = match part {
                Some(Part::Bytes(data)) => {
                    let whole = events.push(&data);
                    if events.held() > host.limits.event {
                        return (end, false);
                    }
                    whole
                }
                Some(Part::End) => match events.rest() {
                    rest if rest.is_empty() => None,
                    rest => Some(rest),
                },
                None => {
                    // Before the stream is bound, the core keeps the time.
                    let more = if self.bound() {
                        tokio::time::timeout_at(silence(quiet_since), wire.more()).await
                    } else {
                        Ok(wire.more().await)
                    };
                    match more {
                        Ok(Ok(true)) => continue,
                        _ => return (end, false),
                    }
                }
            };
            if let Some(mut bytes) = whole {
                let mut told = self.tell(&bytes, &mut end);
                complete |= told.contains(&Event::Complete);
                let failed = told.contains(&Event::Failed);
                if !self.bound() {
                    held.extend_from_slice(&bytes);
                    held_told.append(&mut told);
                    if !failed && !held_told.iter().any(Event::begins) && held.len() <= host.limits.event {
                        continue; // A sign of life, or what nobody knows, binds nothing.
                    }
                    (bytes, told) = (held.split().freeze(), std::mem::take(&mut held_told));
                    let (id, attempt) = (self.id, self.attempt);
                    // Another attempt was first, or the client has gone: nothing of this one is wanted.
                    if failed || !host.with(|core, now| core.started(now, id, attempt)) {
                        return (AttemptEnd { outcome: Outcome::Error, ..end }, false);
                    }
                    tracing::debug!(target: "node", request = id.0, attempt, "stream begun");
                    self.deadline = BOUND;
                    // No further attempt will need the prompt: its part of the budget is free again.
                    self.prompt = None;
                    host.forget_prompt(id);
                }
                if self.pieces.send(Piece::Events(bytes, told)).await.is_err() || failed {
                    return (end, false);
                }
                quiet_since = Instant::now();
            }
            if over {
                // An empty answer is none.
                if complete && self.bound() && framing != Framing::Unstated {
                    end.outcome = Outcome::Done;
                }
                return (end, true);
            }
        }
    }

    /// What events say; keeps what concerns the attempt's end.
    fn tell(&self, bytes: &[u8], end: &mut AttemptEnd) -> Vec<Event> {
        let mut told = Vec::new();
        self.host.nodes.dialect.read(bytes, self.text, &mut told);
        for event in &told {
            match event {
                Event::Usage { kept: Some(kept), .. } => end.kept = Some((*kept).min(u32::MAX.into()) as u32),
                Event::Load(report) => end.load = dialect::read_load(report, &self.host.deployment.report),
                Event::Unknown => self.host.unknown_events.set(self.host.unknown_events.get() + 1),
                _ => {}
            }
        }
        told
    }
}

/// The deadline of an attempt whose stream has begun: none.
const BOUND: Nanos = Nanos::MAX;

/// An attempt out on a connection.
struct Out(Rc<Host>, ReplicaId);

impl Out {
    fn on(host: &Rc<Host>, id: ReplicaId) -> Out {
        *host.nodes.out.borrow_mut().entry(id).or_default() += 1;
        Out(host.clone(), id)
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        let mut out = self.0.nodes.out.borrow_mut();
        if let Some(n) = out.get_mut(&self.1) {
            *n -= 1;
            if *n == 0 {
                out.remove(&self.1);
            }
        }
    }
}

/// Dropped while a node owes the first byte of an answer, it tells that the node was silent.
struct Silent<'a> {
    nodes: &'a Nodes,
    node: ReplicaId,
}

impl Drop for Silent<'_> {
    fn drop(&mut self) {
        self.nodes.distrust(self.node);
    }
}

/// Reads the head of an answer of which something has come, or will. What begins has to end: one head that
/// does not, or one after the other, would else hold the attempt until the client has left.
async fn read_head(wire: &mut Wire, limits: &Limits) -> Option<Head> {
    let whole = async {
        let mut before = 0;
        loop {
            match Head::answer(&mut wire.buf, limits) {
                // What comes before the answer proper says nothing here.
                Ok(Some(head)) if matches!(head.start, Start::Status(100..=199)) => before += 1,
                Ok(Some(head)) => return Some(head),
                Ok(None) => {
                    if !wire.more().await.ok()? {
                        return None;
                    }
                }
                Err(_) => return None,
            }
            if before > limits.informational {
                return None;
            }
        }
    };
    timeout(limits.answer_head, whole).await.ok().flatten()
}

/// Takes a short body that has arrived with its head; false if it has not.
fn drained(wire: &mut Wire, framing: Framing, most: usize) -> bool {
    if framing == Framing::Unstated {
        return false;
    }
    let mut body = Body::of_answer(framing, most);
    loop {
        match body.next(&mut wire.buf) {
            Ok(Some(Part::Bytes(_))) => {}
            Ok(Some(Part::End)) => return wire.buf.is_empty(),
            _ => return false,
        }
    }
}

/// Probes a node and tells the core. The module sends no probes today; its interface has them.
pub async fn probe(host: Rc<Host>, node: ReplicaId) {
    let limit = host.limits.probe;
    let end = timeout(limit, ask_health(&host, node)).await.unwrap_or_else(|_| Outcome::TimedOut.into());
    host.with(|core, now| core.probed(now, node, end));
}

async fn ask_health(host: &Host, node: ReplicaId) -> AttemptEnd {
    let names = &host.deployment.report;
    let target = if names.is_empty() { "/alive" } else { "/metrics/load" };
    let mut link = match host.nodes.reach(node).await {
        Ok(reached) => reached,
        Err(outcome) => return outcome.into(),
    };
    let head = format!("GET {target} HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    if link.wire.write(Bytes::from(head)).await.is_err() {
        return Outcome::Refused.into();
    }
    let Some(head) = read_head(&mut link.wire, &host.limits).await else { return Outcome::Reset.into() };
    let Ok(framing) = head.framing() else { return Outcome::Reset.into() };
    let (mut body, mut report) = (Body::of_answer(framing, host.limits.head), Vec::new());
    loop {
        match body.next(&mut link.wire.buf) {
            Ok(Some(Part::Bytes(data))) if report.len() + data.len() <= host.limits.head => {
                report.extend_from_slice(&data);
            }
            Ok(Some(Part::End)) => break,
            Ok(None) if matches!(link.wire.more().await, Ok(true)) => {}
            _ => return Outcome::Reset.into(),
        }
    }
    let outcome = if head.start == Start::Status(200) { Outcome::Done } else { Outcome::Error };
    let load = dialect::read_load(&String::from_utf8_lossy(&report), names);
    if head.keeps() && link.wire.buf.is_empty() {
        host.nodes.give_back(link);
    }
    AttemptEnd { outcome, kept: None, load }
}

#[cfg(test)]
mod tests;
