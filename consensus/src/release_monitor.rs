//! When a wave of a release is complete and when it has failed, as one member of the council sees it.
//!
//! Every member monitors and may submit the command: the fleet state applies it once. A member that takes over begins to
//! observe anew, which makes a release slower and never less strict.

mod answer_counts;
mod comparison;

use std::collections::BTreeMap;
use std::time::Duration;

use tallypin_membership::{elapsed, Incarnation, Nanos, RouterIndex};

pub use answer_counts::AnswerCounts;
use comparison::Comparison;

use crate::fleet_state::{Command, DrainLimits, DrainStage, FleetState, WaveFailure};
use crate::release::{Release, ReleasePhase};

/// What a member has heard of a router that is not silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterReport {
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// What that incarnation has answered.
    pub counts: AnswerCounts,
}

/// One member's observation of the release in progress.
#[derive(Debug, Default)]
pub struct ReleaseMonitor {
    /// What the rest of this is about; it starts anew with each wave.
    wave: Option<ObservedWave>,
    /// Since when each router of the wave is out of service.
    out_since: BTreeMap<RouterIndex, Nanos>,
    /// Set while all routers of the wave are back.
    baseline: Option<Baseline>,
}

/// A wave of one release, on its way forwards or back.
#[derive(Debug, PartialEq, Eq)]
struct ObservedWave {
    order: String,
    wave: usize,
    rolls_back: bool,
}

/// What had been reported when all routers of a wave were back.
#[derive(Debug)]
struct Baseline {
    since: Nanos,
    reports: Vec<Option<RouterReport>>,
}

impl ReleaseMonitor {
    /// The command to submit, if any: that the wave is complete, or that it has failed.
    ///
    /// `now` is this member's monotonic clock. `reports` is by [`RouterIndex`]; `None`: the router is silent.
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
            // With too few answers to compare it waits, however long.
            && comparison.released.answered >= release.plan.min_answers;
        observed_enough.then_some(Command::CompleteWave(release.wave))
    }

    /// Starts anew if the wave is another one.
    fn observe(&mut self, wave: ObservedWave) {
        if self.wave.as_ref() != Some(&wave) {
            *self = ReleaseMonitor { wave: Some(wave), ..ReleaseMonitor::default() };
        }
    }

    /// A router that has been out of service for longer than `ready_within`.
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

/// A released router that has restarted since the baseline, or has become silent. Routers that an operator drains are not
/// looked at.
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
