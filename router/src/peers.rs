//! Datagrams between the routers of a deployment: load reports and drain notices.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use std::{fmt, io};

use tallypin::api::{PeerId, TenantsDigest};
use tallypin::drain_notice::DrainMessage;
use tallypin::served_report::{self, ReportError, ServedReport};
use tokio::net::UdpSocket;

use crate::bind;
use crate::config::PeerAddresses;
use crate::dispatcher::Dispatcher;

/// Maximum size of a message, in bytes. The platform does not permit longer ones.
const MAX_MESSAGE_BYTES: usize = 256;

/// Delay after a socket error. An error such as a lack of memory would otherwise recur in a busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Counts of dropped messages since the router started, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedMessages {
    /// Messages from addresses that are no peer's, and messages that are too long.
    pub unknown_senders: u64,
    /// Reports of peers with other tenants or of another version.
    pub incompatible: u64,
    /// Malformed reports.
    pub malformed: u64,
}

/// Why a message is dropped.
#[derive(Debug, Clone, Copy)]
enum DropReason {
    /// The sender is not a peer, or the message is too long.
    UnknownSender,
    /// The message is not a valid report of a router with the same settings.
    Report(ReportError),
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DropReason::UnknownSender => f.write_str("sender is not a peer, or message too long"),
            DropReason::Report(error) => error.fmt(f),
        }
    }
}

/// The socket for messages between routers, and the times of received messages.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    addresses: PeerAddresses,
    /// This router's index among the addresses.
    own_index: usize,
    /// The digest of the tenants that the reports of other routers must contain.
    digest: TenantsDigest,
    dropped: Cell<DroppedMessages>,
    /// When the last message other than a drain notice arrived.
    last_message_at: Cell<Option<Instant>>,
    /// When the last report with served requests arrived.
    served_at: Cell<Option<Instant>>,
}

impl Peers {
    /// Binds the socket for messages of the other routers.
    ///
    /// # Errors
    /// Returns an error if the socket can't be bound. Resource shortages are retried for a limited time.
    pub async fn new(addresses: PeerAddresses, own: PeerId, digest: TenantsDigest) -> io::Result<Peers> {
        let socket = bind::bind_with_retry(async || UdpSocket::bind(addresses.listen).await).await?;
        // Before the runtime knows that the socket is writable, `try_send_to` would drop messages.
        socket.writable().await?;
        Ok(Peers {
            socket,
            addresses,
            own_index: own.0 as usize,
            digest,
            dropped: Cell::default(),
            last_message_at: Cell::new(None),
            served_at: Cell::new(None),
        })
    }

    /// Sends a message to all other routers. A message that cannot be sent without waiting is lost; datagrams may be lost in
    /// transit as well.
    pub fn gossip(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            tracing::warn!(target: "peers", bytes = bytes.len(), limit = MAX_MESSAGE_BYTES,
                "load report not sent: too long");
            return;
        }
        let send = |to: SocketAddr| drop(self.socket.try_send_to(bytes, to));
        match self.addresses.broadcast {
            Some(all) => send(all),
            None => {
                let others = self.addresses.routers.iter().enumerate().filter(|(i, _)| *i != self.own_index);
                others.for_each(|(_, to)| send(*to));
            }
        }
    }

    /// Sends a message to one other router. It may be lost.
    pub fn send_to(&self, peer: PeerId, bytes: &[u8]) {
        let address = self.addresses.routers.get(peer.0 as usize);
        if let Some(to) = address.filter(|_| bytes.len() <= MAX_MESSAGE_BYTES) {
            let _ = self.socket.try_send_to(bytes, *to);
        }
    }

    /// Returns the next message of another router, valid or not, as the decision module decodes it itself. Cancel-safe: no
    /// message is lost.
    pub async fn receive(&self) -> (PeerId, Vec<u8>) {
        // One byte more than the maximum, to detect longer messages.
        let mut buf = [0u8; MAX_MESSAGE_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buf).await else {
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            let Some(peer) = self.peer_at(from).filter(|_| length <= MAX_MESSAGE_BYTES) else {
                self.record_dropped(DropReason::UnknownSender);
                continue;
            };
            self.record_received(&buf[..length]);
            return (peer, buf[..length].to_vec());
        }
    }

    /// Records the arrival of a peer's message. Drain notices do not count, as a router that is starting or shutting down
    /// sends them as well: they do not show that clients can connect to it.
    fn record_received(&self, bytes: &[u8]) {
        if DrainMessage::is_drain_message(bytes) {
            tracing::debug!(target: "peers", message = ?DrainMessage::decode(bytes), "drain notice received");
            return;
        }
        self.last_message_at.set(Some(Instant::now()));
        let serves = |report: &ServedReport| report.served.iter().any(|count| count.requests > 0);
        match served_report::decode(self.digest, bytes) {
            Ok(report) if serves(&report) => self.served_at.set(self.last_message_at.get()),
            Ok(_) => {}
            Err(error) => self.record_dropped(DropReason::Report(error)),
        }
    }

    /// Counts of dropped messages since the router started.
    pub fn dropped(&self) -> DroppedMessages {
        self.dropped.get()
    }

    /// Counts a dropped message, and logs the first one of each reason.
    fn record_dropped(&self, reason: DropReason) {
        let mut dropped = self.dropped.get();
        let count = match reason {
            DropReason::UnknownSender => &mut dropped.unknown_senders,
            DropReason::Report(ReportError::ForeignDigest) => &mut dropped.incompatible,
            DropReason::Report(ReportError::Malformed) => &mut dropped.malformed,
        };
        *count += 1;
        if *count == 1 {
            tracing::warn!(target: "peers", %reason, "datagram dropped: further ones with this reason are only counted");
        }
        self.dropped.set(dropped);
    }

    /// Whether a message other than a drain notice arrived within the last `time`. A router that is shutting down sends no load
    /// reports.
    pub fn received_within(&self, time: Duration) -> bool {
        self.last_message_at.get().is_some_and(|at| at.elapsed() < time)
    }

    /// When the last report with served requests arrived.
    pub fn last_served_report_at(&self) -> Option<Instant> {
        self.served_at.get()
    }

    /// Returns the other router at an address.
    fn peer_at(&self, address: SocketAddr) -> Option<PeerId> {
        let index = self.addresses.routers.iter().position(|peer| *peer == address)?;
        (index != self.own_index).then_some(PeerId(index as u32))
    }
}

/// Passes the messages of the other routers to the core. Never returns.
pub async fn receive_messages(peers: Rc<Peers>, dispatcher: Rc<Dispatcher>) {
    loop {
        let (from, bytes) = peers.receive().await;
        dispatcher.with_core(|core, now| core.peer_message_received(now, from, bytes));
    }
}
