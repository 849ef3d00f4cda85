//! Compares the answers of the released routers with those of the other routers.

use super::{AnswerCounts, RouterReport};
use crate::release::{Release, ReleasePlan};

/// Counts of answers since a baseline, of the routers that run the released file and of the others.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    pub(super) released: AnswerCounts,
    pub(super) others: AnswerCounts,
}

impl Comparison {
    /// Counts the answers of the routers whose incarnation is the same as at the baseline. Both slices are by router.
    pub(super) fn new(
        release: &Release,
        baseline: &[Option<RouterReport>],
        reports: &[Option<RouterReport>],
    ) -> Comparison {
        let mut comparison = Comparison::default();
        for ((router, was), is) in (0..).zip(baseline).zip(reports) {
            let (Some(was), Some(is)) = (was, is) else { continue };
            if was.incarnation != is.incarnation {
                continue;
            }
            let side = match release.wave_of(router).is_some_and(|wave| wave <= release.wave) {
                true => &mut comparison.released,
                false => &mut comparison.others,
            };
            *side = side.plus(is.counts.since(was.counts));
        }
        comparison
    }

    /// Returns why the released routers fail the checks of the plan; `None` if they pass or have too few answers.
    pub(super) fn failure(&self, plan: &ReleasePlan) -> Option<String> {
        let (released, others) = (self.released, self.others);
        if released.answered < plan.min_answers.max(1) {
            return None;
        }
        let rates = [
            ("failed", released.failed, others.failed, plan.max_extra_failed),
            ("late", released.late, others.late, plan.max_extra_late),
            ("refused", released.rejected, others.rejected, plan.max_extra_rejected),
        ];
        rates.into_iter().find_map(|(kind, of_released, of_others, max_extra)| {
            let of_released = per_mille(of_released, released.answered);
            let of_others = per_mille(of_others, others.answered);
            let is_worse = of_released > of_others.saturating_add(u128::from(max_extra));
            is_worse
                .then(|| format!("{of_released} of 1000 {kind} where it is released, {of_others} elsewhere"))
        })
    }
}

fn per_mille(count: u64, total: u64) -> u128 {
    match total {
        0 => 0,
        total => u128::from(count) * 1000 / u128::from(total),
    }
}
