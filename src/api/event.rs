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
    /// An attempt has had its first token: its stream goes to the client from now on, without a deadline.
    FirstToken {
        /// The request of the attempt.
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// Time since the send.
        elapsed: Nanos,
    },
    /// An attempt has ended. Each attempt ends exactly once.
    AttemptEnded(AttemptEnded),
    /// The client has disconnected: no answer is owed.
    ClientLeft(RequestId),
    /// A timer set by [`Action::WakeAt`](crate::api::Action::WakeAt) has fired.
    Timer(u64),
    /// A health check has ended.
    ProbeEnded {
        /// The checked replica.
        replica: ReplicaId,
        /// Result of the health check.
        outcome: Outcome,
        /// Load report, as in [`Event::AttemptEnded`].
        load: Vec<f64>,
    },
    /// A message from a peer has arrived.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}
