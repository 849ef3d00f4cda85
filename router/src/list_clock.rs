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
    /// A call that has not been answered within this is given up; `None`: whoever wished for it sees to that.
    pub answer: Option<Duration>,
    /// A watch that has said nothing for so long is broken.
    pub silence: Duration,
    /// After a loss it is opened again so much later; `None`: at the next wish.
    pub again: Option<Duration>,
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
}

fn after(at: Nanos, wait: Duration) -> Nanos {
    at.saturating_add(wait.as_nanos() as Nanos)
}

impl ListClock {
    /// Of a place that nobody watches yet.
    pub fn new(terms: Terms) -> ListClock {
        ListClock { terms: Cell::new(terms), state: Cell::new(State::Idle) }
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
    }

    /// It has ended, or was broken.
    pub fn lost(&self, now: Nanos) {
        let again = self.terms.get().again;
        self.state.set(again.map_or(State::Idle, |wait| State::Due(after(now, wait))));
    }

    /// What is to be done now.
    pub fn step(&self, now: Nanos) -> Step {
        let terms = self.terms.get();
        let (at, then) = match self.state.get() {
            State::Idle => return Step::Wait(None),
            State::Due(at) => (Some(at), Step::Open),
            State::Called(at) => (terms.answer.map(|limit| after(at, limit)), Step::Broken),
            State::Heard(at) => (Some(after(at, terms.silence)), Step::Broken),
        };
        match at {
            Some(at) if at <= now => then,
            at => Step::Wait(at),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use tallypin::api::SECOND;

    const MS: Nanos = SECOND / 1000;
    const PUSHED: Terms = Terms {
        answer: Some(Duration::from_millis(250)),
        silence: Duration::from_secs(4),
        again: Some(Duration::from_millis(200)),
    };

    /// What an agent does over time: silent in outages, else it answers at once and gives a sign every 2 s to watches
    /// that have not fallen silent. Gives the longest time in which the agent spoke and no watch of it stood.
    fn longest_deaf(outages: &[(Nanos, Nanos)], mute: &[Nanos], end: Nanos) -> Nanos {
        let clock = ListClock::new(PUSHED);
        let down = |t: Nanos| outages.iter().any(|&(from, to)| (from..to).contains(&t));
        let (mut watch_mute, mut deaf, mut longest) = (true, 0, 0);
        clock.wanted(0);
        for t in (0..end).step_by(MS as usize) {
            watch_mute |= mute.contains(&t) || down(t);
            match clock.step(t) {
                Step::Open => {
                    clock.opened(t);
                    watch_mute = down(t);
                    if !watch_mute {
                        clock.heard(t);
                    }
                }
                Step::Broken => clock.lost(t),
                Step::Wait(_) => {}
            }
            if !watch_mute && t % (2 * SECOND) == 0 {
                clock.heard(t);
            }
            deaf = if watch_mute && !down(t) { deaf + MS } else { 0 };
            longest = longest.max(deaf);
        }
        longest
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(24))]
        /// After an outage that outlasts a watch the agent is heard again before any drain has to be, and a watch
        /// that falls silent is replaced before what it misses counts as told, 6 s after.
        #[test]
        fn an_agent_is_not_unheard_for_long(from in 1u64..8_000, long in 4_001u64..15_000, mute in 0u64..30_000) {
            let outage = [(from * MS, (from + long) * MS)];
            let after_outage = longest_deaf(&outage, &[], 30 * SECOND);
            prop_assert!(after_outage <= 451 * MS, "{} ms after an outage", after_outage / MS);
            let silent = longest_deaf(&[], &[mute * MS], 40 * SECOND);
            prop_assert!(silent <= 4_202 * MS, "{} ms", silent / MS);
        }
    }

    #[test]
    fn where_the_list_is_asked_for_the_wish_decides_when() {
        let clock = ListClock::new(Terms { answer: None, again: None, ..PUSHED });
        assert_eq!(clock.step(0), Step::Wait(None));
        clock.wanted(5);
        assert_eq!(clock.step(5), Step::Open);
        clock.opened(5);
        assert_eq!(clock.step(SECOND * 60), Step::Wait(None), "who wished for it wishes again");
        clock.heard(SECOND);
        assert_eq!(clock.step(SECOND), Step::Wait(Some(5 * SECOND)));
        assert_eq!(clock.step(5 * SECOND), Step::Broken);
        clock.lost(5 * SECOND);
        assert_eq!(clock.step(60 * SECOND), Step::Wait(None), "a budget of calls is not spent here");
    }
}
