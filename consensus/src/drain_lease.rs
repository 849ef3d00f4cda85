//! What one router does about its own entry, and until when. A leave is a lease: the router that has it looks at its own
//! clock before it begins to go out. One that was stopped in between wakes up to a leave that has run out, and does
//! nothing. Nobody else needs the lease to end for the bounds to hold: an entry counts until its router ends it. It is
//! what a halt waits for, before it is answered, where the router can't be asked.

use tallypin_membership::{Nanos, RouterIndex};

use crate::fleet_state::{Command, DrainStage, FleetState};

/// The figures of a leave, ns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// A leave may be used for so long after it was asked for.
    pub duration: Nanos,
    /// Clocks may run apart by this share of it, as one in so many.
    pub drift_divisor: u64,
    /// A leave that was refused is asked for again after this.
    pub retry_after: Nanos,
}

impl LeaseTiming {
    /// After this, by any clock of the fleet, no leave asked for before is used any more.
    pub fn safe_expiry(&self) -> Nanos {
        self.duration + 2 * (self.duration / self.drift_divisor.max(1))
    }
}

/// What the router itself does at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalPhase {
    /// It serves.
    Serving,
    /// It has begun to go out.
    OutOfService,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing.
    Wait,
    /// To ask for this change; what comes of it is told with `asked`.
    Submit(Command),
    /// To begin to go out, now: the clock has been looked at.
    BeginDrain,
    /// To serve again.
    ResumeService,
    /// Once it is drained: to put the file of this digest in its place, and end.
    InstallAndRestart(String),
}

/// One router's own part.
#[derive(Debug)]
pub struct LeaseHolder {
    figures: LeaseTiming,
    index: RouterIndex,
    incarnation: u64,
    /// When the leave that is granted was asked for, by the own clock.
    requested_at: Option<Nanos>,
    rejected_at: Option<Nanos>,
}

impl LeaseHolder {
    /// Of a router that has just started.
    pub fn new(figures: LeaseTiming, me: RouterIndex, life: u64) -> LeaseHolder {
        LeaseHolder { figures, index: me, incarnation: life, requested_at: None, rejected_at: None }
    }

    /// Whether a leave that was asked for then may still be used.
    fn good(&self, now: Nanos, asked: Nanos) -> bool {
        now.saturating_sub(asked) < self.figures.duration
    }

    /// What to do, by the newest document known here. `runs`: the digest of what it runs, of the kind that is being
    /// released; `None`: its settings have no such file.
    pub fn next_step(
        &self,
        now: Nanos,
        document: &FleetState,
        own: LocalPhase,
        runs: Option<&str>,
    ) -> NextStep {
        let entry = document.drains.get(&self.index);
        let to = entry.and_then(|e| e.target_digest.as_deref());
        let (me, mine) = (self.index, self.incarnation);
        match (entry.map(|e| e.stage), own) {
            (Some(DrainStage::Requested), _) if to.is_some() && to == runs => {
                NextStep::Submit(Command::ReportUpToDate(me))
            }
            (Some(DrainStage::Requested), LocalPhase::Serving) if document.halted.is_none() => {
                let soon =
                    self.rejected_at.is_some_and(|at| now.saturating_sub(at) < self.figures.retry_after);
                match (to, runs) {
                    _ if soon => NextStep::Wait,
                    (None, _) => NextStep::Submit(Command::AcquireLease((me, mine).into())),
                    (Some(_), Some(runs)) => {
                        NextStep::Submit(Command::AcquireReleaseLease((me, mine, runs.into()).into()))
                    }
                    (Some(_), None) => NextStep::Submit(Command::ReportUnfit(
                        (me, "its settings have no such file to release".into()).into(),
                    )),
                }
            }
            (Some(DrainStage::Leased(life)), LocalPhase::Serving) if life == mine => {
                match self.requested_at.is_some_and(|at| self.good(now, at)) {
                    true => NextStep::BeginDrain,
                    false => NextStep::Submit(Command::ReturnLease((me, life).into())),
                }
            }
            (Some(DrainStage::Leased(life)), LocalPhase::OutOfService) if life == mine => {
                NextStep::Submit(Command::UseLease((me, life).into()))
            }
            (Some(DrainStage::OutOfService(life)), LocalPhase::OutOfService) if life == mine => {
                to.map_or(NextStep::Wait, |d| NextStep::InstallAndRestart(d.into()))
            }
            (Some(DrainStage::Returning(_)), LocalPhase::OutOfService) => NextStep::ResumeService,
            (Some(DrainStage::Returning(_)), LocalPhase::Serving) => {
                NextStep::Submit(Command::ReportServing((me, mine).into()))
            }
            (Some(DrainStage::Leased(life) | DrainStage::OutOfService(life)), LocalPhase::Serving)
                if life != mine =>
            {
                NextStep::Submit(if to.is_none() || to == runs {
                    Command::ReportServing((me, mine).into())
                } else {
                    Command::RetryRelease((me, mine).into())
                })
            }
            _ => NextStep::Wait,
        }
    }

    /// What became of a change that was asked for at `at`, before it was sent.
    pub fn record_outcome(&mut self, at: Nanos, now: Nanos, act: &Command, done: bool) {
        if matches!(act, Command::AcquireLease(..) | Command::AcquireReleaseLease(..)) {
            self.requested_at = done.then_some(at);
            self.rejected_at = (!done).then_some(now);
        }
    }
}

/// Whether a halt that was agreed on so long ago may be answered: nobody can begin to go out any more.
pub fn halt_is_effective(figures: &LeaseTiming, since: Nanos, document: &FleetState) -> bool {
    // One that is to come back may have had its leave until a moment ago, and not know better yet.
    let open =
        document.drains.values().any(|e| matches!(e.stage, DrainStage::Leased(_) | DrainStage::Returning(_)));
    !open || since > figures.safe_expiry()
}

#[cfg(test)]
mod tests;
