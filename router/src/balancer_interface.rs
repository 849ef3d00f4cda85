//! The router's interface to the balancers in front of it: the header fields that ordinary responses carry for them, and
//! the PROXY protocol by which they name the client of a connection. Both are off unless the settings enable them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tallypin_health::assessment::Assessment;
use tallypin_health::proxy_protocol::{self, ProxyHeader, TrustedSenders};
use tokio::time::timeout;

use crate::http::BufferedConnection;

/// The kind of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// The listener of the platform's front.
    Platform,
    /// The listener of the messages API.
    Messages,
    /// The listeners for health checks.
    Checks,
}

/// The senders that may use the PROXY protocol, and the listeners that require it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProxyProtocolPolicy {
    /// The networks of the balancers.
    pub trusted_senders: TrustedSenders,
    /// Whether the platform's front requires a PROXY header.
    pub platform: bool,
    /// Whether the messages API requires a PROXY header.
    pub messages: bool,
    /// Whether the check listeners require a PROXY header.
    pub checks: bool,
    /// Time after the accept within which the PROXY header must be complete.
    pub header_timeout: Duration,
}

impl ProxyProtocolPolicy {
    fn requires_header(&self, listener: ListenerKind) -> bool {
        match listener {
            ListenerKind::Platform => self.platform,
            ListenerKind::Messages => self.messages,
            ListenerKind::Checks => self.checks,
        }
    }
}

/// The origin of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionOrigin {
    /// The client's address, from the PROXY header or else from the socket; `None` if the listener requires no PROXY header.
    pub client: Option<SocketAddr>,
}

/// The header fields and the health state for balancers, and the PROXY protocol policy.
#[derive(Debug, Default)]
pub struct BalancerInterface {
    /// Header fields that ordinary responses carry, each with its line end.
    fields: RefCell<Rc<str>>,
    proxy_protocol: RefCell<ProxyProtocolPolicy>,
    /// The advertised assessment, if health checks are enabled. The health pages of the fronts use it as well.
    assessment: Cell<Option<Assessment>>,
    /// Number of connections closed because of a missing or invalid PROXY header.
    invalid_headers: Cell<u64>,
}

impl BalancerInterface {
    /// Returns the header fields that ordinary responses carry, each with its line end.
    pub fn response_fields(&self) -> Rc<str> {
        self.fields.borrow().clone()
    }

    /// Replaces the header fields that ordinary responses carry.
    pub fn set_response_fields(&self, fields: &str) {
        if **self.fields.borrow() != *fields {
            *self.fields.borrow_mut() = fields.into();
        }
    }

    /// Returns the assessment that balancers receive; `None` if health checks are not enabled.
    pub fn assessment(&self) -> Option<Assessment> {
        self.assessment.get()
    }

    /// Replaces the assessment that balancers receive.
    pub fn set_assessment(&self, assessment: Assessment) {
        self.assessment.set(Some(assessment));
    }

    /// Replaces the PROXY protocol policy for new connections.
    pub fn set_proxy_protocol_policy(&self, policy: ProxyProtocolPolicy) {
        *self.proxy_protocol.borrow_mut() = policy;
    }

    /// Returns the number of connections closed because of a missing or invalid PROXY header.
    pub fn invalid_headers(&self) -> u64 {
        self.invalid_headers.get()
    }

    /// Determines the origin of a connection, and removes its PROXY header if the listener requires one. Returns `None` if
    /// the connection is to be closed.
    pub async fn read_origin(
        &self,
        listener: ListenerKind,
        wire: &mut BufferedConnection,
    ) -> Option<ConnectionOrigin> {
        let (required, within) = {
            let policy = self.proxy_protocol.borrow();
            (policy.requires_header(listener), policy.header_timeout)
        };
        if !required {
            return Some(ConnectionOrigin { client: None });
        }
        let peer = wire.stream.peer_addr().ok()?;
        // A PROXY header from an untrusted sender may be forged. It is left in the stream, where it fails to parse as a
        // request.
        if !self.proxy_protocol.borrow().trusted_senders.contains(peer.ip()) {
            return Some(ConnectionOrigin { client: Some(peer) });
        }
        let result = timeout(within, read_proxy_header(wire)).await;
        let why = match result {
            Ok(Ok(client)) => {
                return Some(ConnectionOrigin { client: client.or(Some(peer)) });
            }
            Ok(Err(why)) => why,
            Err(_) => "PROXY header was not complete in time",
        };
        self.invalid_headers.set(self.invalid_headers.get() + 1);
        tracing::debug!(target: "front", %peer, why, "connection closed: no valid PROXY header");
        None
    }
}

/// Reads and removes the PROXY header. Returns the client's address; `Ok(None)` if the header names none.
async fn read_proxy_header(wire: &mut BufferedConnection) -> Result<Option<SocketAddr>, &'static str> {
    use bytes::Buf;
    loop {
        match proxy_protocol::parse(&wire.read_buffer) {
            ProxyHeader::Incomplete => match wire.read_more().await {
                Ok(true) => {}
                _ => return Err("connection closed before its PROXY header was complete"),
            },
            ProxyHeader::Proxied(length, client) => {
                wire.read_buffer.advance(length);
                return Ok(Some(client));
            }
            ProxyHeader::Local(length) => {
                wire.read_buffer.advance(length);
                return Ok(None);
            }
            ProxyHeader::Invalid(why) => return Err(why),
        }
    }
}
