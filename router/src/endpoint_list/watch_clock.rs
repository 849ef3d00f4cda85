//! When a watch of the endpoint list is opened, and when a silent one is abandoned. No input or output: the time is handed
//! in, and the follower of the list does what the clock says.
//!
//! An established watch gives a sign of life every 2 s, so one that has given none for longer has fallen silent: its
//! connection may stay open for good, and what it misses counts as notified all the same. It is abandoned here and opened
//! anew, whether the list is polled or pushed.

use std::cell::Cell;
use std::time::Duration;

use tallypin::api::Nanos;

/// The times that a watch is held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// A call that has not been answered within this is abandoned.
    pub answer: Duration,
    /// A watch with a response or a message that has begun and does not go on for so long is abandoned.
    pub incomplete: Duration,
    /// A watch without a sign of life for so long is abandoned.
    pub silence: Duration,
    /// After a loss it is opened again at this interval between openings; `None`: at the next request.
    pub reconnect: Option<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// There is no watch, and none is requested.
    Idle,
    /// A watch is to be opened then.
    OpenAt(Nanos),
    /// It was opened then, and is not answered yet.
    Opened(Nanos),
    /// A whole message or a sign of life last arrived then, and nothing since.
    Heard(Nanos),
    /// A response or a message has begun and is not whole; more of it last arrived then. Blank lines behind it are no sign of
    /// life: half of a list tells nothing, however long its connection goes on.
    Incomplete(Nanos),
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchStep {
    /// Nothing before this time; `None`: before a watch is requested.
    Wait(Option<Nanos>),
    /// The watch is to be opened.
    Open,
    /// The watch is to be abandoned.
    Abandon,
}

/// The clock of one watch.
#[derive(Debug)]
pub struct WatchClock {
    timeouts: Cell<WatchTimeouts>,
    state: Cell<State>,
    /// The watch has been heard.
    established: Cell<bool>,
    /// When it was last opened.
    opened_at: Cell<Nanos>,
    /// Losses since a watch was last heard.
    losses: Cell<u32>,
}

fn after(at: Nanos, wait: Duration) -> Nanos {
    at.saturating_add(wait.as_nanos() as Nanos)
}

impl WatchClock {
    /// No watch yet.
    pub fn new(timeouts: WatchTimeouts) -> WatchClock {
        WatchClock {
            timeouts: Cell::new(timeouts),
            state: Cell::new(State::Idle),
            established: Cell::new(false),
            opened_at: Cell::new(0),
            losses: Cell::new(0),
        }
    }

    /// The watch is held to other timeouts from now on.
    pub fn set_timeouts(&self, timeouts: WatchTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// A watch is requested; if there is one, it did not answer in good time.
    pub fn request_watch(&self, now: Nanos) {
        self.state.set(State::OpenAt(now));
    }

    /// The watch has been opened.
    pub fn watch_opened(&self, now: Nanos) {
        self.state.set(State::Opened(now));
        self.opened_at.set(now);
        self.established.set(false);
    }

    /// A whole message or a sign of life has arrived; true if it is the first of this watch.
    pub fn heard(&self, now: Nanos) -> bool {
        self.state.set(State::Heard(now));
        self.losses.set(0);
        !self.established.replace(true)
    }

    /// The beginning of a response or of a message has arrived, or more of it, and not its end.
    pub fn incomplete(&self, now: Nanos) {
        self.state.set(State::Incomplete(now));
    }

    /// The watch has ended, or was abandoned. `random` is from 0 to 1: half of the interval is by chance, so that hundreds of
    /// routers that lost their watches together do not call together.
    pub fn watch_lost(&self, now: Nanos, random: f64) {
        self.losses.set(self.losses.get().saturating_add(1));
        let open_again = |interval| State::OpenAt(self.next_opening(now, interval, random));
        self.state.set(self.timeouts.get().reconnect.map_or(State::Idle, open_again));
    }

    /// The interval runs from the last opening: behind a call that took long to fail, a whole pause more would leave time for
    /// too few calls until the router counts as notified.
    fn next_opening(&self, now: Nanos, interval: Duration, random: f64) -> Nanos {
        let half = interval / 2;
        let spread = half.mul_f64(random);
        after(self.opened_at.get(), half + spread).max(after(now, spread))
    }

    /// When the last watch was opened.
    pub fn opened_at(&self) -> Nanos {
        self.opened_at.get()
    }

    /// Whether the last watch was heard.
    pub fn is_established(&self) -> bool {
        self.established.get()
    }

    /// Whether something has begun and is not whole.
    pub fn is_incomplete(&self) -> bool {
        matches!(self.state.get(), State::Incomplete(_))
    }

    /// Losses since a watch was last heard.
    pub fn losses(&self) -> u32 {
        self.losses.get()
    }

    /// What is to be done now.
    pub fn next_step(&self, now: Nanos) -> WatchStep {
        let timeouts = self.timeouts.get();
        let (at, then) = match self.state.get() {
            State::Idle => return WatchStep::Wait(None),
            State::OpenAt(at) => (at, WatchStep::Open),
            State::Opened(at) => (after(at, timeouts.answer), WatchStep::Abandon),
            State::Incomplete(at) => (after(at, timeouts.incomplete), WatchStep::Abandon),
            State::Heard(at) => (after(at, timeouts.silence), WatchStep::Abandon),
        };
        match at <= now {
            true => then,
            false => WatchStep::Wait(Some(at)),
        }
    }
}

#[cfg(test)]
mod tests;
