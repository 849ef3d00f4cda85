//! Decides, for one member of the council, when a wave of a release is complete and when it has failed.
//!
//! Every member monitors and may submit the command: the fleet state applies it once. A member that takes over observes the
//! wave from the beginning, which makes a release slower, but never less strict.

mod answer_counts;
mod comparison;

use std::collections::BTreeMap;
use std::time::Duration;

use tallypin_membership::{elapsed, Incarnation, Nanos, RouterIndex};

pub use answer_counts::AnswerCounts;
use comparison::Comparison;

use crate::fleet_state::{Command, DrainLimits, DrainStage, FleetState, WaveFailure};
use crate::release::{Release, ReleasePhase};

/// A router's report that a member has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterReport {
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// Counts of the answers of that incarnation.
    pub counts: AnswerCounts,
}

/// One member's observation of the release in progress.
#[derive(Debug, Default)]
pub struct ReleaseMonitor {
    /// The observed wave. The other fields are reset with each wave.
    wave: Option<ObservedWave>,
    /// Time at which each router of the wave went out of service.
    out_since: BTreeMap<RouterIndex, Nanos>,
    /// Reports from the time when all routers of the wave were back; set while they are.
    baseline: Option<Baseline>,
}

/// A wave of a release or of its roll-back.
#[derive(Debug, PartialEq, Eq)]
struct ObservedWave {
    order: String,
    wave: usize,
    rolls_back: bool,
}

/// The routers' reports at the time when all routers of a wave were back.
#[derive(Debug)]
struct Baseline {
    since: Nanos,
    reports: Vec<Option<RouterReport>>,
}

impl ReleaseMonitor {
    /// Returns the command to submit, if the wave is complete or has failed.
    ///
    /// `now` is this member's monotonic clock. `reports` is by [`RouterIndex`]; `None` for a silent router.
    pub fn next_command(
        &mut self,
        now: Nanos,
        state: &FleetState,
        limits: &DrainLimits,
        reports: &[Option<RouterReport>],
    ) -> Option<Command> {
        let release = state.release.as_ref().filter(|release| release.is_active())?;
        let rolls_back = matches!(release.phase, ReleasePhase::RollingBack(_));
        self.observe(ObservedWave { order: release.order.clone(), wave: release.wave, rolls_back });
        let open: BTreeMap<RouterIndex, DrainStage> = state
            .drains
            .iter()
            .filter(|(_, drain)| drain.order == release.order)
            .map(|(&router, drain)| (router, drain.stage))
            .collect();
        if rolls_back {
            return open.is_empty().then_some(Command::CompleteWave(release.wave));
        }
        let fail = |cause| Some(Command::FailWave(WaveFailure { wave: release.wave, cause }));
        let ready_within = Duration::from_millis(release.plan.ready_ms);
        if let Some(overdue) = self.overdue(now, &open, ready_within) {
            return fail(format!("{} is not back in time", limits.name(overdue)));
        }
        if !open.is_empty() {
            self.baseline = None;
            return None;
        }
        let baseline =
            self.baseline.get_or_insert_with(|| Baseline { since: now, reports: reports.to_vec() });
        if let Some(lost) = lost_router(release, state, &baseline.reports, reports) {
            return fail(format!("{} has crashed or is silent", limits.name(lost)));
        }
        let comparison = Comparison::new(release, &baseline.reports, reports);
        if let Some(cause) = comparison.failure(&release.plan) {
            return fail(cause);
        }
        let observed = elapsed(now, baseline.since);
        let observed_enough = observed >= Duration::from_millis(release.plan.watch_ms)
            // Without enough answers for a comparison the wave is observed for longer, without a limit.
            && comparison.released.answered >= release.plan.min_answers;
        observed_enough.then_some(Command::CompleteWave(release.wave))
    }

    /// Resets the monitor if `wave` is not the observed one.
    fn observe(&mut self, wave: ObservedWave) {
        if self.wave.as_ref() != Some(&wave) {
            *self = ReleaseMonitor { wave: Some(wave), ..ReleaseMonitor::default() };
        }
    }

    /// Returns a router that has been out of service for longer than `ready_within`, if there is one.
    fn overdue(
        &mut self,
        now: Nanos,
        open: &BTreeMap<RouterIndex, DrainStage>,
        ready_within: Duration,
    ) -> Option<RouterIndex> {
        let is_out = |stage: &DrainStage| *stage != DrainStage::Requested;
        self.out_since.retain(|router, _| open.get(router).is_some_and(is_out));
        open.iter().filter(|(_, stage)| is_out(stage)).map(|(&router, _)| router).find(|&router| {
            let since = *self.out_since.entry(router).or_insert(now);
            elapsed(now, since) > ready_within
        })
    }
}

/// Returns a released router that has restarted or become silent since the baseline, if there is one. Routers with a drain
/// entry are skipped.
fn lost_router(
    release: &Release,
    state: &FleetState,
    baseline: &[Option<RouterReport>],
    reports: &[Option<RouterReport>],
) -> Option<RouterIndex> {
    let report = |of: &[Option<RouterReport>], router: RouterIndex| of.get(usize::from(router)).copied()?;
    release.released().find(|router| {
        let is_lost =
            |was: RouterReport| report(reports, *router).is_none_or(|is| is.incarnation != was.incarnation);
        !state.drains.contains_key(router) && report(baseline, *router).is_some_and(is_lost)
    })
}

#[cfg(test)]
mod tests;
