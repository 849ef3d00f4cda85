//! A connection to a replica, and the errors of opening one.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::{fmt, io};

use tallypin::api::{Outcome, ReplicaId};

use crate::http::BufferedConnection;
use crate::shortage::is_resource_shortage;

/// A replica, its address and its start time. The address alone does not identify the process: a new replica may have the
/// address of a former one, and connections to the former one are dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReplicaAddress {
    pub id: ReplicaId,
    pub addr: SocketAddr,
    pub started_ms: u64,
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    pub fn new(open: &Rc<Cell<usize>>) -> OpenGuard {
        open.set(open.get() + 1);
        OpenGuard(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a replica.
#[derive(Debug)]
pub(super) struct ReplicaConnection {
    pub wire: BufferedConnection,
    /// The replica that the connection was opened to.
    pub address: ReplicaAddress,
    /// Whether the connection has carried a response before.
    pub reused: bool,
    _open: OpenGuard,
}

impl ReplicaConnection {
    /// Creates a newly opened connection.
    pub fn new(wire: BufferedConnection, address: ReplicaAddress, open: OpenGuard) -> ReplicaConnection {
        ReplicaConnection { wire, address, reused: false, _open: open }
    }
}

/// Why no connection to a replica is available.
#[derive(Debug)]
pub(super) enum ConnectError {
    /// The replica is not in the endpoint list, or does not accept new requests.
    NotReady,
    /// The maximum number of connections is open, and none of them is idle.
    LimitReached,
    /// An error of this machine or process, which says nothing about the replica.
    Local(io::Error),
    /// The replica refused the connection.
    Refused(io::Error),
    /// The connection was not established within the timeout.
    TimedOut,
}

impl ConnectError {
    /// Classifies a system error of a connection attempt.
    pub fn from_io(error: io::Error) -> ConnectError {
        match is_local_error(&error) {
            true => ConnectError::Local(error),
            false => ConnectError::Refused(error),
        }
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::NotReady => f.write_str("the replica is not ready"),
            ConnectError::LimitReached => f.write_str("too many connections are open"),
            ConnectError::Local(error) => write!(f, "local error of this machine: {error}"),
            ConnectError::Refused(error) => write!(f, "connection refused: {error}"),
            ConnectError::TimedOut => f.write_str("connection not established in time"),
        }
    }
}

impl std::error::Error for ConnectError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConnectError::Local(error) | ConnectError::Refused(error) => Some(error),
            _ => None,
        }
    }
}

impl From<ConnectError> for Outcome {
    /// Local errors count as not sent instead of refused: they say nothing about the replica, and refused connections would
    /// let the decision module eject it.
    fn from(error: ConnectError) -> Outcome {
        match error {
            ConnectError::NotReady | ConnectError::LimitReached | ConnectError::Local(_) => Outcome::NotSent,
            ConnectError::Refused(_) | ConnectError::TimedOut => Outcome::ConnectionRefused,
        }
    }
}

/// Whether a connection failed for a reason of this machine or process, which says nothing about the replica: a call
/// interrupted by a signal, or a lack of file descriptors, memory, buffers or addresses.
fn is_local_error(error: &io::Error) -> bool {
    let kinds = [io::ErrorKind::Interrupted, io::ErrorKind::WouldBlock, io::ErrorKind::AddrNotAvailable];
    kinds.contains(&error.kind()) || is_resource_shortage(error)
}

#[cfg(test)]
mod tests;
