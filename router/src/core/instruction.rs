//! Instructions of the core to the code that owns the sockets.

use tallypin::api::{Nanos, PeerId, ReplicaId, RequestId};

use super::answer::{FinalAnswer, RequestSummary};
use super::request::AbortReason;

/// An instruction of the core. Instructions are carried out in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// Start an attempt at a replica.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0 within the request.
        attempt: u32,
        /// The replica that receives the attempt.
        replica: ReplicaId,
        /// The client's deadline, in nanoseconds of the router's clock.
        deadline: Nanos,
        /// Whether the answer is held back until it is complete.
        holds_answer: bool,
    },
    /// Abort an attempt. The core has already recorded its outcome.
    AbortAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: u32,
        /// Reason for the abort.
        reason: AbortReason,
    },
    /// Give the final answer. For a stream that has begun, the answer states how the stream ended.
    Finish {
        /// The request.
        request: RequestId,
        /// The final answer.
        answer: FinalAnswer,
        /// Summary of the request, for the log.
        summary: RequestSummary,
    },
    /// Run a health check of a replica.
    Probe(ReplicaId),
    /// Poll the endpoint list, or restart its watch.
    WatchEndpoints,
    /// Send a load report to the other routers.
    SendReport(Vec<u8>),
    /// Send a message to one other router.
    SendToPeer {
        /// The router.
        peer: PeerId,
        /// The message.
        bytes: Vec<u8>,
    },
}
