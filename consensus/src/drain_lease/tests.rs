use super::*;

const S: Nanos = 1_000_000_000;
const TIMING: LeaseTiming =
    LeaseTiming { duration: Duration::from_secs(5), drift_divisor: 20, retry_after: Duration::from_secs(1) };
const ME: RouterIncarnation = RouterIncarnation { router: 3, incarnation: 9 };

fn holder() -> LeaseHolder {
    LeaseHolder::new(TIMING, ME.router, ME.incarnation)
}

fn with(stage: DrainStage) -> FleetState {
    let mut state = FleetState::default();
    let drain = DrainEntry { stage, order: "d".into(), target_digest: None, attempts: 0 };
    state.drains.insert(ME.router, drain);
    state
}

fn serving(holder: &LeaseHolder, now: Nanos, state: &FleetState) -> NextStep {
    holder.next_step(now, state, LocalPhase::Serving, None)
}

fn out_of_service(holder: &LeaseHolder, now: Nanos, state: &FleetState) -> NextStep {
    holder.next_step(now, state, LocalPhase::OutOfService, None)
}

#[test]
fn a_lease_is_used_within_its_time_and_returned_after_it() {
    let mut holder = holder();
    let acquire = Command::AcquireLease(ME);
    let requested = with(DrainStage::Requested);
    assert_eq!(serving(&holder, S, &requested), NextStep::Submit(acquire.clone()));
    holder.record_outcome(S, 2 * S, &acquire, SubmitOutcome::Applied);
    let granted = with(DrainStage::Leased(9));
    assert_eq!(serving(&holder, 5 * S, &granted), NextStep::BeginDrain);
    assert_eq!(
        serving(&holder, 6 * S, &granted),
        NextStep::Submit(Command::ReturnLease(ME)),
        "stopped in between"
    );
    assert_eq!(
        out_of_service(&holder, 6 * S, &granted),
        NextStep::Submit(Command::UseLease(ME)),
        "it went in time"
    );
}

#[test]
fn a_lease_of_unknown_age_is_returned() {
    assert_eq!(
        serving(&holder(), S, &with(DrainStage::Leased(9))),
        NextStep::Submit(Command::ReturnLease(ME)),
        "it does not know since when"
    );
}

#[test]
fn a_rejected_lease_is_asked_for_again_later() {
    let mut holder = holder();
    holder.record_outcome(S, S, &Command::AcquireLease(ME), SubmitOutcome::NotApplied);
    let requested = with(DrainStage::Requested);
    assert_eq!(serving(&holder, S + S / 2, &requested), NextStep::Wait);
    assert!(matches!(serving(&holder, 2 * S, &requested), NextStep::Submit(_)));
}

#[test]
fn no_lease_is_asked_for_while_halted() {
    let mut holder = holder();
    holder.record_outcome(S, S, &Command::AcquireLease(ME), SubmitOutcome::NotApplied);
    let halted = FleetState { halted: Some("x".into()), ..with(DrainStage::Requested) };
    assert_eq!(serving(&holder, 9 * S, &halted), NextStep::Wait);
}

#[test]
fn a_router_returns_by_order() {
    let returning = with(DrainStage::Returning(9));
    assert_eq!(out_of_service(&holder(), S, &returning), NextStep::ResumeService);
    assert_eq!(serving(&holder(), S, &returning), NextStep::Submit(Command::ReportServing(ME)));
}

#[test]
fn a_router_returns_by_restarting() {
    assert_eq!(
        serving(&holder(), S, &with(DrainStage::OutOfService(8))),
        NextStep::Submit(Command::ReportServing(ME)),
        "an earlier incarnation drained"
    );
}

#[test]
fn a_router_waits_while_it_is_out_and_while_no_order_concerns_it() {
    assert_eq!(out_of_service(&holder(), S, &with(DrainStage::OutOfService(9))), NextStep::Wait);
    assert_eq!(serving(&holder(), S, &FleetState::default()), NextStep::Wait);
}

#[test]
fn a_halt_is_answered_when_no_lease_is_open_or_none_can_be_used() {
    assert!(halt_is_effective(&TIMING, Duration::ZERO, &with(DrainStage::OutOfService(9))));
    assert!(!halt_is_effective(&TIMING, Duration::from_secs(5), &with(DrainStage::Leased(9))));
    assert!(
        !halt_is_effective(&TIMING, Duration::from_secs(5), &with(DrainStage::Returning(9))),
        "it held the lease a moment ago"
    );
    assert!(halt_is_effective(&TIMING, Duration::from_secs(6), &with(DrainStage::Leased(9))));
}
