//! Follows the fleet state and applies it to this router: drains it under its lease, returns it to service, installs a
//! release.
//!
//! `tallypin_consensus::drain_lease` decides the next step; this module executes it.

use std::rc::Rc;

use tallypin_consensus::drain_lease::{LeaseHolder, LocalPhase, NextStep, SubmitOutcome};
use tallypin_consensus::fleet_state::{Command, FleetState, UnfitReport};

use super::artifacts::{ArtifactError, Artifacts};
use super::control::RouterControl;
use super::council::Council;
use super::known_state::KnownState;
use super::local_router::LocalRouter;
use super::settings::FleetSettings;
use super::submission::{CommandSubmitter, SubmitError};

/// Whether to take another step at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Another step may be due.
    Continue,
    /// No step is due until the state changes or time passes.
    Wait,
}

/// Follows the fleet state for this router.
pub struct StateFollower {
    settings: Rc<FleetSettings>,
    local: Rc<LocalRouter>,
    control: Rc<dyn RouterControl>,
    artifacts: Rc<Artifacts>,
    council: Rc<Council>,
    submitter: Rc<CommandSubmitter>,
    state: Rc<KnownState>,
    lease_holder: LeaseHolder,
    phase: LocalPhase,
    /// The router has installed a release and is shutting down.
    shutting_down: bool,
}

impl StateFollower {
    /// Creates the follower of a router that is in service.
    pub fn new(
        settings: Rc<FleetSettings>,
        local: Rc<LocalRouter>,
        control: Rc<dyn RouterControl>,
        artifacts: Rc<Artifacts>,
        council: Rc<Council>,
        submitter: Rc<CommandSubmitter>,
        state: Rc<KnownState>,
    ) -> StateFollower {
        let lease_holder = LeaseHolder::new(settings.lease, local.index(), local.incarnation());
        StateFollower {
            settings,
            local,
            control,
            artifacts,
            council,
            submitter,
            state,
            lease_holder,
            phase: LocalPhase::Serving,
            shutting_down: false,
        }
    }

    /// Reads the state when a member reports a newer version, and takes the steps that are due. Never returns.
    pub async fn run(mut self) {
        let interval = self.settings.heartbeat.interval;
        loop {
            // Steps also become due by time alone: a lease expires, or a rejected lease request may be repeated.
            self.state.wait_for_change(interval).await;
            let is_behind = self.state.is_behind() || self.council.accepted_version() > self.state.version();
            if is_behind && self.submitter.submit(&Command::Read).await.is_err() {
                continue;
            }
            while self.step().await == Progress::Continue {}
        }
    }

    /// Takes the next step if one is due.
    async fn step(&mut self) -> Progress {
        let Some(state) = self.state.current() else { return Progress::Wait };
        let artifact = state.release.as_ref().map(|release| release.artifact.as_str());
        let running = artifact.and_then(|artifact| self.artifacts.running_digest(artifact));
        let now = self.local.now();
        match self.lease_holder.next_step(now, &state, self.phase, running) {
            NextStep::Wait => Progress::Wait,
            // The lease is still valid: `next_step` checked it at `now`, and nothing was awaited since.
            NextStep::BeginDrain => self.begin_drain(&state),
            NextStep::ResumeService => self.resume_service(&state),
            NextStep::InstallAndRestart(digest) => {
                self.install_and_restart(artifact.unwrap_or_default(), &digest).await
            }
            NextStep::Submit(command) => self.submit(command, &state).await,
        }
    }

    fn begin_drain(&mut self, state: &FleetState) -> Progress {
        if self.control.begin_drain().is_err() {
            return Progress::Wait;
        }
        tracing::info!(target: "fleet", version = state.version, "router begins to drain under its drain lease");
        self.phase = LocalPhase::OutOfService;
        Progress::Continue
    }

    fn resume_service(&mut self, state: &FleetState) -> Progress {
        if self.control.resume_service().is_err() {
            return Progress::Wait;
        }
        tracing::info!(target: "fleet", version = state.version, "router returned to service");
        self.phase = LocalPhase::Serving;
        Progress::Continue
    }

    async fn install_and_restart(&mut self, artifact: &str, digest: &str) -> Progress {
        if self.shutting_down || !self.control.is_drained() {
            return Progress::Wait;
        }
        if let Err(error) = self.artifacts.install(artifact, digest).await {
            return self.report_unfit(error).await;
        }
        self.shutting_down = true;
        tracing::info!(target: "fleet", artifact, digest, "router shuts down to start the released artifact");
        self.control.shut_down();
        Progress::Wait
    }

    async fn submit(&mut self, command: Command, state: &FleetState) -> Progress {
        let artifact = state.release.as_ref().map(|release| release.artifact.as_str());
        if let (Command::AcquireReleaseLease(_), Some(artifact)) = (&command, artifact) {
            let drain = state.drains.get(&self.local.index());
            let target = drain.and_then(|drain| drain.target_digest.as_deref()).unwrap_or_default();
            if let Err(error) = self.artifacts.validate(artifact, target).await {
                return self.report_unfit(error).await;
            }
        }
        let submitted_at = self.local.now();
        let submitted = self.submitter.submit(&command).await;
        let confirms_trial = matches!(command, Command::ReportServing(_) | Command::ReportUpToDate(_));
        if let (true, Ok(_), Some(artifact)) = (confirms_trial, &submitted, artifact) {
            self.confirm(artifact).await;
        }
        if let Err(SubmitError::Rejected(reason)) = &submitted {
            tracing::debug!(target: "fleet", ?command, %reason, "command rejected");
        }
        let (outcome, progress) = match submitted {
            Ok(_) => (SubmitOutcome::Applied, Progress::Continue),
            Err(_) => (SubmitOutcome::NotApplied, Progress::Wait),
        };
        self.lease_holder.record_outcome(submitted_at, self.local.now(), &command, outcome);
        progress
    }

    async fn confirm(&self, artifact: &str) {
        if let Err(error) = self.artifacts.confirm(artifact).await {
            tracing::warn!(target: "fleet", %error, "trial marker of the released artifact can't be removed");
        }
    }

    /// Reports to the council that this router can't run the released artifact.
    async fn report_unfit(&self, error: ArtifactError) -> Progress {
        tracing::warn!(target: "fleet", %error, "released artifact can't be run");
        let report = UnfitReport { router: self.local.index(), cause: error.to_string() };
        match self.submitter.submit(&Command::ReportUnfit(report)).await {
            Ok(_) => Progress::Continue,
            Err(_) => Progress::Wait,
        }
    }
}
