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
