//! What a router gets back.

use super::ids::{Nanos, PeerId, ReplicaId, RequestId};
use super::request::RejectReason;

/// What a router is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        replica: ReplicaId,
        /// Its time-out.
        timeout: Nanos,
    },
    /// Final answer: rejected; repeating the request is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may come back, ns; 0 for no Retry-After.
        retry_after: Nanos,
        /// What for.
        reason: RejectReason,
    },
    /// Final answer: failed; promises nothing.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
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
        /// The peer.
        peer: PeerId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Deliver [`Event::Timer`](crate::api::Event::Timer) with this token at this time.
    WakeAt {
        /// When.
        at: Nanos,
        /// The token.
        token: u64,
    },
}
