//! The replicas of the endpoint list, and the connections to them: opened, kept while idle, reused, closed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tallypin::api::ReplicaId;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection::{ConnectError, OpenGuard, ReplicaAddress, ReplicaConnection};
use crate::dialect::Dialect;
use crate::http::BufferedConnection;
use crate::limits::Limits;

/// A connection that carries nothing.
struct IdleConnection {
    connection: ReplicaConnection,
    since: Instant,
}

/// A replica of the endpoint list.
struct ListedReplica {
    address: ReplicaAddress,
    ready: bool,
    /// Its name in the list, for the log.
    name: Rc<str>,
}

/// The replicas of the endpoint list, and idle connections to them.
pub struct ReplicaPool {
    /// The dialect that the replicas speak.
    pub dialect: Dialect,
    max_connections: usize,
    /// An idle connection is closed after this,
    idle_limit: Duration,
    /// and not reused before this: a second response that comes late would else be taken for the next request's.
    rest: Duration,
    connect_limit: Duration,
    /// By the list's `id`: the address may differ from router to router and change.
    listed: RefCell<FxHashMap<ReplicaId, ListedReplica>>,
    /// By replica, the most recently used last; only for replicas that are listed.
    idle: RefCell<FxHashMap<ReplicaId, Vec<IdleConnection>>>,
    /// Attempts whose request has been written and whose connection is still open, by replica.
    in_flight: RefCell<FxHashMap<ReplicaId, u32>>,
    open: Rc<Cell<usize>>,
}

impl ReplicaPool {
    /// No replicas yet.
    pub fn new(dialect: Dialect, limits: &Limits) -> ReplicaPool {
        ReplicaPool {
            dialect,
            max_connections: limits.max_replica_connections,
            idle_limit: limits.replica_idle_timeout,
            rest: limits.replica_reuse_delay,
            connect_limit: limits.connect_timeout,
            listed: RefCell::default(),
            idle: RefCell::default(),
            in_flight: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// A replica is at this address since `started_ms`, and ready or not. If it was elsewhere, or has started again, its
    /// idle connections are closed.
    pub fn upsert(&self, id: ReplicaId, addr: SocketAddr, started_ms: u64, ready: bool) {
        let address = ReplicaAddress { id, addr, started_ms };
        let mut listed = self.listed.borrow_mut();
        let name = listed.get(&id).map(|known| known.name.clone()).unwrap_or_default();
        let before = listed.insert(id, ListedReplica { address, ready, name });
        drop(listed);
        if before.is_some_and(|before| before.address != address) {
            self.close_idle(id);
        }
    }

    /// Forgets the replicas that are not to be kept, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(ReplicaId) -> bool) {
        let mut listed = self.listed.borrow_mut();
        listed.retain(|id, _| keep(*id));
        self.idle.borrow_mut().retain(|id, _| listed.contains_key(id));
    }

    /// Forgets replicas, and closes their idle connections.
    pub fn remove(&self, gone: &[ReplicaId]) {
        let (mut listed, mut idle) = (self.listed.borrow_mut(), self.idle.borrow_mut());
        for id in gone {
            listed.remove(id);
            idle.remove(id);
        }
    }

    /// Closes the idle connections of a replica: the next attempt there has to open a new one. A machine that is cut off
    /// sends nothing on the connections it had, and shows only by new ones that are not established.
    pub fn close_idle(&self, id: ReplicaId) {
        self.idle.borrow_mut().remove(&id);
    }

    /// How many replicas are ready.
    pub fn ready_count(&self) -> usize {
        self.listed.borrow().values().filter(|replica| replica.ready).count()
    }

    /// Sets a replica's name in the list.
    pub fn set_name(&self, id: ReplicaId, name: &str) {
        if let Some(replica) = self.listed.borrow_mut().get_mut(&id).filter(|known| *known.name != *name) {
            replica.name = name.into();
        }
    }

    /// A replica's name in the list, empty if it is not known.
    pub fn name(&self, id: ReplicaId) -> Rc<str> {
        self.listed.borrow().get(&id).map(|replica| replica.name.clone()).unwrap_or_default()
    }

    /// Where a replica is.
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.listed.borrow().get(&id).map(|replica| replica.address.addr)
    }

