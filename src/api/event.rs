//! Inputs of the decisions.

use super::endpoint::{EndpointEntry, ListUpdate};
use super::ids::{Nanos, PeerId, ReplicaId, RequestId};
use super::request::{AttemptEnded, Outcome, Request};

/// An event at a router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// Content of the update.
        kind: ListUpdate,
        /// Entries of the update.
        entries: Vec<EndpointEntry>,
    },
    /// A request has arrived.
    Request(Request),
    /// The first token of an attempt has arrived. From now on the attempt's stream is forwarded to the client, without a
    /// deadline.
    FirstToken {
        /// The request of the attempt.
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// Time since the attempt was sent, ns.
        elapsed: Nanos,
    },
    /// An attempt has ended. Each attempt ends exactly once.
    AttemptEnded(AttemptEnded),
    /// The client of a request has disconnected, so the request needs no answer.
    ClientLeft(RequestId),
    /// A timer set by [`Action::WakeAt`](crate::api::Action::WakeAt) has fired.
    Timer(u64),
    /// A health check has ended.
    ProbeEnded {
        /// The checked replica.
        replica: ReplicaId,
        /// Result of the health check.
        outcome: Outcome,
        /// The replica's load report, as in [`Event::AttemptEnded`].
        load: Vec<f64>,
    },
    /// A message from a peer has arrived.
    PeerMessage {
        /// Router that sent the message.
        from: PeerId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}
