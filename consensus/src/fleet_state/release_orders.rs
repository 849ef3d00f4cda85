//! The course of a release: begun by order, wave by wave, to its end or back.

use std::collections::{BTreeMap, BTreeSet};

use tallypin_membership::RouterIndex;

use super::{
    DrainEntry, DrainLimits, DrainStage, FleetState, HeldRouter, Rejection, ReleaseOrder, RouterIncarnation,
    UnfitReport, WaveFailure, MAX_CAUSE_CHARS,
};
use crate::release::{Release, ReleasePhase, MAX_ATTEMPTS, MAX_WAVES};

/// At least so many routers of a wave are requested to drain at once, however low the limits are.
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
        // A router that an operator has drained must not return with the release.
        if let Some((&router, drain)) = self.drains.iter().find(|(router, _)| routers.contains(router)) {
            let held = HeldRouter { router: limits.name(router), order: drain.order.clone() };
            return Err(Rejection::HeldByOtherOrder(held));
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

    /// Requests the routers of the present wave to drain, for the released file or for the one that they ran before.
    ///
    /// Only a few more at a time than the limits let go at once: else all routers of a large wave would ask for the lease
    /// with every change, and the state that is sent would hold them all.
    pub(super) fn request_wave(&mut self, limits: &DrainLimits) {
        let Some(release) = self.release.as_mut().filter(|release| release.is_active()) else { return };
        let wave = release.waves.get(release.wave).map_or(&[][..], Vec::as_slice);
        let most = (2 * limits.total).max(MIN_REQUESTED_AT_ONCE);
        let mut open = self.drains.values().filter(|drain| drain.order == release.order).count();
        while let Some(router) = wave.get(release.started).filter(|_| open < most) {
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

    /// Ends a wave of which all routers are back, and with the last one the release or its roll-back.
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
            // While the release is rolled back it can do no more, and serves as it is.
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

    /// A router has restarted without running what it was to run: it drains once more, a few times at most.
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

    /// The drain of a router that is part of a release or of its roll-back.
    fn release_drain(&mut self, router: RouterIndex) -> Result<&mut DrainEntry, Rejection> {
        let drain = self.drains.get_mut(&router).filter(|drain| drain.target_digest.is_some());
        drain.ok_or(Rejection::NothingToChange)
    }

    /// A check has failed: the release is halted or rolled back, as its plan says. A roll-back goes on.
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
        self.cancel_requested(&order);
    }

    /// Routers that have not left yet stay, those that are out return as they are. Then wave by wave, the last one first,
    /// all that ran the released file drain to run the previous one.
    fn begin_roll_back(&mut self, cause: &str) {
        let Some(release) = self.release.as_mut() else { return };
        (release.phase, release.started) = (ReleasePhase::RollingBack(cause.into()), 0);
        let order = release.order.clone();
        self.cancel_requested(&order);
        for drain in self.drains.values_mut().filter(|drain| drain.order == order) {
            if let DrainStage::Leased(incarnation) | DrainStage::OutOfService(incarnation) = drain.stage {
                drain.stage = DrainStage::Returning(incarnation);
            }
        }
    }

    /// Drops the drains of an order that have not begun.
    fn cancel_requested(&mut self, order: &str) {
        self.drains.retain(|_, drain| drain.order != order || drain.stage != DrainStage::Requested);
    }
}

/// The routers of all waves, each of them known and named once.
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
