//! When a watch of the node list is opened, and when one that says nothing is broken. No input or output: the time is
//! handed in, and [`crate::node_list`] does what it says.
//!
//! A watch that stands gives a sign of life every 2 s, so one that has given none for longer has fallen silent: its
//! connection may stay open for good, and what it misses counts as told all the same. It is broken here and opened
//! anew, whether the list is asked for or pushed.

use std::cell::Cell;
use std::time::Duration;

use tallypin::api::Nanos;

/// What a place of the list is held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// A call that has not been answered within this is given up.
    pub answer: Duration,
    /// A watch that has said nothing for so long is broken.
    pub silence: Duration,
    /// After a loss it is opened again; `None`: at the next wish.
    pub reconnect: Option<Backoff>,
}

/// How long it waits after a loss: twice as long after each further one, and half of it by chance, so that hundreds of
/// routers that lost it together neither ask together nor as often as ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// After the first.
    pub first: Duration,
    /// At the most.
    pub max: Duration,
}

impl Backoff {
    /// The wait after so many losses in a row before this one; `draw` is random, from 0 to 1.
    fn delay(self, losses: u32, draw: f64) -> Duration {
        let whole = self.first.saturating_mul(1 << losses.min(20)).min(self.max);
        whole.mul_f64(0.5 + 0.5 * draw)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nobody watches, and nobody wishes to.
    Idle,
    /// To be opened then.
    OpenAt(Nanos),
    /// Called then, and not answered yet.
    Opened(Nanos),
    /// It said something then.
    Heard(Nanos),
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchStep {
    /// Nothing before this time; `None`: before somebody wishes it.
    Wait(Option<Nanos>),
    /// The watch is to be opened.
    Open,
    /// It is broken.
    Abandon,
}

/// The clock of one watch.
#[derive(Debug)]
pub struct WatchClock {
    timeouts: Cell<WatchTimeouts>,
    state: Cell<State>,
    /// Losses since it last said something.
    losses: Cell<u32>,
}

fn after(at: Nanos, wait: Duration) -> Nanos {
    at.saturating_add(wait.as_nanos() as Nanos)
}

impl WatchClock {
    /// Of a place that nobody watches yet.
    pub fn new(timeouts: WatchTimeouts) -> WatchClock {
        WatchClock { timeouts: Cell::new(timeouts), state: Cell::new(State::Idle), losses: Cell::new(0) }
    }

    /// It is held to other timeouts from now on.
    pub fn set_timeouts(&self, timeouts: WatchTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// A watch is wished for; if there is one, it did not do.
    pub fn request_watch(&self, now: Nanos) {
        self.state.set(State::OpenAt(now));
    }

    /// It has been opened.
    pub fn watch_opened(&self, now: Nanos) {
        self.state.set(State::Opened(now));
    }

    /// It has said something.
    pub fn heard(&self, now: Nanos) {
        self.state.set(State::Heard(now));
        self.losses.set(0);
    }

    /// It has ended, or was broken. `draw` is random, from 0 to 1.
    pub fn watch_lost(&self, now: Nanos, draw: f64) {
        let losses = self.losses.replace(self.losses.get().saturating_add(1));
        let due = |again: Backoff| State::OpenAt(after(now, again.delay(losses, draw)));
        self.state.set(self.timeouts.get().reconnect.map_or(State::Idle, due));
    }

    /// What is to be done now.
    pub fn next_step(&self, now: Nanos) -> WatchStep {
        let timeouts = self.timeouts.get();
        let (at, then) = match self.state.get() {
            State::Idle => return WatchStep::Wait(None),
            State::OpenAt(at) => (Some(at), WatchStep::Open),
            State::Opened(at) => (Some(after(at, timeouts.answer)), WatchStep::Abandon),
            State::Heard(at) => (Some(after(at, timeouts.silence)), WatchStep::Abandon),
        };
        match at {
            Some(at) if at <= now => then,
            at => WatchStep::Wait(at),
        }
    }
}

#[cfg(test)]
mod tests;
