//! Final answers, why they were given, and the counts of both.

use tallypin::api::{Nanos, Outcome, RejectReason};

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The whole stream was passed on.
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
    /// Failed; in time, or for want of time.
    Failed {
        /// The client's deadline had come.
        past_deadline: bool,
    },
}

/// Why a request got its final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCause {
    /// Its stream ended, whole or not.
    StreamEnded,
    /// The decision module refused it.
    Rejected(RejectReason),
    /// The decision module gave it up: no further attempt may be made, or none would be in time.
    NoAttemptLeft,
    /// The decision module had not decided by the client's deadline.
    Deadline,
    /// The router is about to end.
    Shutdown,
}

/// What became of a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSummary {
    /// Why it got its final answer.
    pub cause: AnswerCause,
    /// How long it was open.
    pub age: Nanos,
    /// How many attempts were begun.
    pub attempts: usize,
    /// How many of them had no outcome yet.
    pub open_attempts: usize,
    /// Whether a replica may have run it.
    pub may_have_run: bool,
    /// It was to be refused, and failed instead, because it may have run.
    pub failed_instead_of_rejected: bool,
}

/// Counts of what became of requests and attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests taken, and how many asked for the rest of a stream.
    pub accepted: u64,
    /// Those that asked for the rest of a broken stream.
    pub resumed: u64,
    /// Final answers: whole streams.
    pub completed: u64,
    /// Final answers: streams that broke after they had begun.
    pub interrupted: u64,
    /// Those of them that this router cut because it was about to end.
    pub interrupted_by_shutdown: u64,
    /// Streams that have begun.
    pub streams_started: u64,
    /// Final answers: refusals.
    pub rejected: u64,
    /// Those of them that were over a partner's share.
    pub rejected_over_quota: u64,
    /// Those of them that were given because the router was about to end.
    pub rejected_by_shutdown: u64,
    /// Final answers: failures.
    pub failed: u64,
    /// Those of them whose client's deadline had come.
    pub failed_past_deadline: u64,
    /// Those of them that were given because the router was about to end.
    pub failed_by_shutdown: u64,
    /// Those of them that were to be refusals, of requests that may have run.
    pub failed_instead_of_rejected: u64,
    /// Clients that left first.
    pub client_disconnects: u64,
    /// Outcomes of attempts, in the order of [`TALLIED`].
    pub outcomes: [u64; 8],
}

/// The outcomes in the order in which [`Tallies::outcomes`] counts them.
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
    /// Attempts that a model node answered, with whatever; a stream counts as soon as it begins.
    pub fn answered(&self) -> u64 {
        let [_, error, busy, ..] = self.outcomes;
        self.streams_started + error + busy
    }

    /// Attempts that no model node answered: refused, reset, timed out.
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
        if let Some(place) = COUNTED_OUTCOMES.iter().position(|o| *o == outcome) {
            self.outcomes[place] += 1;
        }
    }
}
