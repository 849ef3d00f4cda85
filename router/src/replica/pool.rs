//! The model nodes of the list, and connections to them: opened, kept while they rest, taken again, closed.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tallypin::api::{Outcome, ReplicaId};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dialect::Dialect;
use crate::http::BufferedConnection;
use crate::limits::Limits;
use crate::shortage::is_resource_shortage;

/// A connection to a model node, counted while it is open.
#[derive(Debug)]
pub(super) struct ReplicaConnection {
    pub wire: BufferedConnection,
    /// Whom it was opened to. The address alone does not say that: a new node may stand where one has gone,
    /// and what was opened to that one is dead.
    pub to: ReplicaAddress,
    /// It has carried an answer before.
    pub reused: bool,
    open: Rc<Cell<usize>>,
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// A connection that carries nothing.
struct IdleConnection {
    link: ReplicaConnection,
    since: Instant,
}

/// Which node, where, and in which of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReplicaAddress {
    pub id: ReplicaId,
    addr: SocketAddr,
    started_ms: u64,
}

/// A node of the list.
struct ListedReplica {
    place: ReplicaAddress,
    ready: bool,
    /// As the list has it, for the log.
    name: Rc<str>,
}

/// The model nodes of the list, and idle connections to them.
pub struct ReplicaPool {
    /// Attempts whose request has been written and whose connection is still open, by node.
    pub(super) in_flight: RefCell<FxHashMap<ReplicaId, u32>>,
    /// The dialect they speak.
    pub dialect: Dialect,
    max_connections: usize,
    idle_limit: Duration,
    rest: Duration,
    connect_limit: Duration,
    /// By the list's `id`: the address may differ from router to router and change.
    listed: RefCell<FxHashMap<ReplicaId, ListedReplica>>,
    /// The most recently used last; only for nodes that are listed.
    idle: RefCell<FxHashMap<ReplicaId, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
}

impl ReplicaPool {
    /// No nodes yet.
    pub fn new(dialect: Dialect, limits: &Limits) -> ReplicaPool {
        ReplicaPool {
            dialect,
            max_connections: limits.max_replica_connections,
            idle_limit: limits.replica_idle_timeout,
            rest: limits.replica_reuse_delay,
            connect_limit: limits.connect_timeout,
            in_flight: RefCell::default(),
            listed: RefCell::default(),
            idle: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// A node is at this address since then, and takes work or not. If it was elsewhere, or has started
    /// again, what is idle to it is closed.
    pub fn upsert(&self, id: ReplicaId, addr: SocketAddr, started_ms: u64, ready: bool) {
        let place = ReplicaAddress { id, addr, started_ms };
        let mut listed = self.listed.borrow_mut();
        let name = listed.get(&id).map(|n| n.name.clone()).unwrap_or_default();
        let before = listed.insert(id, ListedReplica { place, ready, name });
        drop(listed);
        if before.is_some_and(|b| b.place != place) {
            self.close_idle(id);
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
    pub fn close_idle(&self, id: ReplicaId) {
        self.idle.borrow_mut().remove(&id);
    }

    /// How many nodes take work.
    pub fn ready_count(&self) -> usize {
        self.listed.borrow().values().filter(|n| n.ready).count()
    }

    /// A node's name, as the list has it.
    pub fn set_name(&self, id: ReplicaId, name: &str) {
        if let Some(n) = self.listed.borrow_mut().get_mut(&id).filter(|n| *n.name != *name) {
            n.name = name.into();
        }
    }

    /// The name, empty if it is not known.
    pub fn name(&self, id: ReplicaId) -> Rc<str> {
        self.listed.borrow().get(&id).map(|n| n.name.clone()).unwrap_or_default()
    }

    /// Where a node is.
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.listed.borrow().get(&id).map(|n| n.place.addr)
    }

    /// How many attempts are out on a node's connections.
    pub fn in_flight(&self, id: ReplicaId) -> u32 {
        self.in_flight.borrow().get(&id).copied().unwrap_or(0)
    }

    /// How many connections are open, and how many of them are idle.
    pub fn connection_counts(&self) -> (usize, usize) {
        (self.open.get(), self.idle.borrow().values().map(Vec::len).sum())
    }

    /// Closes connections that have been idle for long or that the node has closed.
    pub fn close_expired(&self) {
        let limit = self.idle_limit;
        self.idle.borrow_mut().retain(|_, links| {
            links.retain_mut(|i| i.since.elapsed() < limit && !i.link.wire.is_unusable());
            !links.is_empty()
        });
    }

    /// The most recently used idle connection: the others then grow old and are retired. One that has just carried an
    /// answer rests first: a second answer that comes late would else be taken for the next request's.
    fn reuse_idle(&self, id: ReplicaId) -> Option<ReplicaConnection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&id)?;
        while let Some(at) = links.iter().rposition(|i| i.since.elapsed() >= self.rest) {
            let mut i = links.remove(at);
            // A node that closed it, or is about to, would turn the next request into a reset.
            if i.since.elapsed() < self.idle_limit && !i.link.wire.is_unusable() {
                return Some(i.link);
            }
        }
        None
    }

    /// Keeps a connection for later, unless its node has gone, moved or started again while it was out.
    pub(super) fn give_back(&self, mut link: ReplicaConnection) {
        if self.listed.borrow().get(&link.to.id).is_some_and(|n| n.place == link.to) {
            link.wire.release_buffer();
            link.reused = true;
            let idle = IdleConnection { since: Instant::now(), link };
            self.idle.borrow_mut().entry(idle.link.to.id).or_default().push(idle);
        }
    }

    /// Makes room for one more connection, if need be by closing the one idle for longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since);
        oldest.map(|links| links.remove(0)).is_some()
    }

