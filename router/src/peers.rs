//! Datagrams between the routers of a deployment.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tallypin::api::{PeerId, TenantsDigest};
use tallypin::served_report::{self, ReportError};
use tokio::net::UdpSocket;

use crate::bind;
use crate::config::PeerAddresses;
use crate::dispatcher::Dispatcher;

/// The most bytes of a message; a longer one would void the run.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// After an error of a moment a message is waited for again after this.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Messages that were not gone by, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedMessages {
    /// From addresses that are no peer's, or too long.
    pub strangers: u64,
    /// From peers with other tenants, or of another version.
    pub foreign: u64,
    /// Torn, or saying what cannot be.
    pub malformed: u64,
}

/// Why a message is not gone by.
#[derive(Debug, Clone, Copy)]
enum Unusable {
    /// It comes from no peer, or is too long.
    Stranger,
    /// It is no report to go by.
    Report(ReportError),
}

/// The way to the other routers.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    addresses: PeerAddresses,
    me: usize,
    /// What the own reports are told apart by.
    digest: TenantsDigest,
    /// Messages from strangers, from routers with other tenants or of another version, and malformed ones.
    dropped: Cell<DroppedMessages>,
    /// When another router was heard last.
    heard: Cell<Option<Instant>>,
    /// When another router last told of requests that it had served.
    served: Cell<Option<Instant>>,
}

impl Peers {
    /// Listens for the other routers; `me` is the own number, `digest` what their reports have to agree in.
    pub async fn new(addresses: PeerAddresses, me: PeerId, digest: TenantsDigest) -> io::Result<Peers> {
        let socket = bind::bind_with_retry(async || UdpSocket::bind(addresses.listen).await).await?;
        // Until the runtime has seen that it can be written, what is sent at once would be lost.
        socket.writable().await?;
        Ok(Peers {
            socket,
            addresses,
            me: me.0 as usize,
            digest,
            dropped: Cell::default(),
            heard: Cell::new(None),
            served: Cell::new(None),
        })
    }

    /// Tells all other routers. What cannot go out at once is lost, as it may be on the way.
    pub fn gossip(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            tracing::warn!(target: "peers", bytes = bytes.len(), most = MAX_MESSAGE_BYTES, "message too long, dropped");
            return;
        }
        match self.addresses.all {
            Some(all) => drop(self.socket.try_send_to(bytes, all)),
            None => {
                let others = self.addresses.each.iter().enumerate().filter(|(i, _)| *i != self.me);
                others.for_each(|(_, to)| drop(self.socket.try_send_to(bytes, *to)));
            }
        }
    }

    /// The next message, and the number of the router that it came from.
    pub async fn receive(&self) -> (PeerId, Vec<u8>) {
        // One byte more than a message may have, to tell a longer one.
        let mut buf = [0u8; MAX_MESSAGE_BYTES + 1];
        loop {
            let Ok((n, from)) = self.socket.recv_from(&mut buf).await else {
                // Want of memory, say: at once it would fail again, and again.
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            // Whoever is not among the peers, or says too much, is not heard.
            let Some(peer) = self.number(from).filter(|peer| n <= MAX_MESSAGE_BYTES && *peer != self.me)
            else {
                self.note_dropped(Unusable::Stranger);
                continue;
            };
            self.heard.set(Some(Instant::now()));
            match served_report::decode(self.digest, &buf[..n]) {
                Ok(report) if report.served.iter().any(|(_, hits)| *hits > 0) => {
                    self.served.set(self.heard.get());
                }
                Ok(_) => {}
                Err(why) => self.note_dropped(Unusable::Report(why)),
            }
            return (PeerId(peer as u32), buf[..n].to_vec());
        }
    }

    /// Messages that were not gone by, since the start.
    pub fn dropped(&self) -> DroppedMessages {
        self.dropped.get()
    }

    /// Counts a message that is not gone by; the first of each kind is logged.
    fn note_dropped(&self, why: Unusable) {
        let mut dropped = self.dropped.get();
        let (count, what) = match why {
            Unusable::Stranger => (&mut dropped.strangers, "is no peer's or too long"),
            Unusable::Report(ReportError::ForeignDigest) => {
                (&mut dropped.foreign, "is of a router with other tenants or of another version")
            }
            Unusable::Report(ReportError::Malformed) => (&mut dropped.malformed, "is malformed"),
        };
        *count += 1;
        if *count == 1 {
            tracing::warn!(target: "peers", "a message that {what}, dropped; later ones are counted");
        }
        self.dropped.set(dropped);
    }

    /// Whether another router has been heard within a time. One that is about to end says nothing.
    pub fn heard_within(&self, time: Duration) -> bool {
        self.heard.get().is_some_and(|at| at.elapsed() < time)
    }

    /// When another router last told of requests that it had served.
    pub fn served_at(&self) -> Option<Instant> {
        self.served.get()
    }

    fn number(&self, from: SocketAddr) -> Option<usize> {
        self.addresses.each.iter().position(|a| *a == from)
    }
}

/// Hands what the other routers say to the core. Ends never.
pub async fn receive_gossip(peers: Rc<Peers>, dispatcher: Rc<Dispatcher>) {
    loop {
        let (from, bytes) = peers.receive().await;
        dispatcher.with(|core, now| core.report_received(now, from, bytes));
    }
}
