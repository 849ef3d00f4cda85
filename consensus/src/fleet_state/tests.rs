use super::*;

fn limits() -> DrainLimits {
    DrainLimits {
        names: vec![],
        zones: vec![0, 0, 0, 1, 1],
        total: 2,
        per_zone: 1,
        council: vec![],
        replicas: None,
    }
}

fn view(out_of_service: &[RouterIndex]) -> CouncilView {
    CouncilView {
        informed_members: 2,
        majority: 2,
        out_of_service: out_of_service.iter().copied().collect(),
        ..CouncilView::default()
    }
}

fn router_incarnation(router: RouterIndex, incarnation: u64) -> RouterIncarnation {
    RouterIncarnation { router, incarnation }
}

fn acquire_lease(router: RouterIndex) -> Command {
    Command::AcquireLease(router_incarnation(router, 7))
}

/// Applies a command while no router is silent.
fn apply(state: &FleetState, command: &Command) -> Result<FleetState, Rejection> {
    state.apply(command, &limits(), &view(&[]))
}

/// Returns a state in which routers 0, 1, 3 and 4 are requested to drain.
fn drains_requested() -> FleetState {
    let state = FleetState::bootstrap(None);
    let state = apply(&state, &Command::Resume { order: "r".into() }).unwrap();
    apply(&state, &Command::Drain { order: "d".into(), routers: vec![0, 1, 3, 4] }).unwrap()
}

#[test]
fn leases_stay_within_the_limits_of_the_zone_and_of_the_fleet() {
    let one = apply(&drains_requested(), &acquire_lease(0)).unwrap();
    assert_eq!(apply(&one, &acquire_lease(1)), Err(Rejection::ZoneLimitReached(1)));
    let two = apply(&one, &acquire_lease(3)).unwrap();
    assert_eq!(apply(&two, &acquire_lease(4)), Err(Rejection::FleetLimitReached(2)));
}

#[test]
fn failed_routers_count_towards_the_limits() {
    let state = drains_requested();
    let with_out = |out: &[RouterIndex]| state.apply(&acquire_lease(0), &limits(), &view(out));
    assert_eq!(with_out(&[2]), Err(Rejection::ZoneLimitReached(1)), "2 has crashed");
    assert_eq!(with_out(&[3, 4]), Err(Rejection::FleetLimitReached(2)));
    assert!(with_out(&[0]).is_ok(), "the router itself is not counted twice");
}

#[test]
fn planned_drains_leave_the_council_its_majority() {
    let state = drains_requested();
    let limits = DrainLimits { total: 4, per_zone: 4, council: vec![0, 1, 3], ..limits() };
    let with_member_out = |command| state.apply(&command, &limits, &view(&[3]));
    assert_eq!(with_member_out(acquire_lease(0)), Err(Rejection::CouncilLimitReached(1)));
    assert!(with_member_out(acquire_lease(4)).is_ok(), "not a member of the council");
}

#[test]
fn no_lease_is_granted_before_a_majority_knows_who_is_silent() {
    let view = CouncilView { informed_members: 1, ..view(&[]) };
    assert_eq!(drains_requested().apply(&acquire_lease(0), &limits(), &view), Err(Rejection::ViewIncomplete));
}

#[test]
fn no_drain_begins_while_halted_and_a_drain_in_progress_may_end() {
    let state = apply(&drains_requested(), &acquire_lease(0)).unwrap();
    let halt = Command::Halt { order: "h".into(), cause: "late answers".into() };
    let state = apply(&state, &halt).unwrap();
    assert_eq!(apply(&state, &acquire_lease(3)), Err(Rejection::Halted("late answers".into())));
    let state = apply(&state, &Command::UseLease(router_incarnation(0, 7))).unwrap();
    let state = apply(&state, &Command::Restore { order: "b".into(), routers: vec![0] }).unwrap();
    let state = apply(&state, &Command::ReportServing(router_incarnation(0, 7))).unwrap();
    assert!(!state.drains.contains_key(&0));
}

#[test]
fn an_order_is_executed_once() {
    let state = drains_requested();
    let again = Command::Drain { order: "d".into(), routers: vec![2] };
    assert_eq!(apply(&state, &again).as_ref(), Ok(&state));
}

#[test]
fn an_invalid_order_is_rejected() {
    let unknown = Command::Drain { order: "e".into(), routers: vec![2, 9] };
    assert_eq!(apply(&drains_requested(), &unknown), Err(Rejection::UnknownRouter(9)));
    let long = Command::Halt { order: "h".into(), cause: "x".repeat(MAX_TEXT_BYTES + 1) };
    assert_eq!(apply(&drains_requested(), &long), Err(Rejection::InvalidText));
}

#[test]
fn only_the_latest_orders_are_remembered() {
    let mut state = drains_requested();
    for k in 0..200 {
        state = apply(&state, &Command::Resume { order: format!("r{k}") }).unwrap();
    }
    assert!(state.recent_orders.len() <= MAX_RECENT_ORDERS);
}

#[test]
fn a_command_of_another_incarnation_is_rejected() {
    let state = apply(&drains_requested(), &acquire_lease(0)).unwrap();
    assert_eq!(apply(&state, &Command::UseLease(router_incarnation(0, 8))), Err(Rejection::NothingToChange));
    assert_eq!(
        apply(&state, &Command::ReportServing(router_incarnation(0, 7))),
        Err(Rejection::NothingToChange),
        "this incarnation holds the lease"
    );
    let back = apply(&state, &Command::ReportServing(router_incarnation(0, 8))).unwrap();
    assert!(!back.drains.contains_key(&0), "the router has restarted and serves");
}
