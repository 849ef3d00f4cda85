use super::*;
use crate::fleet_state::{
    CouncilView, Rejection, ReleaseLeaseRequest, ReleaseOrder, RouterIncarnation, UnfitReport,
};
use crate::release::ReleasePlan;

const S: Nanos = 1_000_000_000;

fn limits() -> DrainLimits {
    DrainLimits { names: vec![], zones: vec![0; 4], total: 2, per_zone: 2, council: vec![], replicas: None }
}

fn plan(rolls_back: bool) -> ReleasePlan {
    ReleasePlan {
        watch_ms: 5000,
        ready_ms: 9000,
        max_extra_failed: 20,
        max_extra_late: 50,
        max_extra_rejected: 50,
        min_answers: 100,
        rolls_back,
    }
}

fn view() -> CouncilView {
    CouncilView { informed_members: 2, majority: 2, ..CouncilView::default() }
}

fn apply(state: &FleetState, command: Command) -> FleetState {
    state.apply(&command, &limits(), &view()).unwrap_or_else(|why| panic!("{command:?}: {why}"))
}

fn rejection(state: &FleetState, command: &Command, view: &CouncilView) -> Rejection {
    state.apply(command, &limits(), view).unwrap_err()
}

fn release(order: &str, digest: &str, waves: Vec<Vec<RouterIndex>>, rolls_back: bool) -> Command {
    Command::BeginRelease(ReleaseOrder {
        order: order.into(),
        artifact: "settings".into(),
        digest: digest.into(),
        waves,
        plan: plan(rolls_back),
    })
}

/// A release to router 0, then to the other three.
fn begun(rolls_back: bool) -> FleetState {
    let release = release("v2", "new", vec![vec![0], vec![1, 2, 3]], rolls_back);
    apply(&FleetState::default(), release)
}

fn of(router: RouterIndex, incarnation: Incarnation) -> RouterIncarnation {
    RouterIncarnation { router, incarnation }
}

/// A router drains for the release.
fn drain(state: &FleetState, router: RouterIndex, incarnation: Incarnation, runs: &str) -> FleetState {
    let request = ReleaseLeaseRequest { router, incarnation, running_digest: runs.into() };
    let state = apply(state, Command::AcquireReleaseLease(request));
    apply(&state, Command::UseLease(of(router, incarnation)))
}

/// A router drains for the release and returns, in its next incarnation.
fn restart(state: &FleetState, router: RouterIndex, incarnation: Incarnation, runs: &str) -> FleetState {
    let state = drain(state, router, incarnation, runs);
    apply(&state, Command::ReportServing(of(router, incarnation + 1)))
}

/// What four routers have answered, of which the first has failed some.
fn reports(failed: u64, answered: u64) -> Vec<Option<RouterReport>> {
    let report = |counts| Some(RouterReport { incarnation: 8, counts });
    let well = AnswerCounts { answered, ..AnswerCounts::default() };
    vec![report(AnswerCounts { failed, ..well }), report(well), report(well), report(well)]
}

fn next(
    monitor: &mut ReleaseMonitor,
    now: Nanos,
    state: &FleetState,
    reports: &[Option<RouterReport>],
) -> Option<Command> {
    monitor.next_command(now, state, &limits(), reports)
}

fn failure(wave: usize, cause: &str) -> Command {
    Command::FailWave(WaveFailure { wave, cause: cause.into() })
}

#[test]
fn a_wave_is_observed_before_the_next_one_and_the_last_one_ends_the_release() {
    let (mut monitor, state) = (ReleaseMonitor::default(), begun(false));
    assert_eq!(next(&mut monitor, S, &state, &reports(0, 0)), None, "it has yet to drain");
    let state = restart(&state, 0, 7, "old");
    assert_eq!(next(&mut monitor, 2 * S, &state, &reports(0, 0)), None);
    assert_eq!(next(&mut monitor, 9 * S, &state, &reports(0, 99)), None, "not enough to tell");
    assert_eq!(next(&mut monitor, 10 * S, &state, &reports(2, 100)), Some(Command::CompleteWave(0)));
    let state = apply(&state, Command::CompleteWave(0));
    assert_eq!(rejection(&state, &Command::CompleteWave(0), &view()), Rejection::NothingToChange);
    let state = (1..=3).fold(state, |state, router| restart(&state, router, 7, "old"));
    assert_eq!(next(&mut monitor, 11 * S, &state, &reports(0, 100)), None, "observed from the beginning");
    assert_eq!(next(&mut monitor, 16 * S, &state, &reports(0, 200)), Some(Command::CompleteWave(1)));
    let state = apply(&state, Command::CompleteWave(1));
    assert_eq!(state.release.as_ref().unwrap().phase, ReleasePhase::Done);
    assert_eq!(state.release.unwrap().previous_digests.len(), 4);
}

/// A monitor that has begun to observe the first wave.
fn observing() -> (ReleaseMonitor, FleetState) {
    let (mut monitor, state) = (ReleaseMonitor::default(), restart(&begun(false), 0, 7, "old"));
    assert_eq!(next(&mut monitor, S, &state, &reports(0, 0)), None);
    (monitor, state)
}