    /// How many attempts are in flight at a replica.
    pub fn in_flight(&self, id: ReplicaId) -> u32 {
        self.in_flight.borrow().get(&id).copied().unwrap_or(0)
    }

    /// How many connections are open, and how many of them are idle.
    pub fn connection_counts(&self) -> (usize, usize) {
        (self.open.get(), self.idle.borrow().values().map(Vec::len).sum())
    }

    /// Closes connections that have been idle for too long or that the replica has closed.
    pub fn close_expired(&self) {
        let limit = self.idle_limit;
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain_mut(|idle| idle.since.elapsed() < limit && !idle.connection.wire.is_unusable());
            !connections.is_empty()
        });
    }

    /// Counts an attempt as in flight at a replica until the guard is dropped.
    pub(super) fn count_in_flight(self: &Rc<Self>, id: ReplicaId) -> InFlightGuard {
        *self.in_flight.borrow_mut().entry(id).or_default() += 1;
        InFlightGuard { pool: self.clone(), id }
    }

    /// The most recently used idle connection that has rested: the others then grow old and are closed.
    fn reuse_idle(&self, id: ReplicaId) -> Option<ReplicaConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&id)?;
        while let Some(at) = connections.iter().rposition(|idle| idle.since.elapsed() >= self.rest) {
            let mut idle = connections.remove(at);
            // A replica that closed it, or is about to, would turn the next request into a reset.
            if idle.since.elapsed() < self.idle_limit && !idle.connection.wire.is_unusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for later, unless its replica has gone, moved or started again meanwhile.
    pub(super) fn give_back(&self, mut connection: ReplicaConnection) {
        let id = connection.to.id;
        if self.listed.borrow().get(&id).is_some_and(|replica| replica.address == connection.to) {
            connection.wire.release_buffer();
            connection.reused = true;
            let idle = IdleConnection { since: Instant::now(), connection };
            self.idle.borrow_mut().entry(id).or_default().push(idle);
        }
    }

    /// Makes room for one more connection, if need be by closing the one idle for longest; false if all are in use.
    fn make_room(&self) -> bool {
        if self.open.get() < self.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|all| !all.is_empty()).min_by_key(|all| all[0].since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Whether a connection still leads to a ready replica: it may drain, have moved or have started again since the
    /// connection was asked for.
    pub(super) fn is_ready_at(&self, address: &ReplicaAddress) -> bool {
        let listed = self.listed.borrow();
        listed.get(&address.id).is_some_and(|replica| replica.ready && replica.address == *address)
    }

    /// A connection to a replica: an idle one, or a new one. Cancel-safe: a connection that is being established is closed.
    ///
    /// # Errors
    /// There is no connection, for a reason of the replica or of this machine.
    pub(super) async fn connect(&self, id: ReplicaId) -> Result<ReplicaConnection, ConnectError> {
        let to =
            self.listed.borrow().get(&id).map(|replica| replica.address).ok_or(ConnectError::NotReady)?;
        if let Some(connection) = self.reuse_idle(id) {
            return Ok(connection);
        }
        if !self.make_room() {
            return Err(ConnectError::LimitReached);
        }
        let open = OpenGuard::new(&self.open);
        let connecting = timeout(self.connect_limit, TcpStream::connect(to.addr));
        let stream = connecting.await.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::of)?;
        Ok(ReplicaConnection::new(BufferedConnection::new(stream), to, open))
    }
}

/// Counts an attempt as in flight at a replica until it is dropped.
pub(super) struct InFlightGuard {
    pool: Rc<ReplicaPool>,
    id: ReplicaId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.pool.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&self.id) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.id);
            }
        }
    }
}
