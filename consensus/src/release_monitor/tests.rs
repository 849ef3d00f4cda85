use super::*;
use crate::fleet_state::{
    CouncilView, Rejection, ReleaseLeaseRequest, ReleaseOrder, RouterIncarnation, UnfitReport,
};
use crate::release::ReleasePlan;

const SECOND: Nanos = 1_000_000_000;

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

/// Applies a command and returns why it was rejected; panics if it was accepted.
fn expect_rejection(state: &FleetState, command: &Command, view: &CouncilView) -> Rejection {
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

/// A release to router 0 in the first wave, and to the other three in the second.
fn started_release(rolls_back: bool) -> FleetState {
    let release = release("v2", "new", vec![vec![0], vec![1, 2, 3]], rolls_back);
    apply(&FleetState::default(), release)
}

fn router_incarnation(router: RouterIndex, incarnation: Incarnation) -> RouterIncarnation {
    RouterIncarnation { router, incarnation }
}

/// Returns the state after a router has drained for the release.
fn drain(state: &FleetState, router: RouterIndex, incarnation: Incarnation, runs: &str) -> FleetState {
    let request = ReleaseLeaseRequest { router, incarnation, running_digest: runs.into() };
    let state = apply(state, Command::AcquireReleaseLease(request));
    apply(&state, Command::UseLease(router_incarnation(router, incarnation)))
}

/// Returns the state after a router has drained for the release and returned, in its next incarnation.
fn restart(state: &FleetState, router: RouterIndex, incarnation: Incarnation, runs: &str) -> FleetState {
    let state = drain(state, router, incarnation, runs);
    apply(&state, Command::ReportServing(router_incarnation(router, incarnation + 1)))
}

/// The reports of four routers, of which the first has failed answers.
fn reports(failed: u64, answered: u64) -> Vec<Option<RouterReport>> {
    let report = |counts| Some(RouterReport { incarnation: 8, counts });
    let well = AnswerCounts { answered, ..AnswerCounts::default() };
    vec![report(AnswerCounts { failed, ..well }), report(well), report(well), report(well)]
}

fn next_command(
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
    let (mut monitor, state) = (ReleaseMonitor::default(), started_release(false));
    assert_eq!(
        next_command(&mut monitor, SECOND, &state, &reports(0, 0)),
        None,
        "the router has yet to drain"
    );
    let state = restart(&state, 0, 7, "old");
    assert_eq!(next_command(&mut monitor, 2 * SECOND, &state, &reports(0, 0)), None);
    assert_eq!(
        next_command(&mut monitor, 9 * SECOND, &state, &reports(0, 99)),
        None,
        "too few answers for a comparison"
    );
    assert_eq!(
        next_command(&mut monitor, 10 * SECOND, &state, &reports(2, 100)),
        Some(Command::CompleteWave(0))
    );
    let state = apply(&state, Command::CompleteWave(0));
    assert_eq!(expect_rejection(&state, &Command::CompleteWave(0), &view()), Rejection::NothingToChange);
    let state = (1..=3).fold(state, |state, router| restart(&state, router, 7, "old"));
    assert_eq!(
        next_command(&mut monitor, 11 * SECOND, &state, &reports(0, 100)),
        None,
        "observed from the beginning"
    );
    assert_eq!(
        next_command(&mut monitor, 16 * SECOND, &state, &reports(0, 200)),
        Some(Command::CompleteWave(1))
    );
    let state = apply(&state, Command::CompleteWave(1));
    assert_eq!(state.release.as_ref().unwrap().phase, ReleasePhase::Done);
    assert_eq!(state.release.unwrap().previous_digests.len(), 4);
}

/// Returns a monitor that observes the first wave, of which all routers are back.
fn monitor_of_first_wave() -> (ReleaseMonitor, FleetState) {
    let (mut monitor, state) = (ReleaseMonitor::default(), restart(&started_release(false), 0, 7, "old"));
    assert_eq!(next_command(&mut monitor, SECOND, &state, &reports(0, 0)), None);
    (monitor, state)
}

#[test]
fn a_wave_fails_when_released_routers_answer_worse() {
    let (mut monitor, state) = monitor_of_first_wave();
    let allowed = next_command(&mut monitor, 2 * SECOND, &state, &reports(2, 100));
    assert_eq!(allowed, None, "20 of 1000 more are allowed");
    let cause = "30 of 1000 failed where it is released, 0 elsewhere";
    assert_eq!(next_command(&mut monitor, 2 * SECOND, &state, &reports(3, 100)), Some(failure(0, cause)));
}

#[test]
fn a_wave_fails_when_a_released_router_crashes_or_is_silent() {
    let (mut monitor, state) = monitor_of_first_wave();
    let mut reports = reports(0, 100);
    let cause = |command| match command {
        Some(Command::FailWave(WaveFailure { wave: 0, cause })) => cause,
        other => panic!("{other:?}"),
    };
    reports[0].as_mut().unwrap().incarnation = 9;
    assert!(cause(next_command(&mut monitor, 2 * SECOND, &state, &reports)).contains("crashed"));
    reports[0] = None;
    assert!(cause(next_command(&mut monitor, 2 * SECOND, &state, &reports)).contains("silent"));
}

#[test]
fn a_wave_fails_when_a_router_does_not_return_in_time() {
    let away = drain(&started_release(false), 0, 7, "old");
    let mut monitor = ReleaseMonitor::default();
    assert_eq!(next_command(&mut monitor, SECOND, &away, &reports(0, 0)), None);
    assert_eq!(next_command(&mut monitor, 10 * SECOND, &away, &reports(0, 0)), None);
    let late = next_command(&mut monitor, 11 * SECOND, &away, &reports(0, 0));
    assert_eq!(late, Some(failure(0, "router 0 is not back in time")));
    let state = apply(&away, late.unwrap());
    assert_eq!(state.halted.as_deref(), Some("router 0 is not back in time"));
    assert!(matches!(state.release.unwrap().phase, ReleasePhase::Failed(_)));
}

/// The roll-back begins in the second wave, with one router back, one out of service and one not drained yet. The first wave is
/// rolled back last.
#[test]
fn a_roll_back_reverses_the_waves_from_the_middle_of_one() {
    let state = restart(&started_release(true), 0, 7, "old");
    let state = restart(&apply(&state, Command::CompleteWave(0)), 1, 7, "older");
    let state = apply(&drain(&state, 2, 7, "old"), failure(1, "late"));
    assert_eq!(
        (state.halted.as_deref(), state.drains.contains_key(&3)),
        (None, false),
        "router 3 has not drained"
    );
    assert_eq!(state.drains[&1].target_digest.as_deref(), Some("older"));
    assert_eq!(state.drains[&2].stage, DrainStage::Returning(7));
    let mut monitor = ReleaseMonitor::default();
    // Router 2 had restarted already and returns with the released file, so it drains again.
    let state = apply(&state, Command::ReportServing(router_incarnation(2, 8)));
    assert_eq!(
        (state.drains[&2].stage, state.drains[&2].target_digest.as_deref()),
        (DrainStage::Requested, Some("old"))
    );
    let state = restart(&restart(&state, 1, 8, "new"), 2, 8, "new");
    assert_eq!(next_command(&mut monitor, SECOND, &state, &[]), Some(Command::CompleteWave(1)));
    let state = apply(&state, Command::CompleteWave(1));
    assert_eq!(state.drains[&0].target_digest.as_deref(), Some("old"));
    assert_eq!(next_command(&mut monitor, SECOND, &state, &[]), None);
    let state = apply(&apply(&state, Command::ReportUpToDate(0)), Command::CompleteWave(0));
    assert_eq!(state.release.unwrap().phase, ReleasePhase::RolledBack("late".into()));
    assert!(state.drains.is_empty());
}

#[test]
fn one_release_is_in_progress_at_a_time() {
    let again = release("v3", "x", vec![vec![3]], false);
    assert_eq!(
        expect_rejection(&started_release(false), &again, &view()),
        Rejection::ReleaseInProgress("v2".into())
    );
}

#[test]
fn an_unfit_router_halts_the_release_before_any_router_drains() {
    let unfit = UnfitReport { router: 0, cause: "does not parse".into() };
    let unfit = apply(&started_release(false), Command::ReportUnfit(unfit));
    assert_eq!(unfit.halted.as_deref(), Some("router 0: does not parse"));
    assert!(unfit.drains.is_empty(), "no router has drained");
}

#[test]
fn a_drain_does_not_end_before_the_router_is_seen_serving() {
    let out = drain(&started_release(false), 0, 7, "old");
    let not_seen = CouncilView { out_of_service: [0].into(), ..view() };
    assert_eq!(
        expect_rejection(&out, &Command::ReportServing(router_incarnation(0, 8)), &not_seen),
        Rejection::NotSeenServing
    );
}

#[test]
fn a_router_that_keeps_running_something_else_fails_the_release() {
    let mut state = drain(&started_release(false), 0, 7, "old");
    for incarnation in 8..=10 {
        state = apply(&state, Command::RetryRelease(router_incarnation(0, incarnation)));
        if incarnation < 10 {
            state = drain(&state, 0, incarnation, "old");
        }
    }
    assert!(matches!(state.release.unwrap().phase, ReleasePhase::Failed(why) if why.contains("3 times")));
}
