//! What a router tells the balancers in front of it with its ordinary answers, and whose word it takes for where
//! a client is. Empty unless settings say otherwise, and then nothing is added to an answer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tallypin_health::assessment::Assessment;
use tallypin_health::proxy_protocol::{self, ProxyHeader, TrustedSenders};
use tokio::time::timeout;

use crate::http::BufferedConnection;

/// Who takes connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// The platform's front.
    Platform,
    /// The messages API.
    Messages,
    /// The check listeners.
    Checks,
}

/// Who may put a PROXY preface before a connection, and where one is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Gate {
    /// The balancers' networks.
    pub senders: TrustedSenders,
    /// The platform's front wants it.
    pub platform: bool,
    /// The messages API wants it.
    pub messages: bool,
    /// The check listeners want it.
    pub checks: bool,
    /// It must be whole within this.
    pub within: Duration,
}

impl Gate {
    fn wants(&self, door: Door) -> bool {
        match door {
            Door::Platform => self.platform,
            Door::Messages => self.messages,
            Door::Checks => self.checks,
        }
    }
}

/// Whose a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The client, as far as is known: as a preface tells it, or else the peer.
    pub client: Option<SocketAddr>,
}

/// What is told with answers, and the gate.
#[derive(Debug, Default)]
pub struct Outward {
    /// Fields that ordinary answers carry, each with its line end.
    fields: RefCell<Rc<str>>,
    gate: RefCell<Gate>,
    /// What balancers are told, where that is decided; answers for the state on the fronts go by it too.
    told: Cell<Option<Assessment>>,
    /// Connections closed for a preface that was none.
    unread: Cell<u64>,
}

impl Outward {
    /// The fields that ordinary answers carry now.
    pub fn fields(&self) -> Rc<str> {
        self.fields.borrow().clone()
    }

    /// Other fields from now on.
    pub fn say(&self, fields: &str) {
        if **self.fields.borrow() != *fields {
            *self.fields.borrow_mut() = fields.into();
        }
    }

    /// What balancers are told, where that is decided.
    pub fn told(&self) -> Option<Assessment> {
        self.told.get()
    }

    /// Balancers are told something else from now on.
    pub fn tell(&self, told: Assessment) {
        self.told.set(Some(told));
    }

    /// Another gate from now on; connections that stand are not looked at again.
    pub fn guard(&self, gate: Gate) {
        *self.gate.borrow_mut() = gate;
    }

    /// Connections closed for a preface that was none, so far.
    pub fn unread(&self) -> u64 {
        self.unread.get()
    }

    /// Finds out whose a connection is, taking the preface off it where one is due; `None`: it is to be closed.
    pub async fn origin(&self, door: Door, wire: &mut BufferedConnection) -> Option<Origin> {
        let (wanted, within) = {
            let gate = self.gate.borrow();
            (gate.wants(door), gate.within)
        };
        if !wanted {
            return Some(Origin { client: None });
        }
        let peer = wire.stream.peer_addr().ok()?;
        // From anybody else it is no preface but an attempt to be someone: it stays where it is, and is no
        // request either.
        if !self.gate.borrow().senders.contains(peer.ip()) {
            return Some(Origin { client: Some(peer) });
        }
        let found = timeout(within, read_preface(wire)).await;
        let why = match found {
            Ok(Ok(client)) => {
                return Some(Origin { client: client.or(Some(peer)) });
            }
            Ok(Err(why)) => why,
            Err(_) => "no whole PROXY preface in time",
        };
        self.unread.set(self.unread.get() + 1);
        tracing::debug!(target: "front", %peer, why, "connection closed");
        None
    }
}

/// Takes a preface off the front; `None` inside: it names nobody.
async fn read_preface(wire: &mut BufferedConnection) -> Result<Option<SocketAddr>, &'static str> {
    use bytes::Buf;
    loop {
        match proxy_protocol::parse(&wire.unread) {
            ProxyHeader::Incomplete => match wire.read_more().await {
                Ok(true) => {}
                _ => return Err("closed before its PROXY preface"),
            },
            ProxyHeader::Proxied(length, client) => {
                wire.unread.advance(length);
                return Ok(Some(client));
            }
            ProxyHeader::Local(length) => {
                wire.unread.advance(length);
                return Ok(None);
            }
            ProxyHeader::Invalid(why) => return Err(why),
        }
    }
}
