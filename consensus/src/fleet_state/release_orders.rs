//! The course of a release: it begins by an operator's order and proceeds wave by wave until it is done or rolled back.

use std::collections::{BTreeMap, BTreeSet};

use tallypin_membership::RouterIndex;

use super::{
    ConflictingDrain, DrainEntry, DrainLimits, DrainStage, FleetState, Rejection, ReleaseOrder,
    RouterIncarnation, UnfitReport, WaveFailure, MAX_CAUSE_CHARS,
};
use crate::release::{Release, ReleasePhase, MAX_ATTEMPTS, MAX_WAVES};

/// Minimum number of routers of a wave that are requested to drain at once, however low the limits are.
const MIN_REQUESTED_AT_ONCE: usize = 4;

impl FleetState {
    pub(super) fn begin_release(
        &mut self,
        release: &ReleaseOrder,
        limits: &DrainLimits,
    ) -> Result<(), Rejection> {
        if let Some(active) = self.release.as_ref().filter(|release| release.is_active()) {
            return Err(Rejection::ReleaseInProgress(active.order.clone()));
        }
        let routers = check_waves(&release.waves, limits)?;
        // A router that an operator has drained must not return to service because of the release.
        if let Some((&router, drain)) = self.drains.iter().find(|(router, _)| routers.contains(router)) {
            let conflict = ConflictingDrain { router: limits.name(router), order: drain.order.clone() };
            return Err(Rejection::ConflictingOrder(conflict));
        }
        self.release = Some(Box::new(Release {
            order: release.order.clone(),
            artifact: release.artifact.clone(),
            digest: release.digest.clone(),
            waves: release.waves.clone(),
            wave: 0,
            started: 0,
            phase: ReleasePhase::Running,
            previous_digests: BTreeMap::new(),
            plan: release.plan.clone(),
        }));
        Ok(())
    }

    /// Requests routers of the current wave to drain, for the released file or for the one that they ran before.
    ///
    /// At most twice as many as the limits allow are requested at once: otherwise all routers of a large wave would request
    /// the lease with every change, and the transmitted state would contain all of them.
    pub(super) fn request_wave(&mut self, limits: &DrainLimits) {
        let Some(release) = self.release.as_mut().filter(|release| release.is_active()) else { return };
        let wave = release.waves.get(release.wave).map_or(&[][..], Vec::as_slice);
        let max_requested = (2 * limits.total).max(MIN_REQUESTED_AT_ONCE);
        let mut open = self.drains.values().filter(|drain| drain.order == release.order).count();
        while let Some(router) = wave.get(release.started).filter(|_| open < max_requested) {
            release.started += 1;
            let target = match release.phase {
                ReleasePhase::RollingBack(_) => release.previous_digests.get(router),
                _ => Some(&release.digest),
            };
            if target.is_some() {
                let requested = || DrainEntry::requested(&release.order, target);
                self.drains.entry(*router).or_insert_with(requested);
                open += 1;
            }
        }
    }

    /// Ends a wave whose routers are all back. The last wave ends the release or its roll-back.
    pub(super) fn complete_wave(&mut self, wave: usize) -> Result<(), Rejection> {
        let present = self.release.as_mut().filter(|release| release.wave == wave && release.is_active());
        let release = present.ok_or(Rejection::NothingToChange)?;
        if self.drains.values().any(|drain| drain.order == release.order) {
            return Err(Rejection::NothingToChange);
        }
        release.started = 0;
        match (&release.phase, release.wave) {
            (ReleasePhase::RollingBack(cause), 0) => release.phase = ReleasePhase::RolledBack(cause.clone()),
            (ReleasePhase::RollingBack(_), _) => release.wave -= 1,
            _ if release.wave + 1 == release.waves.len() => release.phase = ReleasePhase::Done,
            _ => release.wave += 1,
        }
        Ok(())
    }

    pub(super) fn fail_wave(&mut self, failure: &WaveFailure) -> Result<(), Rejection> {
        let is_present =
            |release: &Release| release.wave == failure.wave && release.phase == ReleasePhase::Running;
        if !self.release.as_deref().is_some_and(is_present) {
            return Err(Rejection::NothingToChange);
        }
        self.fail_release(&failure.cause);
        Ok(())
    }

    pub(super) fn roll_back(&mut self, cause: &str) -> Result<(), Rejection> {
        match self.release.as_deref().map(|release| &release.phase) {
            None | Some(ReleasePhase::RollingBack(_) | ReleasePhase::RolledBack(_)) => {
                Err(Rejection::NothingToChange)
            }
            Some(ReleasePhase::Running | ReleasePhase::Failed(_) | ReleasePhase::Done) => {
                self.begin_roll_back(cause);
                Ok(())
            }
        }
    }

