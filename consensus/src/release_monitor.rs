//! When a wave is done, and when it has failed, as one member of the council sees it. Any member may say so: a change is
//! made once, whoever asks for it. A member that takes over watches from anew, which makes a release later, not looser.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_membership::{Nanos, RouterIndex};

use crate::fleet_state::{Command, DrainLimits, DrainStage, FleetState};
use crate::release::{Release, ReleasePhase, ReleasePlan};

const MS: Nanos = 1_000_000;

/// A router's final answers since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All.
    pub answered: u64,
    /// Failed, or broken after they had begun.
    pub failed: u64,
    /// First events that came after more than half of the time that the client waits.
    pub late: u64,
    /// Refused, but for a partner's share.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl AnswerCounts {
    fn since(self, before: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answered: self.answered.saturating_sub(before.answered),
            failed: self.failed.saturating_sub(before.failed),
            late: self.late.saturating_sub(before.late),
            rejected: self.rejected.saturating_sub(before.rejected),
        }
    }

    fn and(self, more: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answered: self.answered.saturating_add(more.answered),
            failed: self.failed.saturating_add(more.failed),
            late: self.late.saturating_add(more.late),
            rejected: self.rejected.saturating_add(more.rejected),
        }
    }
}

/// What a member has heard of a router that is not silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterReport {
    /// Its life.
    pub incarnation: u64,
    /// What it has answered.
    pub counts: AnswerCounts,
}

/// A member's watch over the release that is on.
#[derive(Debug, Default)]
pub struct ReleaseMonitor {
    /// What it watches: the order, its wave, whether it goes back.
    at: Option<(String, usize, bool)>,
    /// Since when a router of the wave is out.
    gone: BTreeMap<RouterIndex, Nanos>,
    /// Since when all of the wave are back, and what had been heard then.
    back: Option<(Nanos, Vec<Option<RouterReport>>)>,
}

impl ReleaseMonitor {
    /// What is to be asked for, if anything. `heard` by router; `None`: silent.
    pub fn next_command(
        &mut self,
        now: Nanos,
        document: &FleetState,
        bounds: &DrainLimits,
        heard: &[Option<RouterReport>],
    ) -> Option<Command> {
        let r = document.release.as_ref().filter(|r| r.is_active())?;
        let undone = matches!(r.phase, ReleasePhase::RollingBack(_));
        let at = Some((r.order.clone(), r.wave, undone));
        if self.at != at {
            *self = ReleaseMonitor { at, ..ReleaseMonitor::default() };
        }
        let open: BTreeMap<RouterIndex, DrainStage> =
            document.drains.iter().filter(|(_, e)| e.order == r.order).map(|(p, e)| (*p, e.stage)).collect();
        if undone {
            return open.is_empty().then_some(Command::CompleteWave(r.wave));
        }
        self.gone.retain(|p, _| open.get(p).is_some_and(|s| *s != DrainStage::Requested));
        for (place, _) in open.iter().filter(|(_, s)| **s != DrainStage::Requested) {
            let since = *self.gone.entry(*place).or_insert(now);
            if now.saturating_sub(since) > r.plan.ready_ms.saturating_mul(MS) {
                return Some(Command::FailWave(
                    (r.wave, format!("{} is not back in time", bounds.name(*place))).into(),
                ));
            }
        }
        if !open.is_empty() {
            self.back = None;
            return None;
        }
        let (since, base) = self.back.get_or_insert_with(|| (now, heard.to_vec()));
        let failed =
            crashed(r, document, base, heard).map(|p| format!("{} has crashed or is silent", bounds.name(p)));
        let (released, others) = shares(r, base, heard);
        if let Some(why) = failed.or_else(|| worse(&r.plan, released, others)) {
            return Some(Command::FailWave((r.wave, why).into()));
        }
        // Too few to tell: it waits, however long.
        let over = now.saturating_sub(*since) >= r.plan.watch_ms.saturating_mul(MS);
        (over && released.answered >= r.plan.min_answers).then_some(Command::CompleteWave(r.wave))
    }
}

/// A router that has been released and has started again since, or is not heard. Who is out by hand is not looked at.
fn crashed(
    r: &Release,
    document: &FleetState,
    base: &[Option<RouterReport>],
    heard: &[Option<RouterReport>],
) -> Option<RouterIndex> {
    let get = |of: &[Option<RouterReport>], p: RouterIndex| of.get(usize::from(p)).copied().flatten();
    r.released().find(|p| {
        !document.drains.contains_key(p)
            && get(base, *p)
                .is_some_and(|was| get(heard, *p).is_none_or(|is| is.incarnation != was.incarnation))
    })
}

/// What was answered since, by those that run what is released, and by the others.
fn shares(
    r: &Release,
    base: &[Option<RouterReport>],
    heard: &[Option<RouterReport>],
) -> (AnswerCounts, AnswerCounts) {
    let (mut released, mut others) = (AnswerCounts::default(), AnswerCounts::default());
    for ((place, was), is) in (0..).zip(base).zip(heard) {
        let (Some(was), Some(is)) = (was, is) else { continue };
        if was.incarnation == is.incarnation {
            let side =
                if r.wave_of(place).is_some_and(|w| w <= r.wave) { &mut released } else { &mut others };
            *side = side.and(is.counts.since(was.counts));
        }
    }
    (released, others)
}

/// Whether the released do worse than the others by more than the plan lets them, once there is enough to tell.
fn worse(plan: &ReleasePlan, released: AnswerCounts, others: AnswerCounts) -> Option<String> {
    if released.answered < plan.min_answers.max(1) {
        return None;
    }
    let per_mille = |n: u64, of: u64| if of == 0 { 0 } else { u128::from(n) * 1000 / u128::from(of) };
    let kinds = [
        ("failed", released.failed, others.failed, plan.max_extra_failed),
        ("late", released.late, others.late, plan.max_extra_late),
        ("refused", released.rejected, others.rejected, plan.max_extra_rejected),
    ];
    kinds.into_iter().find_map(|(kind, new, old, most)| {
        let (new, old) = (per_mille(new, released.answered), per_mille(old, others.answered));
        let worse = new > old.saturating_add(u128::from(most));
        worse.then(|| format!("{new} of 1000 {kind} where it is released, {old} elsewhere"))
    })
}

#[cfg(test)]
mod tests;
