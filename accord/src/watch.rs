//! When a wave is done, and when it has failed, as one member of the council sees it. Any member may say so: a change is
//! made once, whoever asks for it. A member that takes over watches from anew, which makes a release later, not looser.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_members::{Nanos, Place};

use crate::document::{Act, Bounds, Document, Stage};
use crate::release::{Phase, Plan, Release};

const MS: Nanos = 1_000_000;

/// A router's final answers since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// All.
    pub answered: u64,
    /// Failed, or broken after they had begun.
    pub failed: u64,
    /// First events that came after more than half of the time that the client waits.
    pub late: u64,
    /// Refused, but for a partner's share.
    pub refused: u64,
}

impl Counts {
    fn since(self, before: Counts) -> Counts {
        Counts {
            answered: self.answered.saturating_sub(before.answered),
            failed: self.failed.saturating_sub(before.failed),
            late: self.late.saturating_sub(before.late),
            refused: self.refused.saturating_sub(before.refused),
        }
    }

    fn and(self, more: Counts) -> Counts {
        Counts {
            answered: self.answered.saturating_add(more.answered),
            failed: self.failed.saturating_add(more.failed),
            late: self.late.saturating_add(more.late),
            refused: self.refused.saturating_add(more.refused),
        }
    }
}

/// What a member has heard of a router that is not silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Its life.
    pub life: u64,
    /// What it has answered.
    pub counts: Counts,
}

/// A member's watch over the release that is on.
#[derive(Debug, Default)]
pub struct Watch {
    /// What it watches: the order, its wave, whether it goes back.
    at: Option<(String, usize, bool)>,
    /// Since when a router of the wave is out.
    gone: BTreeMap<Place, Nanos>,
    /// Since when all of the wave are back, and what had been heard then.
    back: Option<(Nanos, Vec<Option<Heard>>)>,
}

