//! A request as a front submits it, and its state in the core while it is open.

use tallypin::api::*;

use super::answer::{AnswerCause, FinalAnswer, RequestSummary};

/// A request as a front submits it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NewRequest {
    /// The request's class.
    pub class: ClassId,
    /// The tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// Time until the client's deadline for the first token, in nanoseconds.
    pub time_left: Nanos,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that belong to the prefix.
    pub prefix_tokens: u32,
    /// The session of the request, if it has one.
    pub session: Option<SessionKey>,
    /// The prompt prefix that the request shares with other sessions.
    pub prefix: Option<PrefixKey>,
    /// Whether the request resumes a broken stream.
    pub resumes_stream: bool,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
    /// Maximum number of tokens of the answer, if the client sets one.
    pub max_answer_tokens: Option<u32>,
    /// Whether the client can request the rest of an interrupted answer.
    pub is_resumable: bool,
}

impl NewRequest {
    /// Converts the request for the decision module.
    pub(super) fn into_request(self, id: RequestId) -> Request {
        Request {
            id,
            class: self.class,
            tenant: self.tenant,
            time_left: self.time_left,
            prompt_tokens: self.prompt_tokens,
            prefix_tokens: self.prefix_tokens,
            session: self.session,
            prefix: self.prefix,
            resumes_stream: self.resumes_stream,
            is_client_retry: self.is_client_retry,
        }
    }
}

/// The result of an attempt or a health check, as observed on its connection.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Number of prompt tokens that the replica read from its cache, if it reported them.
    pub cached_tokens: Option<u32>,
    /// Number of tokens of the answer, if the replica reported them.
    pub answer_tokens: Option<u32>,
    /// The values of the replica's load report, in the order of the fields in the settings.
    pub load_report: Vec<f64>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, cached_tokens: None, answer_tokens: None, load_report: Vec::new() }
    }
}

/// Why the core aborts an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    /// Another attempt of the request streams.
    OtherAttemptStreams,
    /// The client disconnected before its final answer.
    ClientDisconnected,
    /// The attempt's first-token timeout or the request's deadline passed.
    TimedOut,
    /// The decision module cancelled the attempt.
    Canceled,
    /// The request got its final answer without this attempt.
    Answered,
    /// The router shuts down, and its process is about to be killed.
    Shutdown,
}

/// The state of an attempt from its start to its outcome.
pub(super) struct AttemptRecord {
    pub(super) started_at: Nanos,
    /// Whether a byte of the request may have been sent.
    pub(super) written: bool,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

impl AttemptRecord {
    pub(super) fn new(now: Nanos) -> AttemptRecord {
        AttemptRecord { started_at: now, written: false, outcome: None }
    }

    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether a replica may have run the request for this attempt, or may still run it.
    fn may_have_run(&self) -> bool {
        match self.outcome {
            // Without an answer of the replica, it may have run the request once any of it was written.
            None | Some(Outcome::Cancelled | Outcome::TimedOut) => self.written,
            Some(outcome) => !outcome.never_ran(),
        }
    }
}

/// A request without a final answer, or with attempts in flight.
pub(super) struct OpenRequest {
    pub(super) accepted_at: Nanos,
    pub(super) deadline: Nanos,
    /// Time by which the answer must be complete if it is held back until then; `None` if it is streamed.
    pub(super) complete_by: Option<Nanos>,
    effect: Effect,
    attempts: Vec<AttemptRecord>,
    /// The attempt whose stream goes to the client.
    pub(super) streaming_attempt: Option<u32>,
    /// When the stream's first event arrived; 0 before.
    pub(super) streaming_since: Nanos,
    pub(super) answered: bool,
}

impl OpenRequest {
    pub(super) fn new(
        now: Nanos,
        time_left: Nanos,
        complete_by: Option<Nanos>,
        effect: Effect,
    ) -> OpenRequest {
        let deadline = now.saturating_add(time_left);
        OpenRequest {
            accepted_at: now,
            deadline,
            complete_by,
            effect,
            attempts: Vec::new(),
            streaming_attempt: None,
            streaming_since: 0,
            answered: false,
        }
    }

    /// Adds an attempt and returns its number.
    pub(super) fn add_attempt(&mut self, now: Nanos) -> u32 {
        self.attempts.push(AttemptRecord::new(now));
        self.attempts.len() as u32 - 1
    }

    /// Number of attempts so far.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Number of timers that were scheduled for the request.
    pub(super) fn timer_count(&self) -> usize {
        1 + usize::from(self.complete_by.is_some()) + self.attempts.len()
    }

    /// Returns an attempt if it is in flight.
    pub(super) fn in_flight(&self, attempt: u32) -> Option<&AttemptRecord> {
        self.attempts.get(attempt as usize).filter(|a| a.is_in_flight())
    }

    /// Returns an attempt for modification if it is in flight.
    pub(super) fn in_flight_mut(&mut self, attempt: u32) -> Option<&mut AttemptRecord> {
        self.attempts.get_mut(attempt as usize).filter(|a| a.is_in_flight())
    }

    /// The numbers of the attempts in flight.
    pub(super) fn all_in_flight(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.attempts.len() as u32).filter(|&n| self.in_flight(n).is_some())
    }

    /// Records an attempt's outcome. Returns its start time, or `None` if it already had an outcome.
    pub(super) fn record_outcome(&mut self, attempt: u32, outcome: Outcome) -> Option<Nanos> {
        let settled = self.in_flight_mut(attempt)?;
        settled.outcome = Some(outcome);
        Some(settled.started_at)
    }

    /// Whether a replica may have run the request for any attempt, or may still run it.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    /// Returns `answer`, or a failure instead of a rejection if a replica may have run the request and a repeat could do harm: a
    /// rejection tells the client that a retry does no harm.
    pub(super) fn allowed_answer(&self, now: Nanos, answer: FinalAnswer) -> FinalAnswer {
        match answer {
            FinalAnswer::Rejected { .. } if !self.effect.may_reject(self.may_have_run()) => {
                FinalAnswer::Failed { past_deadline: now >= self.deadline }
            }
            answer => answer,
        }
    }

    /// Whether an attempt may write the request now: the attempt is in flight, the client still waits for an answer, and every
    /// other attempt that may have run still permits a resend.
    pub(super) fn may_write(&self, now: Nanos, attempt: u32) -> bool {
        let unanswered = !self.answered && self.streaming_attempt.is_none() && now < self.deadline;
        let mut others =
            self.attempts.iter().enumerate().filter(|(n, a)| *n != attempt as usize && a.may_have_run());
        unanswered
            && self.in_flight(attempt).is_some()
            && others.all(|(_, a)| self.effect.may_resend(now, a.started_at))
    }

    /// Whether the request has its final answer and no attempt is in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.answered && self.all_in_flight().next().is_none()
    }

    /// Summary of the request for the log.
    pub(super) fn summary(
        &self,
        now: Nanos,
        cause: AnswerCause,
        failed_instead_of_rejected: bool,
    ) -> RequestSummary {
        RequestSummary {
            cause,
            age: now.saturating_sub(self.accepted_at),
            attempts: self.attempts.len(),
            open_attempts: self.all_in_flight().count(),
            may_have_run: self.may_have_run(),
            failed_instead_of_rejected,
        }
    }
}
