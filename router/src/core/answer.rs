//! Final answers to requests, their causes, and the counts of requests and attempts by outcome.

use tallypin::api::{Nanos, Outcome, RejectReason};

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The complete stream was relayed to the client.
    Completed,
    /// The stream broke after its first event had been relayed.
    Interrupted,
    /// Rejected: the client can retry without harm, because no replica can have run the request with an effect that a
    /// repeat would duplicate.
    Rejected {
        /// Suggested delay before the client retries, in nanoseconds; 0 means no suggestion.
        retry_after: Nanos,
        /// Reason for the rejection.
        reason: RejectReason,
    },
    /// Failed: a replica may have run the request, so a retry may repeat its effect.
    Failed {
        /// Whether the client's deadline had passed.
        past_deadline: bool,
    },
}

/// Why a request got its final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCause {
    /// The response stream ended, complete or not.
    StreamEnded,
    /// The decision module rejected the request.
    Rejected(RejectReason),
    /// The decision module gave the request up: no further attempt is allowed, or none would finish in time.
    NoAttemptLeft,
    /// The decision module did not decide before the client's deadline.
    Deadline,
    /// The router answered open requests because its process is about to be killed.
    Shutdown,
}

/// Summary of a request at its final answer, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSummary {
    /// Cause of the final answer.
    pub cause: AnswerCause,
    /// Time since the request was accepted, in nanoseconds.
    pub age: Nanos,
    /// Number of attempts started.
    pub attempts: usize,
    /// Number of attempts still in flight.
    pub open_attempts: usize,
    /// Whether a replica may have run the request.
    pub may_have_run: bool,
    /// Whether the request failed instead of being rejected, because a replica may have run it.
    pub failed_instead_of_rejected: bool,
}

/// Counts of requests by final answer and of attempts by outcome, since the router started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests accepted.
    pub accepted: u64,
    /// Accepted requests that resume a broken stream.
    pub resumed: u64,
    /// Requests whose stream was relayed completely.
    pub completed: u64,
    /// Requests whose stream broke after it had begun.
    pub interrupted: u64,
    /// Streams interrupted by this router because its process was about to be killed; part of `interrupted`.
    pub interrupted_by_shutdown: u64,
    /// Streams of which the first event was relayed.
    pub streams_started: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests rejected because their tenant exceeded its quota; part of `rejected`.
    pub rejected_over_quota: u64,
    /// Requests rejected because the process was about to be killed; part of `rejected`.
    pub rejected_by_shutdown: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests failed after their client's deadline; part of `failed`.
    pub failed_past_deadline: u64,
    /// Requests failed because the process was about to be killed; part of `failed`.
    pub failed_by_shutdown: u64,
    /// Requests failed instead of rejected, because a replica may have run them; part of `failed`.
    pub failed_instead_of_rejected: u64,
    /// Clients that disconnected before their final answer.
    pub client_disconnects: u64,
    /// Number of attempts by outcome, in the order of [`COUNTED_OUTCOMES`].
    pub outcomes: [u64; 8],
}

/// The outcomes of attempts in the order of [`RequestCounts::outcomes`].
pub const COUNTED_OUTCOMES: [Outcome; 8] = [
    Outcome::Completed,
    Outcome::ReplicaError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectionRefused,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

impl RequestCounts {
    /// Number of attempts that a replica answered, including errors and rejections. A stream counts once it begins.
    pub fn answered(&self) -> u64 {
        let [_, errors, rejections, ..] = self.outcomes;
        self.streams_started + errors + rejections
    }

    /// Number of attempts without an answer of the replica: connection refused, connection reset or timed out.
    pub fn unanswered(&self) -> u64 {
        let [_, _, _, timed_out, refused, reset, ..] = self.outcomes;
        timed_out + refused + reset
    }

    /// Counts a final answer.
    pub(super) fn count_answer(&mut self, answer: FinalAnswer, summary: &RequestSummary) {
        let shutdown = u64::from(summary.cause == AnswerCause::Shutdown);
        self.failed_instead_of_rejected += u64::from(summary.failed_instead_of_rejected);
        match answer {
            FinalAnswer::Completed => self.completed += 1,
            FinalAnswer::Interrupted => {
                self.interrupted += 1;
                self.interrupted_by_shutdown += shutdown;
            }
            FinalAnswer::Rejected { reason, .. } => {
                self.rejected += 1;
                self.rejected_over_quota += u64::from(reason == RejectReason::QuotaExceeded);
                self.rejected_by_shutdown += shutdown;
            }
            FinalAnswer::Failed { past_deadline } => {
                self.failed += 1;
                self.failed_past_deadline += u64::from(past_deadline);
                self.failed_by_shutdown += shutdown;
            }
        }
    }

    /// Counts an attempt's outcome.
    pub(super) fn count_outcome(&mut self, outcome: Outcome) {
        if let Some(index) = COUNTED_OUTCOMES.iter().position(|o| *o == outcome) {
            self.outcomes[index] += 1;
        }
    }
}