impl Watch {
    /// What is to be asked for, if anything. `heard` by router; `None`: silent.
    pub fn next(
        &mut self,
        now: Nanos,
        document: &Document,
        bounds: &Bounds,
        heard: &[Option<Heard>],
    ) -> Option<Act> {
        let r = document.release.as_ref().filter(|r| r.moves())?;
        let undone = matches!(r.phase, Phase::Back(_));
        let at = Some((r.order.clone(), r.wave, undone));
        if self.at != at {
            *self = Watch { at, ..Watch::default() };
        }
        let open: BTreeMap<Place, Stage> =
            document.entries.iter().filter(|(_, e)| e.order == r.order).map(|(p, e)| (*p, e.stage)).collect();
        if undone {
            return open.is_empty().then_some(Act::Wave(r.wave));
        }
        self.gone.retain(|p, _| open.get(p).is_some_and(|s| *s != Stage::Wanted));
        for (place, _) in open.iter().filter(|(_, s)| **s != Stage::Wanted) {
            let since = *self.gone.entry(*place).or_insert(now);
            if now.saturating_sub(since) > r.plan.ready_ms.saturating_mul(MS) {
                return Some(Act::Fail(r.wave, format!("{} is not back in time", bounds.name(*place))));
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
            return Some(Act::Fail(r.wave, why));
        }
        // Too few to tell: it waits, however long.
        let over = now.saturating_sub(*since) >= r.plan.watch_ms.saturating_mul(MS);
        (over && released.answered >= r.plan.enough).then_some(Act::Wave(r.wave))
    }
}

/// A router that has been released and has started again since, or is not heard. Who is out by hand is not looked at.
fn crashed(
    r: &Release,
    document: &Document,
    base: &[Option<Heard>],
    heard: &[Option<Heard>],
) -> Option<Place> {
    let get = |of: &[Option<Heard>], p: Place| of.get(usize::from(p)).copied().flatten();
    r.released().find(|p| {
        !document.entries.contains_key(p)
            && get(base, *p).is_some_and(|was| get(heard, *p).is_none_or(|is| is.life != was.life))
    })
}

/// What was answered since, by those that run what is released, and by the others.
fn shares(r: &Release, base: &[Option<Heard>], heard: &[Option<Heard>]) -> (Counts, Counts) {
    let (mut released, mut others) = (Counts::default(), Counts::default());
    for ((place, was), is) in (0..).zip(base).zip(heard) {
        let (Some(was), Some(is)) = (was, is) else { continue };
        if was.life == is.life {
            let side =
                if r.wave_of(place).is_some_and(|w| w <= r.wave) { &mut released } else { &mut others };
            *side = side.and(is.counts.since(was.counts));
        }
    }
    (released, others)
}

/// Whether the released do worse than the others by more than the plan lets them, once there is enough to tell.
fn worse(plan: &Plan, released: Counts, others: Counts) -> Option<String> {
    if released.answered < plan.enough.max(1) {
        return None;
    }
    let per_mille = |n: u64, of: u64| if of == 0 { 0 } else { u128::from(n) * 1000 / u128::from(of) };
    let kinds = [
        ("failed", released.failed, others.failed, plan.failed_most),
        ("late", released.late, others.late, plan.late_most),
        ("refused", released.refused, others.refused, plan.refused_most),
    ];
    kinds.into_iter().find_map(|(kind, new, old, most)| {
        let (new, old) = (per_mille(new, released.answered), per_mille(old, others.answered));
        let worse = new > old.saturating_add(u128::from(most));
        worse.then(|| format!("{new} of 1000 {kind} where it is released, {old} elsewhere"))
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::document::View;

    const S: Nanos = 1000 * MS;

    fn bounds() -> Bounds {
        Bounds { names: vec![], zones: vec![0; 4], all: 2, zone: 2, council: vec![], nodes: None }
    }

    fn plan(back: bool) -> Plan {
        Plan {
            watch_ms: 5000,
            ready_ms: 9000,
            failed_most: 20,
            late_most: 50,
            refused_most: 50,
            enough: 100,
            back,
        }
    }

    fn seen() -> View {
        View { knowing: 2, wanted: 2, ..View::default() }
    }

    fn then(doc: &Document, act: Act) -> Document {
        doc.changed(&act, &bounds(), &seen()).unwrap_or_else(|no| panic!("{act:?}: {no}"))
    }

    fn begun(back: bool) -> Document {
        let waves = vec![vec![0], vec![1, 2, 3]];
        let (order, what, digest) = ("v2".into(), "settings".into(), "new".into());
        then(&Document::default(), Act::Release { order, what, digest, waves, plan: plan(back) })
    }

    /// A router goes by leave and comes back, in its next life.
    fn round(doc: &Document, place: Place, life: u64, runs: &str) -> Document {
        let doc = then(doc, Act::LeaveFrom(place, life, runs.into()));
        let doc = then(&doc, Act::Going(place, life));
        then(&doc, Act::Serves(place, life + 1))
    }

    fn heard(failed: u64, of: u64) -> Vec<Option<Heard>> {
        let one = |counts| Some(Heard { life: 8, counts });
        let well = Counts { answered: of, ..Counts::default() };
        vec![one(Counts { failed, ..well }), one(well), one(well), one(well)]
    }

    #[test]
    fn a_wave_is_watched_and_then_the_next_one_goes_and_it_ends() {
        let (mut w, doc) = (Watch::default(), begun(false));
        assert_eq!(w.next(S, &doc, &bounds(), &heard(0, 0)), None, "it has yet to go");
        let doc = round(&doc, 0, 7, "old");
        assert_eq!(w.next(2 * S, &doc, &bounds(), &heard(0, 0)), None);
        assert_eq!(w.next(9 * S, &doc, &bounds(), &heard(0, 99)), None, "not enough to tell");
        assert_eq!(w.next(10 * S, &doc, &bounds(), &heard(2, 100)), Some(Act::Wave(0)));
        let doc = then(&doc, Act::Wave(0));
        assert_eq!(doc.changed(&Act::Wave(0), &bounds(), &seen()).unwrap_err(), crate::document::No::Nothing);
        let doc = (1..=3).fold(doc, |doc, p| round(&doc, p, 7, "old"));
        assert_eq!(w.next(11 * S, &doc, &bounds(), &heard(0, 100)), None, "watched from anew");
        assert_eq!(w.next(16 * S, &doc, &bounds(), &heard(0, 200)), Some(Act::Wave(1)));
        let doc = then(&doc, Act::Wave(1));
        assert_eq!(doc.release.as_ref().unwrap().phase, Phase::Done);
        assert_eq!(doc.release.unwrap().before.len(), 4);
    }

    #[test]
    fn worse_answers_a_crash_and_a_router_that_stays_away_fail_a_wave() {
        let doc = round(&begun(false), 0, 7, "old");
        let mut w = Watch::default();
        assert_eq!(w.next(S, &doc, &bounds(), &heard(0, 0)), None);
        assert_eq!(w.next(2 * S, &doc, &bounds(), &heard(2, 100)), None, "20 of 1000 more are allowed");
        let why = "30 of 1000 failed where it is released, 0 elsewhere";
        assert_eq!(w.next(2 * S, &doc, &bounds(), &heard(3, 100)), Some(Act::Fail(0, why.into())));
        let mut crashed = heard(0, 100);
        crashed[0].as_mut().unwrap().life = 9;
        let fails = |heard: &[Option<Heard>], w: &mut Watch| w.next(2 * S, &doc, &bounds(), heard);
        assert!(matches!(fails(&crashed, &mut w), Some(Act::Fail(0, why)) if why.contains("crashed")));
        crashed[0] = None;
        assert!(matches!(fails(&crashed, &mut w), Some(Act::Fail(0, why)) if why.contains("silent")));
        let away = then(&then(&begun(false), Act::LeaveFrom(0, 7, "old".into())), Act::Going(0, 7));
        let mut w = Watch::default();
        assert_eq!(w.next(S, &away, &bounds(), &heard(0, 0)), None);
        assert_eq!(w.next(10 * S, &away, &bounds(), &heard(0, 0)), None);
        let late = w.next(11 * S, &away, &bounds(), &heard(0, 0));
        assert_eq!(late, Some(Act::Fail(0, "router 0 is not back in time".into())));
        let doc = then(&away, late.unwrap());
        assert_eq!(doc.halted.as_deref(), Some("router 0 is not back in time"));
        assert!(matches!(doc.release.unwrap().phase, Phase::Failed(_)));
    }

    /// From the middle of the second wave: one is back, one is out, one has not gone; the first wave is undone last.
    #[test]
    fn the_way_back_undoes_waves_in_reverse_from_the_middle_of_one() {
        let doc = round(&begun(true), 0, 7, "old");
        let doc = round(&then(&doc, Act::Wave(0)), 1, 7, "older");
        let doc = then(&then(&doc, Act::LeaveFrom(2, 7, "old".into())), Act::Going(2, 7));
        let doc = then(&doc, Act::Fail(1, "late".into()));
        assert_eq!((doc.halted.as_deref(), doc.entries.contains_key(&3)), (None, false), "3 never went");
        assert_eq!(doc.entries[&1].to.as_deref(), Some("older"));
        assert_eq!(doc.entries[&2].stage, Stage::Back(7));
        let mut w = Watch::default();
        // It had ended already and comes back with what is undone: it goes once more.
        let doc = then(&doc, Act::Serves(2, 8));
        assert_eq!((doc.entries[&2].stage, doc.entries[&2].to.as_deref()), (Stage::Wanted, Some("old")));
        let doc = round(&round(&doc, 1, 8, "new"), 2, 8, "new");
        assert_eq!(w.next(S, &doc, &bounds(), &[]), Some(Act::Wave(1)));
        let doc = then(&doc, Act::Wave(1));
        assert_eq!(doc.entries[&0].to.as_deref(), Some("old"));
        assert_eq!(w.next(S, &doc, &bounds(), &[]), None);
        let doc = then(&then(&doc, Act::Has(0)), Act::Wave(0));
        assert_eq!(doc.release.unwrap().phase, Phase::Undone("late".into()));
        assert!(doc.entries.is_empty());
    }

    #[test]
    fn what_is_not_fit_or_not_seen_goes_no_further() {
        use crate::document::No;
        let doc = begun(false);
        let again = Act::Release {
            order: "v3".into(),
            what: "settings".into(),
            digest: "x".into(),
            waves: vec![vec![3]],
            plan: plan(false),
        };
        assert_eq!(doc.changed(&again, &bounds(), &seen()).unwrap_err(), No::Busy("v2".into()));
        let unfit = then(&doc, Act::Unfit(0, "does not parse".into()));
        assert_eq!(unfit.halted.as_deref(), Some("router 0: does not parse"));
        assert!(unfit.entries.is_empty(), "nobody drained");
        let out = then(&then(&doc, Act::LeaveFrom(0, 7, "old".into())), Act::Going(0, 7));
        let blind = View { out: [0].into(), ..seen() };
        assert_eq!(out.changed(&Act::Serves(0, 8), &bounds(), &blind).unwrap_err(), No::NotSeen);
        let mut doc = out;
        for life in 8..=10 {
            doc = then(&doc, Act::Again(0, life));
            if life < 10 {
                doc = then(&then(&doc, Act::LeaveFrom(0, life, "old".into())), Act::Going(0, life));
            }
        }
        assert!(matches!(doc.release.unwrap().phase, Phase::Failed(why) if why.contains("3 times")));
    }
}
