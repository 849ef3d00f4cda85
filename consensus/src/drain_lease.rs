//! One router's side of its own drain: it requests the lease, drains under it, and returns to service.
//!
//! [`crate::fleet_state`] grants the lease. It expires by the router's own monotonic clock, counted from the time of the
//! request. A router checks that clock immediately before it begins to drain, so a process that was suspended in between
//! finds its lease expired when it resumes, and returns it. The limits do not depend on the expiry: a drain entry counts
//! until its router ends it. Only the answer to a halt waits for the expiry, if the lease holder is unreachable.

use std::time::Duration;

use tallypin_membership::{elapsed, Incarnation, Nanos, RouterIndex};

use crate::fleet_state::{
    Command, DrainEntry, DrainStage, FleetState, ReleaseLeaseRequest, RouterIncarnation, UnfitReport,
};

/// The timing of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time after the request during which the lease may be used.
    pub duration: Duration,
    /// Maximum clock drift between two routers, as the fraction 1/`drift_divisor` of the duration.
    pub drift_divisor: u32,
    /// Delay after a rejection before the lease is requested again.
    pub retry_after: Duration,
}

impl LeaseTiming {
    /// Returns the time after which, by any router's clock, no lease that was requested before it can be used any more.
    pub fn safe_expiry(&self) -> Duration {
        self.duration + 2 * (self.duration / self.drift_divisor.max(1))
    }
}

/// Whether the local router serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalPhase {
    /// The router serves requests.
    Serving,
    /// The router has begun to drain, or has drained.
    OutOfService,
}

/// The next action of the local router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// No action is due.
    Wait,
    /// Submit this command, and hand its outcome to [`LeaseHolder::record_outcome`].
    Submit(Command),
    /// Begin to drain immediately: the lease has not expired.
    BeginDrain,
    /// Return to service.
    ResumeService,
    /// Once drained, install the file with this digest and restart.
    InstallAndRestart(String),
}

/// The outcome of a submitted command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The command was applied.
    Applied,
    /// The command was rejected, or no majority answered in time.
    NotApplied,
}

/// One router's side of the drain lease.
#[derive(Debug)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    router: RouterIndex,
    incarnation: Incarnation,
    /// Time of the request for the lease that was granted.
    requested_at: Option<Nanos>,
    /// Time of the last rejection.
    rejected_at: Option<Nanos>,
}

impl LeaseHolder {
    /// Creates the state of a router that has just started and holds no lease.
    pub fn new(timing: LeaseTiming, router: RouterIndex, incarnation: Incarnation) -> LeaseHolder {
        LeaseHolder { timing, router, incarnation, requested_at: None, rejected_at: None }
    }

    /// Returns the next action, given the newest fleet state that this router knows.
    ///
    /// `now` is the router's monotonic clock. `running_digest` is the digest of the running file of the artifact that is
    /// being released; `None` if the settings have no such file.
    pub fn next_step(
        &self,
        now: Nanos,
        state: &FleetState,
        phase: LocalPhase,
        running_digest: Option<&str>,
    ) -> NextStep {
        let Some(drain) = state.drains.get(&self.router) else { return NextStep::Wait };
        let runs_target = drain.target_digest.is_none() || drain.target_digest.as_deref() == running_digest;
        match (drain.stage, phase) {
            (DrainStage::Requested, _) if drain.target_digest.is_some() && runs_target => {
                NextStep::Submit(Command::ReportUpToDate(self.router))
            }
            (DrainStage::Requested, LocalPhase::Serving) if state.halted.is_none() => {
                self.request_lease(now, drain, running_digest)
            }
            (DrainStage::Requested, _) => NextStep::Wait,
            (DrainStage::Leased(of), LocalPhase::Serving) if of == self.incarnation => self.use_lease(now),
            (DrainStage::Leased(of), LocalPhase::OutOfService) if of == self.incarnation => {
                NextStep::Submit(Command::UseLease(self.identity()))
            }
            (DrainStage::OutOfService(of), LocalPhase::OutOfService) if of == self.incarnation => {
                drain.target_digest.clone().map_or(NextStep::Wait, NextStep::InstallAndRestart)
            }
            (DrainStage::Returning(_), LocalPhase::OutOfService) => NextStep::ResumeService,
            (DrainStage::Returning(_), LocalPhase::Serving) => {
                NextStep::Submit(Command::ReportServing(self.identity()))
            }
            // An earlier incarnation drained, and the router has restarted since.
            (DrainStage::Leased(of) | DrainStage::OutOfService(of), LocalPhase::Serving)
                if of != self.incarnation =>
            {
                NextStep::Submit(match runs_target {
                    true => Command::ReportServing(self.identity()),
                    false => Command::RetryRelease(self.identity()),
                })
            }
            (DrainStage::Leased(_) | DrainStage::OutOfService(_), _) => NextStep::Wait,
        }
    }

    /// Records the outcome of a command of [`NextStep::Submit`]. `submitted_at` is the time before the command was sent; the
    /// lease is counted from it.
    pub fn record_outcome(
        &mut self,
        submitted_at: Nanos,
        now: Nanos,
        command: &Command,
        outcome: SubmitOutcome,
    ) {
        if !matches!(command, Command::AcquireLease(_) | Command::AcquireReleaseLease(_)) {
            return;
        }
        (self.requested_at, self.rejected_at) = match outcome {
            SubmitOutcome::Applied => (Some(submitted_at), None),
            SubmitOutcome::NotApplied => (None, Some(now)),
        };
    }

    fn identity(&self) -> RouterIncarnation {
        RouterIncarnation { router: self.router, incarnation: self.incarnation }
    }

    fn request_lease(&self, now: Nanos, drain: &DrainEntry, running_digest: Option<&str>) -> NextStep {
        let RouterIncarnation { router, incarnation } = self.identity();
        if self.rejected_at.is_some_and(|at| elapsed(now, at) < self.timing.retry_after) {
            return NextStep::Wait;
        }
        NextStep::Submit(match (&drain.target_digest, running_digest) {
            (None, _) => Command::AcquireLease(self.identity()),
            (Some(_), Some(running)) => {
                let running_digest = running.into();
                Command::AcquireReleaseLease(ReleaseLeaseRequest { router, incarnation, running_digest })
            }
            (Some(_), None) => {
                let cause = "its settings have no such file to release".into();
                Command::ReportUnfit(UnfitReport { router, cause })
            }
        })
    }

    fn use_lease(&self, now: Nanos) -> NextStep {
        match self.requested_at.is_some_and(|at| elapsed(now, at) < self.timing.duration) {
            true => NextStep::BeginDrain,
            false => NextStep::Submit(Command::ReturnLease(self.identity())),
        }
    }
}

/// Returns whether a halt that was agreed on `agreed_ago` is in effect: no router can begin to drain any more.
pub fn halt_is_effective(timing: &LeaseTiming, agreed_ago: Duration, state: &FleetState) -> bool {
    // A router in `Returning` may have held its lease until a moment ago, and may not know yet that it was withdrawn.
    let may_drain = |stage| matches!(stage, DrainStage::Leased(_) | DrainStage::Returning(_));
    let none_may_drain = !state.drains.values().any(|drain| may_drain(drain.stage));
    none_may_drain || agreed_ago > timing.safe_expiry()
}

#[cfg(test)]
mod tests;
