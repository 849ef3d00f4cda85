use super::*;

const SECOND: Nanos = 1_000_000_000;
const TIMING: LeaseTiming =
    LeaseTiming { duration: Duration::from_secs(5), drift_divisor: 20, retry_after: Duration::from_secs(1) };
const THIS_ROUTER: RouterIncarnation = RouterIncarnation { router: 3, incarnation: 9 };

fn holder() -> LeaseHolder {
    LeaseHolder::new(TIMING, THIS_ROUTER.router, THIS_ROUTER.incarnation)
}

fn state_with(stage: DrainStage) -> FleetState {
    let mut state = FleetState::default();
    let drain = DrainEntry { stage, order: "d".into(), target_digest: None, attempts: 0 };
    state.drains.insert(THIS_ROUTER.router, drain);
    state
}

fn step_while_serving(holder: &LeaseHolder, now: Nanos, state: &FleetState) -> NextStep {
    holder.next_step(now, state, LocalPhase::Serving, None)
}

fn step_while_out_of_service(holder: &LeaseHolder, now: Nanos, state: &FleetState) -> NextStep {
    holder.next_step(now, state, LocalPhase::OutOfService, None)
}

#[test]
fn a_lease_is_used_before_its_expiry_and_returned_after_it() {
    let mut holder = holder();
    let acquire = Command::AcquireLease(THIS_ROUTER);
    let requested = state_with(DrainStage::Requested);
    assert_eq!(step_while_serving(&holder, SECOND, &requested), NextStep::Submit(acquire.clone()));
    holder.record_outcome(SECOND, 2 * SECOND, &acquire, SubmitOutcome::Applied);
    let granted = state_with(DrainStage::Leased(9));
    assert_eq!(step_while_serving(&holder, 5 * SECOND, &granted), NextStep::BeginDrain);
    assert_eq!(
        step_while_serving(&holder, 6 * SECOND, &granted),
        NextStep::Submit(Command::ReturnLease(THIS_ROUTER)),
        "the process was suspended until the lease had expired"
    );
    assert_eq!(
        step_while_out_of_service(&holder, 6 * SECOND, &granted),
        NextStep::Submit(Command::UseLease(THIS_ROUTER)),
        "the drain began before the lease expired"
    );
}

#[test]
fn a_lease_of_unknown_age_is_returned() {
    assert_eq!(
        step_while_serving(&holder(), SECOND, &state_with(DrainStage::Leased(9))),
        NextStep::Submit(Command::ReturnLease(THIS_ROUTER)),
        "the time of the request is unknown"
    );
}

#[test]
fn a_rejected_lease_request_is_repeated_after_a_delay() {
    let mut holder = holder();
    holder.record_outcome(SECOND, SECOND, &Command::AcquireLease(THIS_ROUTER), SubmitOutcome::NotApplied);
    let requested = state_with(DrainStage::Requested);
    assert_eq!(step_while_serving(&holder, SECOND + SECOND / 2, &requested), NextStep::Wait);
    assert!(matches!(step_while_serving(&holder, 2 * SECOND, &requested), NextStep::Submit(_)));
}

#[test]
fn no_lease_is_requested_while_halted() {
    let mut holder = holder();
    holder.record_outcome(SECOND, SECOND, &Command::AcquireLease(THIS_ROUTER), SubmitOutcome::NotApplied);
    let halted = FleetState { halted: Some("x".into()), ..state_with(DrainStage::Requested) };
    assert_eq!(step_while_serving(&holder, 9 * SECOND, &halted), NextStep::Wait);
}

#[test]
fn a_router_returns_by_order() {
    let returning = state_with(DrainStage::Returning(9));
    assert_eq!(step_while_out_of_service(&holder(), SECOND, &returning), NextStep::ResumeService);
    assert_eq!(
        step_while_serving(&holder(), SECOND, &returning),
        NextStep::Submit(Command::ReportServing(THIS_ROUTER))
    );
}

#[test]
fn a_router_returns_by_restarting() {
    assert_eq!(
        step_while_serving(&holder(), SECOND, &state_with(DrainStage::OutOfService(8))),
        NextStep::Submit(Command::ReportServing(THIS_ROUTER)),
        "an earlier incarnation drained"
    );
}

#[test]
fn a_router_waits_while_it_is_out_and_while_no_order_concerns_it() {
    assert_eq!(
        step_while_out_of_service(&holder(), SECOND, &state_with(DrainStage::OutOfService(9))),
        NextStep::Wait
    );
    assert_eq!(step_while_serving(&holder(), SECOND, &FleetState::default()), NextStep::Wait);
}

#[test]
fn a_halt_is_answered_when_no_lease_is_open_or_none_can_be_used() {
    assert!(halt_is_effective(&TIMING, Duration::ZERO, &state_with(DrainStage::OutOfService(9))));
    assert!(!halt_is_effective(&TIMING, Duration::from_secs(5), &state_with(DrainStage::Leased(9))));
    assert!(
        !halt_is_effective(&TIMING, Duration::from_secs(5), &state_with(DrainStage::Returning(9))),
        "the router may have held its lease until a moment ago"
    );
    assert!(halt_is_effective(&TIMING, Duration::from_secs(6), &state_with(DrainStage::Leased(9))));
}
