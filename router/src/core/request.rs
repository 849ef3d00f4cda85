//! A request as a front hands it in, and what the core remembers of it while it is open.

use tallypin::api::*;

use super::answer::{AnswerCause, FinalAnswer, RequestSummary};

/// A request as a front hands it in.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// Its class.
    pub class: ClassId,
    /// The partner it comes from.
    pub partner: TenantId,
    /// How long its client still waits for a first token.
    pub left: Nanos,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// How many of them are a shared beginning.
    pub beginning_tokens: u32,
    /// The session.
    pub session: Option<SessionKey>,
    /// The shared beginning.
    pub beginning: Option<PrefixKey>,
    /// The client asks for the rest of a broken stream.
    pub returned: bool,
    /// The client marks it as another try.
    pub again: bool,
}

impl Ask {
    /// The same for the decision module.
    pub(super) fn into_request(self, id: RequestId) -> Request {
        Request {
            id,
            class: self.class,
            tenant: self.partner,
            time_left: self.left,
            prompt_tokens: self.prompt_tokens,
            prefix_tokens: self.beginning_tokens,
            session: self.session,
            prefix: self.beginning,
            resumes_stream: self.returned,
            is_client_retry: self.again,
        }
    }
}

/// How an attempt ended, as the connection saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// What came of it.
    pub outcome: Outcome,
    /// Prompt tokens that the model node still held.
    pub kept: Option<u32>,
    /// The model node's load report.
    pub load: Vec<f64>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        AttemptEnd { outcome, kept: None, load: Vec::new() }
    }
}

/// Why the core has an attempt closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Another attempt of the request has begun its answer.
    AnotherBegan,
    /// The client has left.
    ClientLeft,
    /// Its time is over.
    TimedOut,
    /// The decision module called it off.
    CalledOff,
    /// The request has got its final answer without it.
    Answered,
    /// The router is about to end.
    Shutdown,
}

/// An attempt, from its begin to its outcome.
pub(super) struct Attempt {
    pub(super) begun: Nanos,
    /// A byte of the request may have gone out.
    pub(super) written: bool,
    /// `None` while it is out.
    outcome: Option<Outcome>,
}

impl Attempt {
    pub(super) fn begin(now: Nanos) -> Attempt {
        Attempt { begun: now, written: false, outcome: None }
    }

    fn is_out(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether a replica may have run the request, or may yet.
    fn may_have_run(&self) -> bool {
        match self.outcome {
            // Called off or given up: whether it was written tells.
            None | Some(Outcome::Cancelled | Outcome::TimedOut) => self.written,
            Some(outcome) => !outcome.never_ran(),
        }
    }
}

/// A request that is open.
pub(super) struct Open {
    pub(super) taken: Nanos,
    pub(super) deadline: Nanos,
    effect: Effect,
    attempts: Vec<Attempt>,
    /// The attempt whose stream the client has.
    pub(super) bound: Option<u32>,
    pub(super) answered: bool,
}

impl Open {
    pub(super) fn new(now: Nanos, left: Nanos, effect: Effect) -> Open {
        let deadline = now.saturating_add(left);
        Open { taken: now, deadline, effect, attempts: Vec::new(), bound: None, answered: false }
    }

    /// One more attempt; its number.
    pub(super) fn begin_attempt(&mut self, now: Nanos) -> u32 {
        self.attempts.push(Attempt::begin(now));
        self.attempts.len() as u32 - 1
    }

    /// How many attempts there have been.
    pub(super) fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// An attempt, if it has no outcome yet.
    pub(super) fn out(&self, attempt: u32) -> Option<&Attempt> {
        self.attempts.get(attempt as usize).filter(|a| a.is_out())
    }

    /// The same, to change it.
    pub(super) fn out_mut(&mut self, attempt: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt as usize).filter(|a| a.is_out())
    }

    /// The numbers of the attempts without an outcome.
    pub(super) fn all_out(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.attempts.len() as u32).filter(|&n| self.out(n).is_some())
    }

    /// Notes an attempt's outcome; when it was begun, or `None` if it had one.
    pub(super) fn settle(&mut self, attempt: u32, outcome: Outcome) -> Option<Nanos> {
        let settled = self.out_mut(attempt)?;
        settled.outcome = Some(outcome);
        Some(settled.begun)
    }

    /// Whether a replica may have run the request, or may yet.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// The answer that may be given in place of this one: a refusal promises that a further try does no harm.
    pub(super) fn permitted(&self, now: Nanos, answer: FinalAnswer) -> FinalAnswer {
        match answer {
            FinalAnswer::Refused(..) if !self.effect.may_reject(self.may_have_run()) => {
                FinalAnswer::Failed { late: now >= self.deadline }
            }
            answer => answer,
        }
    }

    /// Whether the request may be written for an attempt now: it is still out, its client still waits, and if another
    /// attempt may have run, there is time for a repeat.
    pub(super) fn may_write(&self, now: Nanos, attempt: u32) -> bool {
        let waits = !self.answered && self.bound.is_none() && now < self.deadline;
        let mut others =
            self.attempts.iter().enumerate().filter(|(n, a)| *n != attempt as usize && a.may_have_run());
        waits && self.out(attempt).is_some() && others.all(|(_, a)| self.effect.may_resend(now, a.begun))
    }

    /// Whether it has its answer and no attempt is out.
    pub(super) fn is_over(&self) -> bool {
        self.answered && self.all_out().next().is_none()
    }

    /// What the log tells of it.
    pub(super) fn summary(&self, now: Nanos, cause: AnswerCause, withheld: bool) -> RequestSummary {
        RequestSummary {
            cause,
            age: now.saturating_sub(self.taken),
            attempts: self.attempts.len(),
            unsettled: self.all_out().count(),
            may_have_run: self.may_have_run(),
            withheld,
        }
    }
}
