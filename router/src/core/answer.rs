//! Final answers, why they were given, and the counts of what became of requests.

use tallypin::api::{Nanos, Outcome, RejectReason};

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The complete stream was passed on.
    Completed,
    /// The stream broke after it had begun.
    Interrupted,
    /// Rejected: no replica may have run it in a way that makes a retry do harm.
    Rejected {
        /// How long the client is best to wait before it asks again; 0: no advice.
        retry_after: Nanos,
        /// Why.
        reason: RejectReason,
    },
    /// Failed, which promises nothing: a replica may have run it.
    Failed {
        /// The client's deadline had passed.
        past_deadline: bool,
    },
}

/// Why a request got its final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCause {
    /// Its stream ended, complete or not.
    StreamEnded,
    /// The decision module rejected it.
    Rejected(RejectReason),
    /// The decision module gave it up: no further attempt may be made, or none would be in time.
    NoAttemptLeft,
    /// The decision module had not decided by the client's deadline.
    Deadline,
    /// The router is about to be killed.
    Shutdown,
}

/// What became of a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSummary {
    /// Why it got its final answer.
    pub cause: AnswerCause,
    /// How long it was open, in nanoseconds.
    pub age: Nanos,
    /// How many attempts were started.
    pub attempts: usize,
    /// How many of them were still in flight.
    pub open_attempts: usize,
    /// Whether a replica may have run it.
    pub may_have_run: bool,
    /// It was to be rejected, and failed instead, because a replica may have run it.
    pub failed_instead_of_rejected: bool,
}

/// Counts of what became of requests and attempts, since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests accepted.
    pub accepted: u64,
    /// Those that asked for the rest of a broken stream.
    pub resumed: u64,
    /// Final answers: complete streams.
    pub completed: u64,
    /// Final answers: streams that broke after they had begun.
    pub interrupted: u64,
    /// Those of them that this router interrupted because it was about to be killed.
    pub interrupted_by_shutdown: u64,
    /// Streams that have begun.
    pub streams_started: u64,
    /// Final answers: rejections.
    pub rejected: u64,
    /// Those of them that were over their tenant's quota.
    pub rejected_over_quota: u64,
    /// Those of them that were given because the router was about to be killed.
    pub rejected_by_shutdown: u64,
    /// Final answers: failures.
    pub failed: u64,
    /// Those of them whose client's deadline had passed.
    pub failed_past_deadline: u64,
    /// Those of them that were given because the router was about to be killed.
    pub failed_by_shutdown: u64,
    /// Those of them that were to be rejections, of requests that a replica may have run.
    pub failed_instead_of_rejected: u64,
    /// Clients that left before their final answer.
    pub client_disconnects: u64,
    /// Outcomes of attempts, in the order of [`COUNTED_OUTCOMES`].
    pub outcomes: [u64; 8],
}

/// The outcomes in the order in which [`RequestCounts::outcomes`] counts them.
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
    /// Attempts that a replica answered, with whatever; a stream counts as soon as it begins.
    pub fn answered(&self) -> u64 {
        let [_, error, busy, ..] = self.outcomes;
        self.streams_started + error + busy
    }

    /// Attempts that no replica answered: connection refused or reset, or timed out.
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
            FinalAnswer::Rejected { reason: why, .. } => {
                self.rejected += 1;
                self.rejected_over_quota += u64::from(why == RejectReason::QuotaExceeded);
                self.rejected_by_shutdown += shutdown;
            }
            FinalAnswer::Failed { past_deadline: late } => {
                self.failed += 1;
                self.failed_past_deadline += u64::from(late);
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
