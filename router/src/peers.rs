//! Messages between the routers of a deployment, as datagrams: load reports, and which replicas take nothing new.

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

/// The most bytes of a message; a longer one would void the platform's run.
const MAX_MESSAGE_BYTES: usize = 256;

/// The pause after an error of the socket. Want of memory, say, would fail again at once, and again.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Messages that were not used, since the start, by the reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedMessages {
    /// From addresses that are no peer's, or too long.
    pub strangers: u64,
    /// From peers with other tenants, or of another version.
    pub foreign: u64,
    /// Malformed reports.
    pub malformed: u64,
}

/// Why a message is not used.
#[derive(Debug, Clone, Copy)]
enum DropReason {
    /// It comes from no peer, or is too long.
    Stranger,
    /// It is no usable report.
    Report(ReportError),
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DropReason::Stranger => f.write_str("from no peer, or too long"),
            DropReason::Report(error) => error.fmt(f),
        }
    }
}

/// The socket for load reports, and what has been heard on it.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    addresses: PeerAddresses,
    /// This router's index among the addresses.
    own_index: usize,
    /// The digest that the other routers' reports have to carry.
    digest: TenantsDigest,
    dropped: Cell<DroppedMessages>,
    /// When another router was last heard.
    heard_at: Cell<Option<Instant>>,
    /// When another router last reported requests that it had served.
    served_at: Cell<Option<Instant>>,
}

impl Peers {
    /// Listens for the other routers.
    ///
    /// # Errors
    /// The socket can't be had; want of resources is waited out for a while.
    pub async fn new(addresses: PeerAddresses, own: PeerId, digest: TenantsDigest) -> io::Result<Peers> {
        let socket = bind::bind_with_retry(async || UdpSocket::bind(addresses.listen).await).await?;
        // Until the runtime has seen that it can be written, what is sent at once would be lost.
        socket.writable().await?;
        Ok(Peers {
            socket,
            addresses,
            own_index: own.0 as usize,
            digest,
            dropped: Cell::default(),
            heard_at: Cell::new(None),
            served_at: Cell::new(None),
        })
    }

    /// Sends a message to all other routers. What cannot go out at once is lost, as it may be on the way.
    pub fn gossip(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            tracing::warn!(target: "peers", bytes = bytes.len(), limit = MAX_MESSAGE_BYTES,
                "load report too long, not sent");
            return;
        }
        let send = |to: SocketAddr| drop(self.socket.try_send_to(bytes, to));
        match self.addresses.all {
            Some(all) => send(all),
            None => {
                let others = self.addresses.each.iter().enumerate().filter(|(i, _)| *i != self.own_index);
                others.for_each(|(_, to)| send(*to));
            }
        }
    }

    /// Sends a message to one other router; it may be lost as well.
    pub fn send_to(&self, peer: PeerId, bytes: &[u8]) {
        let address = self.addresses.each.get(peer.0 as usize);
        if let Some(to) = address.filter(|_| bytes.len() <= MAX_MESSAGE_BYTES) {
            let _ = self.socket.try_send_to(bytes, *to);
        }
    }

    /// The next message of another router, be it a usable report or not: the decisions read it for themselves. Cancel-safe:
    /// no message is lost while it is waited for.
    pub async fn receive(&self) -> (PeerId, Vec<u8>) {
        // One byte more than a message may have, to detect a longer one.
        let mut buf = [0u8; MAX_MESSAGE_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buf).await else {
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            let Some(peer) = self.peer_at(from).filter(|_| length <= MAX_MESSAGE_BYTES) else {
                self.record_dropped(DropReason::Stranger);
                continue;
            };
            self.record_heard(&buf[..length]);
            return (peer, buf[..length].to_vec());
        }
    }

    /// Takes note of a message of a peer. One about drains may come from a router that has just started, or is about to
    /// end, and tells nothing of whether clients can go there.
    fn record_heard(&self, bytes: &[u8]) {
        if DrainMessage::is_one(bytes) {
            tracing::debug!(target: "peers", message = ?DrainMessage::decode(bytes), "message about drains");
            return;
        }
        self.heard_at.set(Some(Instant::now()));
        let serves = |report: &ServedReport| report.served.iter().any(|count| count.requests > 0);
        match served_report::decode(self.digest, bytes) {
            Ok(report) if serves(&report) => self.served_at.set(self.heard_at.get()),
            Ok(_) => {}
            Err(error) => self.record_dropped(DropReason::Report(error)),
        }
    }

    /// Messages that were not used, since the start.
    pub fn dropped(&self) -> DroppedMessages {
        self.dropped.get()
    }

    /// Counts a message that is not used; the first of each kind is logged.
    fn record_dropped(&self, reason: DropReason) {
        let mut dropped = self.dropped.get();
        let count = match reason {
            DropReason::Stranger => &mut dropped.strangers,
            DropReason::Report(ReportError::ForeignDigest) => &mut dropped.foreign,
            DropReason::Report(ReportError::Malformed) => &mut dropped.malformed,
        };
        *count += 1;
        if *count == 1 {
            tracing::warn!(target: "peers", %reason, "message dropped, further ones are counted");
        }
        self.dropped.set(dropped);
    }

    /// Whether another router has been heard within a time. One that is about to end sends nothing.
    pub fn heard_within(&self, time: Duration) -> bool {
        self.heard_at.get().is_some_and(|at| at.elapsed() < time)
    }

    /// When another router last reported requests that it had served.
    pub fn served_at(&self) -> Option<Instant> {
        self.served_at.get()
    }

    /// The other router at an address.
    fn peer_at(&self, address: SocketAddr) -> Option<PeerId> {
        let index = self.addresses.each.iter().position(|peer| *peer == address)?;
        (index != self.own_index).then_some(PeerId(index as u32))
    }
}

/// Hands the messages of the other routers to the core. Never ends.
pub async fn receive_gossip(peers: Rc<Peers>, dispatcher: Rc<Dispatcher>) {
    loop {
        let (from, bytes) = peers.receive().await;
        dispatcher.with(|core, now| core.peer_message_received(now, from, bytes));
    }
}
