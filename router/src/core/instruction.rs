//! What the core wants done.

use tallypin::api::{Nanos, PeerId, ReplicaId, RequestId};

use super::answer::{FinalAnswer, RequestSummary};
use super::request::AbortReason;

/// What is to be done, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// Start an attempt at a replica.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts, counted from 0.
        attempt: u32,
        /// Where.
        replica: ReplicaId,
        /// When the client gives up.
        deadline: Nanos,
    },
    /// Abort an attempt; its outcome is settled.
    AbortAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Why.
        reason: AbortReason,
    },
    /// Give the final answer. Of a stream that has begun this says how it ended.
    Finish {
        /// The request.
        request: RequestId,
        /// Its final answer.
        answer: FinalAnswer,
        /// What became of it, for the log.
        summary: RequestSummary,
    },
    /// Check the health of a replica.
    Probe(ReplicaId),
    /// Poll the endpoint list, or watch it anew.
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
