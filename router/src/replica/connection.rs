//! A connection to a replica, counted while it is open.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::{fmt, io};

use tallypin::api::{Outcome, ReplicaId};

use crate::http::BufferedConnection;
use crate::shortage::is_resource_shortage;

/// Which replica, where, and in which of its incarnations. The address alone does not say that: a new replica may stand
/// where one has gone, and what was opened to that one is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReplicaAddress {
    pub id: ReplicaId,
    pub addr: SocketAddr,
    pub started_ms: u64,
}

/// Counts one connection among the open ones until it is dropped.
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
    /// Whom it was opened to.
    pub to: ReplicaAddress,
    /// It has carried a response before.
    pub reused: bool,
    _open: OpenGuard,
}

impl ReplicaConnection {
    /// A new connection.
    pub fn new(wire: BufferedConnection, to: ReplicaAddress, open: OpenGuard) -> ReplicaConnection {
        ReplicaConnection { wire, to, reused: false, _open: open }
    }
}

/// Why there is no connection to a replica.
#[derive(Debug)]
pub(super) enum ConnectError {
    /// The endpoint list does not have it, or it takes no new requests any longer.
    NotReady,
    /// As many connections are open as may be, and none of them is idle.
    LimitReached,
    /// A fault of this machine or process, which says nothing of the replica.
    Local(io::Error),
    /// The replica refused it.
    Refused(io::Error),
    /// It was not established in time.
    TimedOut,
}

impl ConnectError {
    /// Why a connection attempt failed with this error of the system.
    pub fn of(error: io::Error) -> ConnectError {
        match is_local(&error) {
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
            ConnectError::Local(error) => write!(f, "fault of this machine: {error}"),
            ConnectError::Refused(error) => write!(f, "refused: {error}"),
            ConnectError::TimedOut => f.write_str("not established in time"),
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
    /// What fails for want of anything here is not sent rather than refused: it says nothing of the replica, which the
    /// decisions would else eject.
    fn from(error: ConnectError) -> Outcome {
        match error {
            ConnectError::NotReady | ConnectError::LimitReached | ConnectError::Local(_) => Outcome::NotSent,
            ConnectError::Refused(_) | ConnectError::TimedOut => Outcome::ConnectionRefused,
        }
    }
}

/// Whether a connection failed for a reason of this machine or process, which says nothing of the replica: a call cut short
/// by a signal, or want of descriptors, memory, buffers or addresses.
fn is_local(error: &io::Error) -> bool {
    let kinds = [io::ErrorKind::Interrupted, io::ErrorKind::WouldBlock, io::ErrorKind::AddrNotAvailable];
    kinds.contains(&error.kind()) || is_resource_shortage(error)
}

#[cfg(test)]
mod tests;
