//! How long a client connection is kept: when a request on it has to be whole, who is read again only after a pause, how
//! long it may rest, and whether it goes on after an answer. Without a socket; the time is handed in.

use std::time::{Duration, Instant};

use crate::limits::Limits;
use crate::shutdown::Stage;

/// What an answer leaves of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// Another request may come.
    Next,
    /// The same, but this one was refused or no request that could be taken.
    Refused,
    /// It is closed, at once.
    Close,
}

/// What ends a time of rest, other than a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rest {
    /// It may last so long.
    pub limit: Duration,
    /// And to this stage of the router's end.
    pub until: Stage,
}

/// A request that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Begun {
    /// It is read after this.
    pub pause: Option<Duration>,
    /// It has to be whole by then.
    pub whole_by: Instant,
}

/// One client connection.
#[derive(Debug, Clone, Copy)]
pub struct KeepAlive {
    opened: Instant,
    /// There was no room for it: it gets one answer.
    crowded: bool,
    asked: bool,
    /// When its last request was refused, and how many were asked at once after that, one after the other.
    refused_at: Option<Instant>,
    hasty: u32,
}

impl KeepAlive {
    /// One that was opened now.
    pub fn new(now: Instant, crowded: bool) -> KeepAlive {
        KeepAlive { opened: now, crowded, asked: false, refused_at: None, hasty: 0 }
    }

    /// Who has asked before may rest for longer, and goes with the parting; a new one is heard until the listeners go.
    pub fn rest(&self, limits: &Limits) -> Rest {
        match self.asked {
            true => Rest { limit: limits.idle_client, until: Stage::Parted },
            false => Rest { limit: limits.first, until: Stage::Closing },
        }
    }

    /// A request begins. The first one is owed an answer, or the connection a close, soon after it was opened. Who asks
    /// again the moment it is refused, again and again, is not read for a while: the others would have less of the
    /// processor.
    pub fn begins(&mut self, now: Instant, limits: &Limits) -> Begun {
        let from = if std::mem::replace(&mut self.asked, true) { now } else { self.opened };
        let at_once = self.refused_at.take().is_some_and(|at| now - at <= limits.at_once);
        self.hasty = if at_once { self.hasty + 1 } else { 0 };
        let pause = (self.hasty > limits.patience).then_some(limits.pause);
        Begun { pause, whole_by: from + limits.read }
    }

    /// It was answered: whether another request may come. `keeps`: its client wants to go on. What was said to be the
    /// last answer, from the parting on, is.
    pub fn answered(&mut self, now: Instant, then: Then, keeps: bool, stage: Stage) -> bool {
        let goes_on = keeps && !self.crowded && stage < Stage::Parting && then != Then::Close;
        self.refused_at = (goes_on && then == Then::Refused).then_some(now);
        goes_on
    }
}

#[cfg(test)]
mod tests;
