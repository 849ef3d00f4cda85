//! What a router hands in.

use super::endpoint::{EndpointEntry, ListUpdate};
use super::ids::{Nanos, PeerId, ReplicaId, RequestId};
use super::request::{AttemptEnded, Outcome, Request};

/// What has happened at a router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// What it holds.
        kind: ListUpdate,
        /// The entries.
        rows: Vec<EndpointEntry>,
    },
    /// A request.
    Request(Request),
    /// An attempt has had its first token: the client gets its stream from here on, without a deadline.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Time since its send.
        elapsed: Nanos,
    },
    /// An attempt has ended. Each has exactly one.
    AttemptEnded(AttemptEnded),
    /// The client has left: no answer is owed.
    ClientLeft(RequestId),
    /// A timer set by [`Action::WakeAt`](crate::api::Action::WakeAt).
    Timer(u64),
    /// A health check has ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// How it went.
        outcome: Outcome,
        /// The load report, as in [`Event::AttemptEnded`].
        load: Vec<f64>,
    },
    /// A message from a peer.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// What it sent.
        bytes: Vec<u8>,
    },
}
