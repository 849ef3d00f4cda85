//! Outputs of the decisions.

use super::ids::{Nanos, PeerId, ReplicaId, RequestId};
use super::request::RejectReason;

/// An action for the router. The actions of one event are performed in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request to send.
        request: RequestId,
        /// The replica to send it to.
        replica: ReplicaId,
        /// Timeout of the attempt.
        timeout: Nanos,
    },
    /// Final answer: the request is rejected, and repeating it is safe.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time after which the client may retry, ns; 0 for no Retry-After.
        retry_after: Nanos,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Final answer: the request failed; its effect may have happened.
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
        /// The receiver.
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