#[test]
fn a_wave_fails_by_worse_answers() {
    let (mut monitor, state) = observing();
    let allowed = next(&mut monitor, 2 * S, &state, &reports(2, 100));
    assert_eq!(allowed, None, "20 of 1000 more are allowed");
    let cause = "30 of 1000 failed where it is released, 0 elsewhere";
    assert_eq!(next(&mut monitor, 2 * S, &state, &reports(3, 100)), Some(failure(0, cause)));
}

#[test]
fn a_wave_fails_by_a_crash_or_silence() {
    let (mut monitor, state) = observing();
    let mut reports = reports(0, 100);
    let cause = |command| match command {
        Some(Command::FailWave(WaveFailure { wave: 0, cause })) => cause,
        other => panic!("{other:?}"),
    };
    reports[0].as_mut().unwrap().incarnation = 9;
    assert!(cause(next(&mut monitor, 2 * S, &state, &reports)).contains("crashed"));
    reports[0] = None;
    assert!(cause(next(&mut monitor, 2 * S, &state, &reports)).contains("silent"));
}

#[test]
fn a_wave_fails_by_a_router_that_stays_away() {
    let away = drain(&begun(false), 0, 7, "old");
    let mut monitor = ReleaseMonitor::default();
    assert_eq!(next(&mut monitor, S, &away, &reports(0, 0)), None);
    assert_eq!(next(&mut monitor, 10 * S, &away, &reports(0, 0)), None);
    let late = next(&mut monitor, 11 * S, &away, &reports(0, 0));
    assert_eq!(late, Some(failure(0, "router 0 is not back in time")));
    let state = apply(&away, late.unwrap());
    assert_eq!(state.halted.as_deref(), Some("router 0 is not back in time"));
    assert!(matches!(state.release.unwrap().phase, ReleasePhase::Failed(_)));
}

/// From the middle of the second wave: one is back, one is out, one has not gone; the first wave is undone last.
#[test]
fn a_roll_back_undoes_waves_in_reverse_from_the_middle_of_one() {
    let state = restart(&begun(true), 0, 7, "old");
    let state = restart(&apply(&state, Command::CompleteWave(0)), 1, 7, "older");
    let state = apply(&drain(&state, 2, 7, "old"), failure(1, "late"));
    assert_eq!((state.halted.as_deref(), state.drains.contains_key(&3)), (None, false), "3 never went");
    assert_eq!(state.drains[&1].target_digest.as_deref(), Some("older"));
    assert_eq!(state.drains[&2].stage, DrainStage::Returning(7));
    let mut monitor = ReleaseMonitor::default();
    // It had ended already and comes back with what is undone: it goes once more.
    let state = apply(&state, Command::ReportServing(of(2, 8)));
    assert_eq!(
        (state.drains[&2].stage, state.drains[&2].target_digest.as_deref()),
        (DrainStage::Requested, Some("old"))
    );
    let state = restart(&restart(&state, 1, 8, "new"), 2, 8, "new");
    assert_eq!(next(&mut monitor, S, &state, &[]), Some(Command::CompleteWave(1)));
    let state = apply(&state, Command::CompleteWave(1));
    assert_eq!(state.drains[&0].target_digest.as_deref(), Some("old"));
    assert_eq!(next(&mut monitor, S, &state, &[]), None);
    let state = apply(&apply(&state, Command::ReportUpToDate(0)), Command::CompleteWave(0));
    assert_eq!(state.release.unwrap().phase, ReleasePhase::RolledBack("late".into()));
    assert!(state.drains.is_empty());
}

#[test]
fn one_release_is_in_progress_at_a_time() {
    let again = release("v3", "x", vec![vec![3]], false);
    assert_eq!(rejection(&begun(false), &again, &view()), Rejection::ReleaseInProgress("v2".into()));
}

#[test]
fn a_router_that_is_unfit_halts_the_release_before_any_drains() {
    let unfit = UnfitReport { router: 0, cause: "does not parse".into() };
    let unfit = apply(&begun(false), Command::ReportUnfit(unfit));
    assert_eq!(unfit.halted.as_deref(), Some("router 0: does not parse"));
    assert!(unfit.drains.is_empty(), "nobody drained");
}

#[test]
fn a_router_that_is_not_seen_serving_is_not_back() {
    let out = drain(&begun(false), 0, 7, "old");
    let blind = CouncilView { out_of_service: [0].into(), ..view() };
    assert_eq!(rejection(&out, &Command::ReportServing(of(0, 8)), &blind), Rejection::NotSeenServing);
}

#[test]
fn a_router_that_keeps_running_something_else_fails_the_release() {
    let mut state = drain(&begun(false), 0, 7, "old");
    for incarnation in 8..=10 {
        state = apply(&state, Command::RetryRelease(of(0, incarnation)));
        if incarnation < 10 {
            state = drain(&state, 0, incarnation, "old");
        }
    }
    assert!(matches!(state.release.unwrap().phase, ReleasePhase::Failed(why) if why.contains("3 times")));
}
