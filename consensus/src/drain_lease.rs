//! What one router does about its own drain: it asks for the lease, drains under it, and returns.
//!
//! The lease is granted by [`crate::fleet_state`], and expires by the router's own monotonic clock, counted from when it
//! was asked for. A router looks at that clock immediately before it begins to drain, so that one that was stopped in
//! between finds its lease expired when it continues, and returns it. The limits hold without any expiry: an entry counts
//! until its router ends it. What waits for the expiry is the answer to a halt, where the holder can't be reached.

use std::time::Duration;

use tallypin_membership::{elapsed, Incarnation, Nanos, RouterIndex};

use crate::fleet_state::{
    Command, DrainEntry, DrainStage, FleetState, ReleaseLeaseRequest, RouterIncarnation, UnfitReport,
};

/// The timing of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long the lease may be used after it was asked for.
    pub duration: Duration,
    /// How far the clocks of two routers may drift apart, as the fraction 1/`drift_divisor` of the duration.
    pub drift_divisor: u32,
    /// How long after a rejection the lease is asked for again.
    pub retry_after: Duration,
}

impl LeaseTiming {
    /// After this time, by the clock of any router, no lease that was asked for before can be used any more.
    pub fn safe_expiry(&self) -> Duration {
        self.duration + 2 * (self.duration / self.drift_divisor.max(1))
    }
}

/// What the router itself does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalPhase {
    /// It serves.
    Serving,
    /// It has begun to drain, or has drained.
    OutOfService,
}

/// What the router has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing for now.
    Wait,
    /// Submit this command, and hand its outcome to [`LeaseHolder::record_outcome`].
    Submit(Command),
    /// Begin to drain at once: the lease was checked against the clock.
    BeginDrain,
    /// Serve again.
    ResumeService,
    /// Once drained, install the file of this digest and restart.
    InstallAndRestart(String),
}

/// What became of a submitted command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It was applied.
    Applied,
    /// It was rejected, or no majority answered in time.
    NotApplied,
}

/// One router's side of the drain lease.
#[derive(Debug)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    router: RouterIndex,
    incarnation: Incarnation,
    /// When the granted lease was asked for.
    requested_at: Option<Nanos>,
    /// When the last request was rejected.
    rejected_at: Option<Nanos>,
}

impl LeaseHolder {
    /// The side of a router that has just started: it knows of no lease.
    pub fn new(timing: LeaseTiming, router: RouterIndex, incarnation: Incarnation) -> LeaseHolder {
        LeaseHolder { timing, router, incarnation, requested_at: None, rejected_at: None }
    }

    /// What to do by the newest fleet state that is known here.
    ///
    /// `now` is the router's monotonic clock. `running_digest` is that of the file that it runs, of the kind that is being
    /// released; `None`: its settings have no such file.
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
            // An earlier incarnation drained; this one has started since.
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

    /// Records what became of a command of [`NextStep::Submit`]. `submitted_at` is the time before it was sent, from which
    /// the lease is counted.
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

/// Whether a halt may be answered that was agreed on this long ago: no router can begin to drain any more.
pub fn halt_is_effective(timing: &LeaseTiming, agreed_ago: Duration, state: &FleetState) -> bool {
    // A router that is to return may have held its lease until a moment ago, and not know yet that it lost it.
    let may_drain = |stage| matches!(stage, DrainStage::Leased(_) | DrainStage::Returning(_));
    let none_may_drain = !state.drains.values().any(|drain| may_drain(drain.stage));
    none_may_drain || agreed_ago > timing.safe_expiry()
}

#[cfg(test)]
mod tests;
