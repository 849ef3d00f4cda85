//! When a watch of the endpoint list is opened, and when a silent one is abandoned. No input or output: the time is handed
//! in, and the follower of the list does what the clock says.
//!
//! An established watch gives a sign of life every 2 s, so one that has given none for longer has fallen silent: its
//! connection may stay open for good, and what it misses counts as notified all the same. It is abandoned here and opened
//! anew, whether the list is polled or pushed.

use std::cell::Cell;
use std::time::Duration;

use tallypin::api::Nanos;

/// The doublings of a backoff's delay: more would overflow, and no maximum is that long.
const MAX_DOUBLINGS: u32 = 20;

/// The times that a watch is held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// A call that has not been answered within this is abandoned.
    pub answer: Duration,
    /// A watch without data for so long is abandoned.
    pub silence: Duration,
    /// After a loss it is opened again with this backoff; `None`: at the next request.
    pub reconnect: Option<Backoff>,
}

/// The delay after a loss: twice as long after each further one, and half of it by chance, so that hundreds of routers that
/// lost their watches together neither call together nor as often as ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// After the first loss.
    pub first: Duration,
    /// The longest.
    pub max: Duration,
}

impl Backoff {
    /// The delay after so many losses in a row before this one; `random` is from 0 to 1.
    fn delay(self, losses: u32, random: f64) -> Duration {
        let whole = self.first.saturating_mul(1 << losses.min(MAX_DOUBLINGS)).min(self.max);
        whole.mul_f64(0.5 + 0.5 * random)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// There is no watch, and none is requested.
    Idle,
    /// A watch is to be opened then.
    OpenAt(Nanos),
    /// It was opened then, and is not answered yet.
    Opened(Nanos),
    /// Data of it last arrived then.
    Heard(Nanos),
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
    /// Losses since data last arrived.
    losses: Cell<u32>,
}

fn after(at: Nanos, wait: Duration) -> Nanos {
    at.saturating_add(wait.as_nanos() as Nanos)
}

impl WatchClock {
    /// No watch yet.
    pub fn new(timeouts: WatchTimeouts) -> WatchClock {
        WatchClock { timeouts: Cell::new(timeouts), state: Cell::new(State::Idle), losses: Cell::new(0) }
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
    }

    /// Data of the watch have arrived.
    pub fn heard(&self, now: Nanos) {
        self.state.set(State::Heard(now));
        self.losses.set(0);
    }

    /// The watch has ended, or was abandoned. `random` is from 0 to 1.
    pub fn watch_lost(&self, now: Nanos, random: f64) {
        let losses = self.losses.replace(self.losses.get().saturating_add(1));
        let open_again = |backoff: Backoff| State::OpenAt(after(now, backoff.delay(losses, random)));
        self.state.set(self.timeouts.get().reconnect.map_or(State::Idle, open_again));
    }

    /// Whether there is a watch that has been answered.
    pub fn is_established(&self) -> bool {
        matches!(self.state.get(), State::Heard(_))
    }

    /// Losses since data last arrived.
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
