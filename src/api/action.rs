//! Outputs of the decisions.

use super::ids::{Nanos, PeerId, ReplicaId, RequestId};
use super::request::RejectReason;

/// An action for the router. The actions of one event are performed in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// Request to send.
        request: RequestId,
        /// Replica that receives the attempt.
        replica: ReplicaId,
        /// Time after the send within which the first token must arrive, ns.
        timeout: Nanos,
    },
    /// Final answer: the request is rejected. The client may safely repeat it.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time after which the client may retry, ns; 0 for no Retry-After.
        retry_after: Nanos,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Final answer: the request failed. Its effect may have happened, so repeating it may not be safe.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
    /// Send a health check to a replica.
    Probe(ReplicaId),
    /// Poll the endpoint list, and watch it from then on.
    WatchEndpoints,
    /// Send a message of at most 256 bytes to all peers.
    Gossip(Vec<u8>),
    /// Send a message of at most 256 bytes to one peer.
    SendToPeer {
        /// Router that receives the message.
        peer: PeerId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Deliver [`Event::Timer`](crate::api::Event::Timer) with `token` at time `at`.
    WakeAt {
        /// Time at which the timer fires.
        at: Nanos,
        /// Token that identifies the timer.
        token: u64,
    },
}