    pub(super) fn report_up_to_date(&mut self, router: RouterIndex) -> Result<(), Rejection> {
        let drain = self.release_drain(router)?;
        if drain.stage != DrainStage::Requested {
            return Err(Rejection::NothingToChange);
        }
        self.drains.remove(&router);
        Ok(())
    }

    pub(super) fn report_unfit(
        &mut self,
        report: &UnfitReport,
        limits: &DrainLimits,
    ) -> Result<(), Rejection> {
        let router = report.router;
        let drain = self.release_drain(router)?.clone();
        self.fail_release(&format!("{}: {}", limits.name(router), report.cause));
        match drain.stage {
            // A router that is unfit during the roll-back keeps serving with the file that it runs.
            DrainStage::Requested => drop(self.drains.remove(&router)),
            DrainStage::Leased(incarnation) | DrainStage::OutOfService(incarnation) => {
                let (stage, attempts) =
                    (DrainStage::Returning(incarnation), drain.attempts.saturating_add(1));
                self.drains.insert(router, DrainEntry { stage, attempts, ..drain });
            }
            DrainStage::Returning(_) => return Err(Rejection::NothingToChange),
        }
        Ok(())
    }

    /// Requests another drain of a router that has restarted without running its target file, up to [`MAX_ATTEMPTS`] times.
    pub(super) fn retry_release(
        &mut self,
        reporter: RouterIncarnation,
        limits: &DrainLimits,
    ) -> Result<(), Rejection> {
        let router = reporter.router;
        let drain = self.release_drain(router)?;
        match drain.stage {
            DrainStage::Leased(of) | DrainStage::OutOfService(of) if of != reporter.incarnation => {
                drain.stage = DrainStage::Requested;
            }
            _ => return Err(Rejection::NothingToChange),
        }
        drain.attempts = drain.attempts.saturating_add(1);
        if drain.attempts >= MAX_ATTEMPTS {
            let name = limits.name(router);
            self.fail_release(&format!("{name} came back {MAX_ATTEMPTS} times and ran something else"));
            self.drains.remove(&router);
        }
        Ok(())
    }

    /// Returns the drain of a router that is part of a release or of its roll-back.
    fn release_drain(&mut self, router: RouterIndex) -> Result<&mut DrainEntry, Rejection> {
        let drain = self.drains.get_mut(&router).filter(|drain| drain.target_digest.is_some());
        drain.ok_or(Rejection::NothingToChange)
    }

    /// Halts or rolls back the release after a failed check, as its plan states. A roll-back in progress continues.
    fn fail_release(&mut self, cause: &str) {
        let cause: String = cause.chars().take(MAX_CAUSE_CHARS).collect();
        let running = self.release.as_mut().filter(|release| release.phase == ReleasePhase::Running);
        let Some(release) = running else { return };
        if release.plan.rolls_back {
            return self.begin_roll_back(&cause);
        }
        release.phase = ReleasePhase::Failed(cause.clone());
        let order = release.order.clone();
        self.halted = Some(cause);
        self.cancel_requested_drains(&order);
    }

    /// Cancels drains that have not begun and returns drained routers to service as they are. Then all routers that ran the
    /// released file drain again, the last wave first, to run their previous file.
    fn begin_roll_back(&mut self, cause: &str) {
        let Some(release) = self.release.as_mut() else { return };
        (release.phase, release.started) = (ReleasePhase::RollingBack(cause.into()), 0);
        let order = release.order.clone();
        self.cancel_requested_drains(&order);
        for drain in self.drains.values_mut().filter(|drain| drain.order == order) {
            if let DrainStage::Leased(incarnation) | DrainStage::OutOfService(incarnation) = drain.stage {
                drain.stage = DrainStage::Returning(incarnation);
            }
        }
    }

    /// Removes the drains of an order that have not begun.
    fn cancel_requested_drains(&mut self, order: &str) {
        self.drains.retain(|_, drain| drain.order != order || drain.stage != DrainStage::Requested);
    }
}

/// Returns the routers of all waves, and checks that each is known and named once.
fn check_waves(waves: &[Vec<RouterIndex>], limits: &DrainLimits) -> Result<BTreeSet<RouterIndex>, Rejection> {
    let named = || waves.iter().flatten().copied();
    let routers: BTreeSet<RouterIndex> = named().collect();
    let well_formed = (1..=MAX_WAVES).contains(&waves.len()) && waves.iter().all(|wave| !wave.is_empty());
    if !well_formed || routers.len() < named().count() {
        return Err(Rejection::InvalidWaves);
    }
    named().try_for_each(|router| limits.check_known(router))?;
    Ok(routers)
}
