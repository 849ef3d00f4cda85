//! Timeouts and keep-alive of a client connection: the deadline for reading a request, the pause before reading it, the idle
//! limit, and whether the connection stays open after an answer. No input or output: callers pass the current time.

use std::time::{Duration, Instant};

use crate::lifecycle::Stage;
use crate::limits::Limits;

/// The effect of an answer on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAnswer {
    /// The connection can carry another request.
    KeepOpen,
    /// The connection can carry another request; the answer rejected this one or reported it as invalid.
    KeepOpenAfterRejection,
    /// The connection is closed.
    Close,
}

/// The limits after which an idle connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimit {
    /// Maximum idle time.
    pub duration: Duration,
    /// Stage of a shutdown at which the idle connection is closed.
    pub until: Stage,
}

/// How a request that has begun is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestStart {
    /// Pause before the request is read.
    pub pause: Option<Duration>,
    /// Time at which the request has to be complete.
    pub complete_by: Instant,
}

/// The state of one client connection.
#[derive(Debug, Clone, Copy)]
pub struct KeepAlive {
    opened: Instant,
    /// Whether the connection exceeds the limit of clients, so that it gets only one answer.
    over_limit: bool,
    has_requested: bool,
    /// When the last request was rejected, if it was.
    rejected_at: Option<Instant>,
    /// Number of consecutive requests that each followed a rejection immediately.
    immediate_retries: u32,
}

impl KeepAlive {
    /// Creates the state of a connection that was opened at `now`.
    pub fn new(now: Instant, over_limit: bool) -> KeepAlive {
        KeepAlive { opened: now, over_limit, has_requested: false, rejected_at: None, immediate_retries: 0 }
    }

    /// Returns the limits of the idle time that begins now. A connection that has carried a request may be idle for longer, but
    /// closes earlier in a shutdown; a new connection may send its request until the listeners close.
    pub fn idle_limit(&self, limits: &Limits) -> IdleLimit {
        match self.has_requested {
            true => IdleLimit { duration: limits.client_idle_timeout, until: Stage::ClosingIdle },
            false => IdleLimit { duration: limits.first_request_timeout, until: Stage::Closing },
        }
    }

    /// Records that a request begins. The time limit of the first request starts when the connection was opened. Requests of a
    /// client that retries immediately after each rejection are read after a pause, so that it cannot use up the processor.
    pub fn request_started(&mut self, now: Instant, limits: &Limits) -> RequestStart {
        let starts_at = if std::mem::replace(&mut self.has_requested, true) { now } else { self.opened };
        let is_immediate =
            self.rejected_at.take().is_some_and(|at| now - at <= limits.immediate_retry_window);
        self.immediate_retries = if is_immediate { self.immediate_retries + 1 } else { 0 };
        let pause =
            (self.immediate_retries > limits.max_immediate_retries).then_some(limits.immediate_retry_pause);
        RequestStart { pause, complete_by: starts_at + limits.request_read_timeout }
    }

    /// Returns whether the connection stays open after an answer. `keep_alive` is whether the client's request permits it. From
    /// [`Stage::AnnouncingClose`] on, no connection stays open.
    pub fn stays_open_after(
        &mut self,
        now: Instant,
        after_answer: AfterAnswer,
        keep_alive: bool,
        stage: Stage,
    ) -> bool {
        let stays_open = keep_alive
            && !self.over_limit
            && stage < Stage::AnnouncingClose
            && after_answer != AfterAnswer::Close;
        self.rejected_at = (stays_open && after_answer == AfterAnswer::KeepOpenAfterRejection).then_some(now);
        stays_open
    }
}

#[cfg(test)]
mod tests;
