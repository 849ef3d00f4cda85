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
pub struct Terms {
    /// A call that has not been answered within this is given up.
    pub answer: Duration,
    /// A watch that has said nothing for so long is broken.
    pub silence: Duration,
    /// After a loss it is opened again; `None`: at the next wish.
    pub again: Option<Backoff>,
}

/// How long it waits after a loss: twice as long after each further one, and half of it by chance, so that hundreds of
/// routers that lost it together neither ask together nor as often as ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// After the first.
    pub first: Duration,
    /// At the most.
    pub most: Duration,
}

impl Backoff {
    /// The wait after so many losses in a row before this one; `draw` is random, from 0 to 1.
    fn wait(self, losses: u32, draw: f64) -> Duration {
        let whole = self.first.saturating_mul(1 << losses.min(20)).min(self.most);
        whole.mul_f64(0.5 + 0.5 * draw)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nobody watches, and nobody wishes to.
    Idle,
    /// To be opened then.
    Due(Nanos),
    /// Called then, and not answered yet.
    Called(Nanos),
    /// It said something then.
    Heard(Nanos),
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time; `None`: before somebody wishes it.
    Wait(Option<Nanos>),
    /// The watch is to be opened.
    Open,
    /// It is broken.
    Broken,
}

/// The clock of one watch.
#[derive(Debug)]
pub struct ListClock {
    terms: Cell<Terms>,
    state: Cell<State>,
    /// Losses since it last said something.
    losses: Cell<u32>,
}

fn after(at: Nanos, wait: Duration) -> Nanos {
    at.saturating_add(wait.as_nanos() as Nanos)
}

impl ListClock {
    /// Of a place that nobody watches yet.
    pub fn new(terms: Terms) -> ListClock {
        ListClock { terms: Cell::new(terms), state: Cell::new(State::Idle), losses: Cell::new(0) }
    }

    /// It is held to other terms from now on.
    pub fn hold_to(&self, terms: Terms) {
        self.terms.set(terms);
    }

    /// A watch is wished for; if there is one, it did not do.
    pub fn wanted(&self, now: Nanos) {
        self.state.set(State::Due(now));
    }

    /// It has been opened.
    pub fn opened(&self, now: Nanos) {
        self.state.set(State::Called(now));
    }

    /// It has said something.
    pub fn heard(&self, now: Nanos) {
        self.state.set(State::Heard(now));
        self.losses.set(0);
    }

    /// It has ended, or was broken. `draw` is random, from 0 to 1.
    pub fn lost(&self, now: Nanos, draw: f64) {
        let losses = self.losses.replace(self.losses.get().saturating_add(1));
        let due = |again: Backoff| State::Due(after(now, again.wait(losses, draw)));
        self.state.set(self.terms.get().again.map_or(State::Idle, due));
    }

    /// What is to be done now.
    pub fn step(&self, now: Nanos) -> Step {
        let terms = self.terms.get();
        let (at, then) = match self.state.get() {
            State::Idle => return Step::Wait(None),
            State::Due(at) => (Some(at), Step::Open),
            State::Called(at) => (Some(after(at, terms.answer)), Step::Broken),
            State::Heard(at) => (Some(after(at, terms.silence)), Step::Broken),
        };
        match at {
            Some(at) if at <= now => then,
            at => Step::Wait(at),
        }
    }
}

#[cfg(test)]
mod tests;
