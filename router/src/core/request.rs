//! A request as a front hands it in, and what the core remembers of it while it is open.

use tallypin::api::*;

use super::answer::{AnswerCause, FinalAnswer, RequestSummary};

/// A request as a front hands it in.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NewRequest {
    /// Its class.
    pub class: ClassId,
    /// The tenant whose quota it counts against.
    pub tenant: TenantId,
    /// How long its client still waits for a first token, in nanoseconds.
    pub time_left: Nanos,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// How many of them belong to the prefix.
    pub prefix_tokens: u32,
    /// The session.
    pub session: Option<SessionKey>,
    /// The prefix that it shares with other sessions.
    pub prefix: Option<PrefixKey>,
    /// The client asks for the rest of a broken stream.
    pub resumes_stream: bool,
    /// The client marks it as a retry.
    pub is_client_retry: bool,
}

impl NewRequest {
    /// The same for the decision module.
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

/// How an attempt ended, as the connection saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// What came of it.
    pub outcome: Outcome,
    /// Prompt tokens that the replica still had in its cache.
    pub cached_tokens: Option<u32>,
    /// The replica's load report: its figures in the order of the settings.
    pub load_report: Vec<f64>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, cached_tokens: None, load_report: Vec::new() }
    }
}

/// Why the core has an attempt closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    /// Another attempt of the request streams.
    OtherAttemptStreams,
    /// The client has left before its final answer.
    ClientDisconnected,
    /// Its first-token timeout, or the deadline, has passed.
    TimedOut,
    /// The decision module cancelled it.
    Canceled,
    /// The request has got its final answer without it.
    Answered,
    /// The router is about to be killed.
    Shutdown,
}

/// An attempt, from its start to its outcome.
pub(super) struct AttemptRecord {
    pub(super) started_at: Nanos,
    /// A byte of the request may have gone out.
    pub(super) written: bool,
    /// `None` while it is in flight.
    outcome: Option<Outcome>,
}

impl AttemptRecord {
    pub(super) fn begin(now: Nanos) -> AttemptRecord {
        AttemptRecord { started_at: now, written: false, outcome: None }
    }

    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether a replica may have run the request, or may yet.
    fn may_have_run(&self) -> bool {
        match self.outcome {
            // Cancelled or given up: whether it was written decides.
            None | Some(Outcome::Cancelled | Outcome::TimedOut) => self.written,
            Some(outcome) => !outcome.never_ran(),
        }
    }
}

/// A request that is open.
pub(super) struct OpenRequest {
    pub(super) accepted_at: Nanos,
    pub(super) deadline: Nanos,
    effect: Effect,
    attempts: Vec<AttemptRecord>,
    /// The attempt whose stream goes to the client.
    pub(super) streaming_attempt: Option<u32>,
    pub(super) answered: bool,
}

impl OpenRequest {
    pub(super) fn new(now: Nanos, left: Nanos, effect: Effect) -> OpenRequest {
        let deadline = now.saturating_add(left);
        OpenRequest {
            accepted_at: now,
            deadline,
            effect,
            attempts: Vec::new(),
            streaming_attempt: None,
            answered: false,
        }
    }

    /// One more attempt; its number.
    pub(super) fn add_attempt(&mut self, now: Nanos) -> u32 {
        self.attempts.push(AttemptRecord::begin(now));
        self.attempts.len() as u32 - 1
    }

    /// How many attempts there have been.
    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// An attempt, if it is in flight.
    pub(super) fn in_flight(&self, attempt: u32) -> Option<&AttemptRecord> {
        self.attempts.get(attempt as usize).filter(|a| a.is_in_flight())
    }

    /// The same, to change it.
    pub(super) fn in_flight_mut(&mut self, attempt: u32) -> Option<&mut AttemptRecord> {
        self.attempts.get_mut(attempt as usize).filter(|a| a.is_in_flight())
    }

    /// The numbers of the attempts in flight.
    pub(super) fn all_in_flight(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.attempts.len() as u32).filter(|&n| self.in_flight(n).is_some())
    }

    /// Notes an attempt's outcome; gives when it was started, or `None` if it had an outcome already.
    pub(super) fn settle(&mut self, attempt: u32, outcome: Outcome) -> Option<Nanos> {
        let settled = self.in_flight_mut(attempt)?;
        settled.outcome = Some(outcome);
        Some(settled.started_at)
    }

    /// Whether a replica may have run the request, or may yet.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    /// The answer that may be given in place of this one: a rejection promises that a retry does no harm.
    pub(super) fn allowed_answer(&self, now: Nanos, answer: FinalAnswer) -> FinalAnswer {
        match answer {
            FinalAnswer::Rejected { .. } if !self.effect.may_reject(self.may_have_run()) => {
                FinalAnswer::Failed { past_deadline: now >= self.deadline }
            }
            answer => answer,
        }
    }

    /// Whether the request may be written for an attempt now: it is in flight, its client still waits, and if another attempt
    /// may have run, the request may still be sent once more.
    pub(super) fn may_write(&self, now: Nanos, attempt: u32) -> bool {
        let waits = !self.answered && self.streaming_attempt.is_none() && now < self.deadline;
        let mut others =
            self.attempts.iter().enumerate().filter(|(n, a)| *n != attempt as usize && a.may_have_run());
        waits
            && self.in_flight(attempt).is_some()
            && others.all(|(_, a)| self.effect.may_resend(now, a.started_at))
    }

    /// Whether it has its final answer and no attempt is in flight.
    pub(super) fn is_over(&self) -> bool {
        self.answered && self.all_in_flight().next().is_none()
    }

    /// What the log says of it.
    pub(super) fn summary(&self, now: Nanos, cause: AnswerCause, withheld: bool) -> RequestSummary {
        RequestSummary {
            cause,
            age: now.saturating_sub(self.accepted_at),
            attempts: self.attempts.len(),
            open_attempts: self.all_in_flight().count(),
            may_have_run: self.may_have_run(),
            failed_instead_of_rejected: withheld,
        }
    }
}
