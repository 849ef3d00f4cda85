//! How long a client connection is kept: when a request on it has to be complete, whether it is read only after a pause, how
//! long it may be idle, and whether it stays open after an answer. Without a socket; the time is handed in.

use std::time::{Duration, Instant};

use crate::lifecycle::Stage;
use crate::limits::Limits;

/// What an answer leaves of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Another request may come.
    KeepOpen,
    /// The same, but this one was rejected, or no request that could be accepted.
    KeepOpenAfterRejection,
    /// It is closed.
    Close,
}

/// What ends an idle time, other than a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimit {
    /// It may last so long.
    pub duration: Duration,
    /// And up to this stage of a shutdown.
    pub until: Stage,
}

/// A request that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestStart {
    /// It is read after this.
    pub pause: Option<Duration>,
    /// It has to be complete by then.
    pub complete_by: Instant,
}

/// One client connection.
#[derive(Debug, Clone, Copy)]
pub struct KeepAlive {
    opened: Instant,
    /// There was no place for it: it gets one answer.
    over_limit: bool,
    has_requested: bool,
    /// When its last request was rejected, if it was.
    rejected_at: Option<Instant>,
    /// How many requests came one after the other, each at once after a rejection.
    immediate_retries: u32,
}

impl KeepAlive {
    /// One that was opened now.
    pub fn new(now: Instant, over_limit: bool) -> KeepAlive {
        KeepAlive { opened: now, over_limit, has_requested: false, rejected_at: None, immediate_retries: 0 }
    }

    /// How long the connection may be idle now. One that has carried a request may be idle for longer, and closes earlier in a
    /// shutdown; a new one may send its request until the listeners close.
    pub fn idle_limit(&self, limits: &Limits) -> IdleLimit {
        match self.has_requested {
            true => IdleLimit { duration: limits.client_idle_timeout, until: Stage::ClosingIdle },
            false => IdleLimit { duration: limits.first_request_timeout, until: Stage::Closing },
        }
    }

    /// A request begins. The first one has to be complete soon after the connection was opened. A client that sends again at
    /// once after each rejection is not read for a while: it would take the processor from the others.
    pub fn request_started(&mut self, now: Instant, limits: &Limits) -> RequestStart {
        let from = if std::mem::replace(&mut self.has_requested, true) { now } else { self.opened };
        let at_once = self.rejected_at.take().is_some_and(|at| now - at <= limits.immediate_retry_window);
        self.immediate_retries = if at_once { self.immediate_retries + 1 } else { 0 };
        let pause =
            (self.immediate_retries > limits.max_immediate_retries).then_some(limits.immediate_retry_pause);
        RequestStart { pause, complete_by: from + limits.request_read_timeout }
    }

    /// Whether the connection stays open after an answer. `keeps`: its client wants that. From the stage on at which answers say
    /// `Connection: close`, none does.
    pub fn stays_open_after(&mut self, now: Instant, then: AfterAnswer, keeps: bool, stage: Stage) -> bool {
        let stays_open =
            keeps && !self.over_limit && stage < Stage::AnnouncingClose && then != AfterAnswer::Close;
        self.rejected_at = (stays_open && then == AfterAnswer::KeepOpenAfterRejection).then_some(now);
        stays_open
    }
}

#[cfg(test)]
mod tests;
