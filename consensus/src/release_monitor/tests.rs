use super::*;
use crate::fleet_state::{CouncilView, ReleaseOrder};

const S: Nanos = 1000 * MS;

fn bounds() -> DrainLimits {
    DrainLimits { names: vec![], zones: vec![0; 4], total: 2, per_zone: 2, council: vec![], replicas: None }
}

fn plan(back: bool) -> ReleasePlan {
    ReleasePlan {
        watch_ms: 5000,
        ready_ms: 9000,
        max_extra_failed: 20,
        max_extra_late: 50,
        max_extra_rejected: 50,
        min_answers: 100,
        rolls_back: back,
    }
}

fn seen() -> CouncilView {
    CouncilView { informed_members: 2, majority: 2, ..CouncilView::default() }
}

fn then(doc: &FleetState, act: Command) -> FleetState {
    doc.apply(&act, &bounds(), &seen()).unwrap_or_else(|no| panic!("{act:?}: {no}"))
}

fn begun(back: bool) -> FleetState {
    let waves = vec![vec![0], vec![1, 2, 3]];
    let (order, artifact, digest) = ("v2".into(), "settings".into(), "new".into());
    then(
        &FleetState::default(),
        Command::BeginRelease(ReleaseOrder { order, artifact, digest, waves, plan: plan(back) }),
    )
}

/// A router goes by leave and comes back, in its next life.
fn round(doc: &FleetState, place: RouterIndex, life: u64, runs: &str) -> FleetState {
    let doc = then(doc, Command::AcquireReleaseLease((place, life, runs.into()).into()));
    let doc = then(&doc, Command::UseLease((place, life).into()));
    then(&doc, Command::ReportServing((place, life + 1).into()))
}

fn heard(failed: u64, of: u64) -> Vec<Option<RouterReport>> {
    let one = |counts| Some(RouterReport { incarnation: 8, counts });
    let well = AnswerCounts { answered: of, ..AnswerCounts::default() };
    vec![one(AnswerCounts { failed, ..well }), one(well), one(well), one(well)]
}

#[test]
fn a_wave_is_watched_and_then_the_next_one_goes_and_it_ends() {
    let (mut w, doc) = (ReleaseMonitor::default(), begun(false));
    assert_eq!(w.next_command(S, &doc, &bounds(), &heard(0, 0)), None, "it has yet to go");
    let doc = round(&doc, 0, 7, "old");
    assert_eq!(w.next_command(2 * S, &doc, &bounds(), &heard(0, 0)), None);
    assert_eq!(w.next_command(9 * S, &doc, &bounds(), &heard(0, 99)), None, "not enough to tell");
    assert_eq!(w.next_command(10 * S, &doc, &bounds(), &heard(2, 100)), Some(Command::CompleteWave(0)));
    let doc = then(&doc, Command::CompleteWave(0));
    assert_eq!(
        doc.apply(&Command::CompleteWave(0), &bounds(), &seen()).unwrap_err(),
        crate::fleet_state::Rejection::NothingToChange
    );
    let doc = (1..=3).fold(doc, |doc, p| round(&doc, p, 7, "old"));
    assert_eq!(w.next_command(11 * S, &doc, &bounds(), &heard(0, 100)), None, "watched from anew");
    assert_eq!(w.next_command(16 * S, &doc, &bounds(), &heard(0, 200)), Some(Command::CompleteWave(1)));
    let doc = then(&doc, Command::CompleteWave(1));
    assert_eq!(doc.release.as_ref().unwrap().phase, ReleasePhase::Done);
    assert_eq!(doc.release.unwrap().previous_digests.len(), 4);
}

