//! How long a client connection is kept: when a request on it has to be whole, who is read again only after a pause, how
//! long it may rest, and whether it goes on after an answer. Without a socket; the time is handed in.

use std::time::{Duration, Instant};

use crate::lifecycle::Stage;
use crate::limits::Limits;

/// What an answer leaves of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Another request may come.
    KeepOpen,
    /// The same, but this one was refused or no request that could be taken.
    KeepOpenAfterRejection,
    /// It is closed, at once.
    Close,
}

/// What ends a time of rest, other than a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimit {
    /// It may last so long.
    pub duration: Duration,
    /// And to this stage of the router's end.
    pub until: Stage,
}

/// A request that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestStart {
    /// It is read after this.
    pub pause: Option<Duration>,
    /// It has to be whole by then.
    pub complete_by: Instant,
}

/// One client connection.
#[derive(Debug, Clone, Copy)]
pub struct KeepAlive {
    opened: Instant,
    /// There was no room for it: it gets one answer.
    over_limit: bool,
    has_requested: bool,
    /// When its last request was refused, and how many were asked at once after that, one after the other.
    rejected_at: Option<Instant>,
    immediate_retries: u32,
}

impl KeepAlive {
    /// One that was opened now.
    pub fn new(now: Instant, crowded: bool) -> KeepAlive {
        KeepAlive {
            opened: now,
            over_limit: crowded,
            has_requested: false,
            rejected_at: None,
            immediate_retries: 0,
        }
    }

    /// Who has asked before may rest for longer, and goes with the parting; a new one is heard until the listeners go.
    pub fn idle_limit(&self, limits: &Limits) -> IdleLimit {
        match self.has_requested {
            true => IdleLimit { duration: limits.idle_client, until: Stage::ClosingIdle },
            false => IdleLimit { duration: limits.first, until: Stage::Closing },
        }
    }

    /// A request begins. The first one is owed an answer, or the connection a close, soon after it was opened. Who asks
    /// again the moment it is refused, again and again, is not read for a while: the others would have less of the
    /// processor.
    pub fn request_started(&mut self, now: Instant, limits: &Limits) -> RequestStart {
        let from = if std::mem::replace(&mut self.has_requested, true) { now } else { self.opened };
        let at_once = self.rejected_at.take().is_some_and(|at| now - at <= limits.at_once);
        self.immediate_retries = if at_once { self.immediate_retries + 1 } else { 0 };
        let pause = (self.immediate_retries > limits.patience).then_some(limits.pause);
        RequestStart { pause, complete_by: from + limits.read }
    }

    /// It was answered: whether another request may come. `keeps`: its client wants to go on. What was said to be the
    /// last answer, from the parting on, is.
    pub fn stays_open_after(&mut self, now: Instant, then: AfterAnswer, keeps: bool, stage: Stage) -> bool {
        let goes_on =
            keeps && !self.over_limit && stage < Stage::AnnouncingClose && then != AfterAnswer::Close;
        self.rejected_at = (goes_on && then == AfterAnswer::KeepOpenAfterRejection).then_some(now);
        goes_on
    }
}

#[cfg(test)]
mod tests;
