//! What one router does about its own entry, and until when. A leave is a lease: the router that has it looks at its own
//! clock before it begins to go out. One that was stopped in between wakes up to a leave that has run out, and does
//! nothing. Nobody else needs the lease to end for the bounds to hold: an entry counts until its router ends it. It is
//! what a halt waits for, before it is answered, where the router can't be asked.

use tallypin_membership::{Nanos, Place};

use crate::document::{Act, Document, Stage};

/// The figures of a leave, ns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// A leave may be used for so long after it was asked for.
    pub lease: Nanos,
    /// Clocks may run apart by this share of it, as one in so many.
    pub drift: u64,
    /// A leave that was refused is asked for again after this.
    pub again: Nanos,
}

impl Figures {
    /// After this, by any clock of the fleet, no leave asked for before is used any more.
    pub fn over(&self) -> Nanos {
        self.lease + 2 * (self.lease / self.drift.max(1))
    }
}

/// What the router itself does at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Own {
    /// It serves.
    Serving,
    /// It has begun to go out.
    Out,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Rest,
    /// To ask for this change; what comes of it is told with `asked`.
    Ask(Act),
    /// To begin to go out, now: the clock has been looked at.
    GoOut,
    /// To serve again.
    Serve,
    /// Once it is drained: to put the file of this digest in its place, and end.
    Swap(String),
}

/// One router's own part.
#[derive(Debug)]
pub struct Leaver {
    figures: Figures,
    me: Place,
    life: u64,
    /// When the leave that is granted was asked for, by the own clock.
    asked: Option<Nanos>,
    refused: Option<Nanos>,
}

impl Leaver {
    /// Of a router that has just started.
    pub fn new(figures: Figures, me: Place, life: u64) -> Leaver {
        Leaver { figures, me, life, asked: None, refused: None }
    }

    /// Whether a leave that was asked for then may still be used.
    fn good(&self, now: Nanos, asked: Nanos) -> bool {
        now.saturating_sub(asked) < self.figures.lease
    }

    /// What to do, by the newest document known here. `runs`: the digest of what it runs, of the kind that is being
    /// released; `None`: its settings have no such file.
    pub fn next(&self, now: Nanos, document: &Document, own: Own, runs: Option<&str>) -> Next {
        let entry = document.entries.get(&self.me);
        let to = entry.and_then(|e| e.to.as_deref());
        let (me, mine) = (self.me, self.life);
        match (entry.map(|e| e.stage), own) {
            (Some(Stage::Wanted), _) if to.is_some() && to == runs => Next::Ask(Act::Has(me)),
            (Some(Stage::Wanted), Own::Serving) if document.halted.is_none() => {
                let soon = self.refused.is_some_and(|at| now.saturating_sub(at) < self.figures.again);
                match (to, runs) {
                    _ if soon => Next::Rest,
                    (None, _) => Next::Ask(Act::Leave(me, mine)),
                    (Some(_), Some(runs)) => Next::Ask(Act::LeaveFrom(me, mine, runs.into())),
                    (Some(_), None) => {
                        Next::Ask(Act::Unfit(me, "its settings have no such file to release".into()))
                    }
                }
            }
            (Some(Stage::Leave(life)), Own::Serving) if life == mine => {
                match self.asked.is_some_and(|at| self.good(now, at)) {
                    true => Next::GoOut,
                    false => Next::Ask(Act::GiveUp(me, life)),
                }
            }
            (Some(Stage::Leave(life)), Own::Out) if life == mine => Next::Ask(Act::Going(me, life)),
            (Some(Stage::Out(life)), Own::Out) if life == mine => {
                to.map_or(Next::Rest, |d| Next::Swap(d.into()))
            }
            (Some(Stage::Back(_)), Own::Out) => Next::Serve,
            (Some(Stage::Back(_)), Own::Serving) => Next::Ask(Act::Serves(me, mine)),
            (Some(Stage::Leave(life) | Stage::Out(life)), Own::Serving) if life != mine => {
                Next::Ask(if to.is_none() || to == runs {
                    Act::Serves(me, mine)
                } else {
                    Act::Again(me, mine)
                })
            }
            _ => Next::Rest,
        }
    }

    /// What became of a change that was asked for at `at`, before it was sent.
    pub fn asked(&mut self, at: Nanos, now: Nanos, act: &Act, done: bool) {
        if matches!(act, Act::Leave(..) | Act::LeaveFrom(..)) {
            self.asked = done.then_some(at);
            self.refused = (!done).then_some(now);
        }
    }
}

/// Whether a halt that was agreed on so long ago may be answered: nobody can begin to go out any more.
pub fn halt_holds(figures: &Figures, since: Nanos, document: &Document) -> bool {
    // One that is to come back may have had its leave until a moment ago, and not know better yet.
    let open = document.entries.values().any(|e| matches!(e.stage, Stage::Leave(_) | Stage::Back(_)));
    !open || since > figures.over()
}

#[cfg(test)]
mod tests;