    /// Whether a connection still leads to a node that takes work: it may have been told to drain, have moved or have
    /// started again since the connection was asked for.
    pub(super) fn takes_work(&self, place: &ReplicaAddress) -> bool {
        self.listed.borrow().get(&place.id).is_some_and(|node| node.ready && node.place == *place)
    }

    /// A connection to a node. What fails for want of anything here is *skipped*, not *refused*: it says
    /// nothing of the node, which the module would else shun.
    pub(super) async fn connect(&self, id: ReplicaId) -> Result<ReplicaConnection, Outcome> {
        let to = self.listed.borrow().get(&id).map(|n| n.place).ok_or(Outcome::NotSent)?;
        if let Some(link) = self.reuse_idle(id) {
            return Ok(link);
        }
        if !self.make_room() {
            return Err(Outcome::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let count = OpenCount(Some(self.open.clone()));
        match timeout(self.connect_limit, TcpStream::connect(to.addr)).await {
            Ok(Ok(stream)) => Ok(count.into_link(BufferedConnection::new(stream), to)),
            Ok(Err(e)) if is_local(&e) => Err(Outcome::NotSent),
            _ => Err(Outcome::ConnectionRefused),
        }
    }
}

/// Whether a connection failed for a reason of this machine or process, which says nothing of the node: a call cut short by
/// a signal, or want of descriptors, memory, buffers or addresses.
fn is_local(e: &io::Error) -> bool {
    let kinds = [io::ErrorKind::Interrupted, io::ErrorKind::WouldBlock, io::ErrorKind::AddrNotAvailable];
    kinds.contains(&e.kind()) || is_resource_shortage(e)
}

/// A counted connection that is not up yet.
struct OpenCount(Option<Rc<Cell<usize>>>);

impl OpenCount {
    fn into_link(mut self, wire: BufferedConnection, to: ReplicaAddress) -> ReplicaConnection {
        ReplicaConnection { wire, to, reused: false, open: self.0.take().unwrap_or_default() }
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get() - 1);
        }
    }
}

#[cfg(test)]
mod tests;
