//! Decides when a watch of the endpoint list is opened and when a silent one is abandoned. It does no input or output: its
//! caller passes the current time and carries out the returned steps.
//!
//! An established watch sends a keep-alive every 2 s. The connection of a silent watch may stay open indefinitely, while the
//! router counts as notified of the changes that it misses. A silent watch is therefore abandoned and reopened, whether the
//! list is polled or pushed.

use std::cell::Cell;
use std::time::Duration;

use tallypin::api::Nanos;

/// The timeouts of a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// Time within which a call must be answered before it is abandoned.
    pub answer: Duration,
    /// Maximum time without further data in the middle of a response head or message before the watch is abandoned.
    pub stall: Duration,
    /// Maximum time without a message or keep-alive before the watch is abandoned.
    pub silence: Duration,
    /// Interval between openings after a loss. `None`: the watch is reopened only when requested.
    pub reconnect: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// There is no watch, and none is requested.
    Idle,
    /// A watch will be opened at this time.
    OpenAt(Nanos),
    /// A watch was opened at this time and is not answered yet.
    Opened(Nanos),
    /// The last complete message or keep-alive arrived at this time, and nothing since.
    Active(Nanos),
    /// A response or message is incomplete; its last data arrived at this time. Blank lines after an incomplete message are not
    /// keep-alives: part of a list is useless, even if its connection stays open.
    Incomplete(Nanos),
}

/// The next step of a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchStep {
    /// Wait until this time; `None`: until a watch is requested.
    Wait(Option<Nanos>),
    /// Open the watch.
    Open,
    /// Abandon the watch.
    Abandon,
}

/// The state and timeouts of one watch.
#[derive(Debug)]
pub struct WatchClock {
    timeouts: Cell<WatchTimeouts>,
    state: Cell<State>,
    /// Whether the watch has delivered a message or keep-alive.
    established: Cell<bool>,
    /// When the watch was last opened.
    opened_at: Cell<Nanos>,
    /// Number of watches lost since the last message or keep-alive.
    losses: Cell<u32>,
}

fn add_duration(at: Nanos, wait: Duration) -> Nanos {
    at.saturating_add(wait.as_nanos() as Nanos)
}

impl WatchClock {
    /// Creates a clock without a watch.
    pub fn new(timeouts: WatchTimeouts) -> WatchClock {
        WatchClock {
            timeouts: Cell::new(timeouts),
            state: Cell::new(State::Idle),
            established: Cell::new(false),
            opened_at: Cell::new(0),
            losses: Cell::new(0),
        }
    }

    /// Replaces the timeouts.
    pub fn set_timeouts(&self, timeouts: WatchTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Requests a watch. It replaces a current one, which has not answered in time.
    pub fn request_watch(&self, now: Nanos) {
        self.state.set(State::OpenAt(now));
    }

    /// Records that the watch was opened.
    pub fn watch_opened(&self, now: Nanos) {
        self.state.set(State::Opened(now));
        self.opened_at.set(now);
        self.established.set(false);
    }

    /// Records a complete message or a keep-alive. Returns true if it is the first of this watch.
    pub fn record_activity(&self, now: Nanos) -> bool {
        self.state.set(State::Active(now));
        self.losses.set(0);
        !self.established.replace(true)
    }

    /// Records that data of a response or message arrived, but not its end.
    pub fn record_incomplete(&self, now: Nanos) {
        self.state.set(State::Incomplete(now));
    }

    /// Records that the watch ended or was abandoned. `random` is a random number from 0 to 1 that spreads half of the interval,
    /// so that hundreds of routers that lost their watches together do not reconnect together.
    pub fn watch_lost(&self, now: Nanos, random: f64) {
        self.losses.set(self.losses.get().saturating_add(1));
        let reopen = |interval| State::OpenAt(self.next_opening(now, interval, random));
        self.state.set(self.timeouts.get().reconnect.map_or(State::Idle, reopen));
    }

    /// Returns the time of the next opening. The interval starts at the last opening: a full interval after a call that was slow
    /// to fail would leave too few calls before the router counts as notified.
    fn next_opening(&self, now: Nanos, interval: Duration, random: f64) -> Nanos {
        let half = interval / 2;
        let spread = half.mul_f64(random);
        add_duration(self.opened_at.get(), half + spread).max(add_duration(now, spread))
    }

    /// When the watch was last opened.
    pub fn opened_at(&self) -> Nanos {
        self.opened_at.get()
    }

    /// Whether the watch has delivered a message or keep-alive.
    pub fn is_established(&self) -> bool {
        self.established.get()
    }

    /// Whether a response or message is incomplete.
    pub fn is_incomplete(&self) -> bool {
        matches!(self.state.get(), State::Incomplete(_))
    }

    /// Number of watches lost since the last message or keep-alive.
    pub fn losses(&self) -> u32 {
        self.losses.get()
    }

    /// Returns the step to take now.
    pub fn next_step(&self, now: Nanos) -> WatchStep {
        let timeouts = self.timeouts.get();
        let (at, step) = match self.state.get() {
            State::Idle => return WatchStep::Wait(None),
            State::OpenAt(at) => (at, WatchStep::Open),
            State::Opened(at) => (add_duration(at, timeouts.answer), WatchStep::Abandon),
            State::Incomplete(at) => (add_duration(at, timeouts.stall), WatchStep::Abandon),
            State::Active(at) => (add_duration(at, timeouts.silence), WatchStep::Abandon),
        };
        match at <= now {
            true => step,
            false => WatchStep::Wait(Some(at)),
        }
    }
}

#[cfg(test)]
mod tests;