#[test]
fn worse_answers_a_crash_and_a_router_that_stays_away_fail_a_wave() {
    let doc = round(&begun(false), 0, 7, "old");
    let mut w = ReleaseMonitor::default();
    assert_eq!(w.next_command(S, &doc, &bounds(), &heard(0, 0)), None);
    assert_eq!(w.next_command(2 * S, &doc, &bounds(), &heard(2, 100)), None, "20 of 1000 more are allowed");
    let why = "30 of 1000 failed where it is released, 0 elsewhere";
    assert_eq!(
        w.next_command(2 * S, &doc, &bounds(), &heard(3, 100)),
        Some(Command::FailWave((0, why.into()).into()))
    );
    let mut crashed = heard(0, 100);
    crashed[0].as_mut().unwrap().incarnation = 9;
    let fails = |heard: &[Option<RouterReport>], w: &mut ReleaseMonitor| {
        w.next_command(2 * S, &doc, &bounds(), heard)
    };
    assert!(
        matches!(fails(&crashed, &mut w), Some(Command::FailWave(f)) if f.wave == 0 && f.cause.contains("crashed"))
    );
    crashed[0] = None;
    assert!(
        matches!(fails(&crashed, &mut w), Some(Command::FailWave(f)) if f.wave == 0 && f.cause.contains("silent"))
    );
    let away = then(
        &then(&begun(false), Command::AcquireReleaseLease((0, 7, "old".into()).into())),
        Command::UseLease((0, 7).into()),
    );
    let mut w = ReleaseMonitor::default();
    assert_eq!(w.next_command(S, &away, &bounds(), &heard(0, 0)), None);
    assert_eq!(w.next_command(10 * S, &away, &bounds(), &heard(0, 0)), None);
    let late = w.next_command(11 * S, &away, &bounds(), &heard(0, 0));
    assert_eq!(late, Some(Command::FailWave((0, "router 0 is not back in time".into()).into())));
    let doc = then(&away, late.unwrap());
    assert_eq!(doc.halted.as_deref(), Some("router 0 is not back in time"));
    assert!(matches!(doc.release.unwrap().phase, ReleasePhase::Failed(_)));
}

/// From the middle of the second wave: one is back, one is out, one has not gone; the first wave is undone last.
#[test]
fn the_way_back_undoes_waves_in_reverse_from_the_middle_of_one() {
    let doc = round(&begun(true), 0, 7, "old");
    let doc = round(&then(&doc, Command::CompleteWave(0)), 1, 7, "older");
    let doc = then(
        &then(&doc, Command::AcquireReleaseLease((2, 7, "old".into()).into())),
        Command::UseLease((2, 7).into()),
    );
    let doc = then(&doc, Command::FailWave((1, "late".into()).into()));
    assert_eq!((doc.halted.as_deref(), doc.drains.contains_key(&3)), (None, false), "3 never went");
    assert_eq!(doc.drains[&1].target_digest.as_deref(), Some("older"));
    assert_eq!(doc.drains[&2].stage, DrainStage::Returning(7));
    let mut w = ReleaseMonitor::default();
    // It had ended already and comes back with what is undone: it goes once more.
    let doc = then(&doc, Command::ReportServing((2, 8).into()));
    assert_eq!(
        (doc.drains[&2].stage, doc.drains[&2].target_digest.as_deref()),
        (DrainStage::Requested, Some("old"))
    );
    let doc = round(&round(&doc, 1, 8, "new"), 2, 8, "new");
    assert_eq!(w.next_command(S, &doc, &bounds(), &[]), Some(Command::CompleteWave(1)));
    let doc = then(&doc, Command::CompleteWave(1));
    assert_eq!(doc.drains[&0].target_digest.as_deref(), Some("old"));
    assert_eq!(w.next_command(S, &doc, &bounds(), &[]), None);
    let doc = then(&then(&doc, Command::ReportUpToDate(0)), Command::CompleteWave(0));
    assert_eq!(doc.release.unwrap().phase, ReleasePhase::RolledBack("late".into()));
    assert!(doc.drains.is_empty());
}

#[test]
fn what_is_not_fit_or_not_seen_goes_no_further() {
    use crate::fleet_state::Rejection;
    let doc = begun(false);
    let again = Command::BeginRelease(ReleaseOrder {
        order: "v3".into(),
        artifact: "settings".into(),
        digest: "x".into(),
        waves: vec![vec![3]],
        plan: plan(false),
    });
    assert_eq!(doc.apply(&again, &bounds(), &seen()).unwrap_err(), Rejection::ReleaseInProgress("v2".into()));
    let unfit = then(&doc, Command::ReportUnfit((0, "does not parse".into()).into()));
    assert_eq!(unfit.halted.as_deref(), Some("router 0: does not parse"));
    assert!(unfit.drains.is_empty(), "nobody drained");
    let out = then(
        &then(&doc, Command::AcquireReleaseLease((0, 7, "old".into()).into())),
        Command::UseLease((0, 7).into()),
    );
    let blind = CouncilView { out_of_service: [0].into(), ..seen() };
    assert_eq!(
        out.apply(&Command::ReportServing((0, 8).into()), &bounds(), &blind).unwrap_err(),
        Rejection::NotSeenServing
    );
    let mut doc = out;
    for life in 8..=10 {
        doc = then(&doc, Command::RetryRelease((0, life).into()));
        if life < 10 {
            doc = then(
                &then(&doc, Command::AcquireReleaseLease((0, life, "old".into()).into())),
                Command::UseLease((0, life).into()),
            );
        }
    }
    assert!(matches!(doc.release.unwrap().phase, ReleasePhase::Failed(why) if why.contains("3 times")));
}
