//! The replicas of the endpoint list and the pool of connections to them.

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

/// A connection without a request in flight.
struct IdleConnection {
    connection: ReplicaConnection,
    since: Instant,
}

/// A replica of the endpoint list.
struct ListedReplica {
    address: ReplicaAddress,
    ready: bool,
    /// The replica's name in the list, for the log.
    name: Rc<str>,
}

/// The replicas of the endpoint list, and the idle connections to them.
pub struct ReplicaPool {
    /// The dialect that the replicas speak.
    pub dialect: Dialect,
    max_connections: usize,
    /// Time after which an idle connection is closed.
    idle_timeout: Duration,
    /// Minimum idle time before a connection is reused. A late second response of a faulty
    /// replica would otherwise be read as the response to the next request.
    reuse_delay: Duration,
    connect_timeout: Duration,
    /// Replicas by the list's `id`, as their addresses may change and may differ between routers.
    listed: RefCell<FxHashMap<ReplicaId, ListedReplica>>,
    /// Idle connections of each listed replica, the most recently used last.
    idle: RefCell<FxHashMap<ReplicaId, Vec<IdleConnection>>>,
    /// Number of attempts whose request was written and whose connection is still open, by replica.
    in_flight: RefCell<FxHashMap<ReplicaId, u32>>,
    open: Rc<Cell<usize>>,
}

impl ReplicaPool {
    /// Creates a pool without replicas.
    pub fn new(dialect: Dialect, limits: &Limits) -> ReplicaPool {
        ReplicaPool {
            dialect,
            max_connections: limits.max_replica_connections,
            idle_timeout: limits.replica_idle_timeout,
            reuse_delay: limits.replica_reuse_delay,
            connect_timeout: limits.connect_timeout,
            listed: RefCell::default(),
            idle: RefCell::default(),
            in_flight: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// Adds or updates a replica. `started_ms` is its start time in Unix milliseconds. If its address or start time changed, its
    /// idle connections are closed.
    pub fn upsert(&self, id: ReplicaId, addr: SocketAddr, started_ms: u64, ready: bool) {
        let address = ReplicaAddress { id, addr, started_ms };
        let mut listed = self.listed.borrow_mut();
        let name = listed.get(&id).map(|known| known.name.clone()).unwrap_or_default();
        let previous = listed.insert(id, ListedReplica { address, ready, name });
        drop(listed);
        if previous.is_some_and(|previous| previous.address != address) {
            self.close_idle(id);
        }
    }

    /// Removes the replicas for which `keep` is false, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(ReplicaId) -> bool) {
        let mut listed = self.listed.borrow_mut();
        listed.retain(|id, _| keep(*id));
        self.idle.borrow_mut().retain(|id, _| listed.contains_key(id));
    }

    /// Removes replicas, and closes their idle connections.
    pub fn remove(&self, ids: &[ReplicaId]) {
        let (mut listed, mut idle) = (self.listed.borrow_mut(), self.idle.borrow_mut());
        for id in ids {
            listed.remove(id);
            idle.remove(id);
        }
    }

    /// Closes the idle connections of a replica, so that its next attempt opens a new one. On an open
    /// connection, an unreachable machine looks like a slow one; a new connection to it fails.
    pub fn close_idle(&self, id: ReplicaId) {
        self.idle.borrow_mut().remove(&id);
    }

    /// Number of ready replicas.
    pub fn ready_count(&self) -> usize {
        self.listed.borrow().values().filter(|replica| replica.ready).count()
    }

    /// Sets a replica's name in the list.
    pub fn set_name(&self, id: ReplicaId, name: &str) {
        if let Some(replica) = self.listed.borrow_mut().get_mut(&id).filter(|known| *known.name != *name) {
            replica.name = name.into();
        }
    }

    /// Returns a replica's name in the list; empty if the replica is not listed.
    pub fn name(&self, id: ReplicaId) -> Rc<str> {
        self.listed.borrow().get(&id).map(|replica| replica.name.clone()).unwrap_or_default()
    }

    /// Returns a replica's address.
    pub fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.listed.borrow().get(&id).map(|replica| replica.address.addr)
    }

    /// Number of attempts in flight at a replica.
    pub fn in_flight(&self, id: ReplicaId) -> u32 {
        self.in_flight.borrow().get(&id).copied().unwrap_or(0)
    }

    /// Number of open connections, and the number of idle ones among them.
    pub fn connection_counts(&self) -> (usize, usize) {
        (self.open.get(), self.idle.borrow().values().map(Vec::len).sum())
    }

    /// Closes connections that have been idle for too long or that the replica has closed.
    pub fn close_expired(&self) {
        let limit = self.idle_timeout;
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain_mut(|idle| idle.since.elapsed() < limit && !idle.connection.wire.is_unusable());
            !connections.is_empty()
        });
    }

    /// Counts an attempt as in flight at a replica until the guard is dropped.
    pub(super) fn begin_in_flight(self: &Rc<Self>, id: ReplicaId) -> InFlightGuard {
        *self.in_flight.borrow_mut().entry(id).or_default() += 1;
        InFlightGuard { pool: self.clone(), id }
    }

    /// Takes the most recently used idle connection that has been idle for the reuse delay. Reusing the most recent one lets the
    /// others reach the idle timeout and close.
    fn reuse_idle(&self, id: ReplicaId) -> Option<ReplicaConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&id)?;
        while let Some(at) = connections.iter().rposition(|idle| idle.since.elapsed() >= self.reuse_delay) {
            let mut idle = connections.remove(at);
            // A request on a connection that the replica has closed or is about to close would be reset.
            if idle.since.elapsed() < self.idle_timeout && !idle.connection.wire.is_unusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless its replica was removed, moved or restarted in the meantime.
    pub(super) fn return_connection(&self, mut connection: ReplicaConnection) {
        let id = connection.address.id;
        if self.listed.borrow().get(&id).is_some_and(|replica| replica.address == connection.address) {
            connection.wire.release_buffer();
            connection.reused = true;
            let idle = IdleConnection { since: Instant::now(), connection };
            self.idle.borrow_mut().entry(id).or_default().push(idle);
        }
    }

    /// Makes room for one more connection, closing the one idle for longest if needed. Returns false if all are in use.
    fn make_room(&self) -> bool {
        if self.open.get() < self.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|all| !all.is_empty()).min_by_key(|all| all[0].since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Whether a ready replica is at `address`. It may have started to drain, moved or restarted since the connection was
    /// requested.
    pub(super) fn is_ready_at(&self, address: &ReplicaAddress) -> bool {
        let listed = self.listed.borrow();
        listed.get(&address.id).is_some_and(|replica| replica.ready && replica.address == *address)
    }

    /// Returns an idle or a new connection to a replica. Cancel-safe: a connection that is being established is closed.
    ///
    /// # Errors
    /// Returns the reason why no connection is available.
    pub(super) async fn connect(&self, id: ReplicaId) -> Result<ReplicaConnection, ConnectError> {
        let address =
            self.listed.borrow().get(&id).map(|replica| replica.address).ok_or(ConnectError::NotReady)?;
        if let Some(connection) = self.reuse_idle(id) {
            return Ok(connection);
        }
        if !self.make_room() {
            return Err(ConnectError::LimitReached);
        }
        let open = OpenGuard::new(&self.open);
        let connecting = timeout(self.connect_timeout, TcpStream::connect(address.addr));
        let stream = connecting.await.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::from_io)?;
        Ok(ReplicaConnection::new(BufferedConnection::new(stream), address, open))
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
