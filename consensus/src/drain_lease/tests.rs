use super::*;
use crate::fleet_state::DrainEntry;

const S: Nanos = 1_000_000_000;
const FIGURES: LeaseTiming = LeaseTiming { duration: 5 * S, drift_divisor: 20, retry_after: S };

fn with(stage: DrainStage) -> FleetState {
    let mut doc = FleetState::default();
    doc.drains.insert(3, DrainEntry { stage, order: "d".into(), target_digest: None, attempts: 0 });
    doc
}

#[test]
fn a_leave_is_used_within_its_time_and_given_up_after_it() {
    let mut l = LeaseHolder::new(FIGURES, 3, 9);
    let ask = Command::AcquireLease((3, 9).into());
    assert_eq!(
        l.next_step(S, &with(DrainStage::Requested), LocalPhase::Serving, None),
        NextStep::Submit(ask.clone())
    );
    l.record_outcome(S, 2 * S, &ask, true);
    let granted = with(DrainStage::Leased(9));
    assert_eq!(l.next_step(5 * S, &granted, LocalPhase::Serving, None), NextStep::BeginDrain);
    assert_eq!(
        l.next_step(6 * S, &granted, LocalPhase::Serving, None),
        NextStep::Submit(Command::ReturnLease((3, 9).into())),
        "stopped in between"
    );
    assert_eq!(
        l.next_step(6 * S, &granted, LocalPhase::OutOfService, None),
        NextStep::Submit(Command::UseLease((3, 9).into())),
        "it went in time"
    );
    let unasked = LeaseHolder::new(FIGURES, 3, 9);
    assert_eq!(
        unasked.next_step(S, &granted, LocalPhase::Serving, None),
        NextStep::Submit(Command::ReturnLease((3, 9).into())),
        "it does not know since when"
    );
}

#[test]
fn a_refused_leave_is_asked_for_again_later_and_not_while_halted() {
    let mut l = LeaseHolder::new(FIGURES, 3, 9);
    l.record_outcome(S, S, &Command::AcquireLease((3, 9).into()), false);
    assert_eq!(
        l.next_step(S + S / 2, &with(DrainStage::Requested), LocalPhase::Serving, None),
        NextStep::Wait
    );
    assert!(matches!(
        l.next_step(2 * S, &with(DrainStage::Requested), LocalPhase::Serving, None),
        NextStep::Submit(_)
    ));
    let halted = FleetState { halted: Some("x".into()), ..with(DrainStage::Requested) };
    assert_eq!(l.next_step(9 * S, &halted, LocalPhase::Serving, None), NextStep::Wait);
}

#[test]
fn a_router_comes_back_by_order_or_by_starting_anew() {
    let l = LeaseHolder::new(FIGURES, 3, 9);
    assert_eq!(
        l.next_step(S, &with(DrainStage::Returning(9)), LocalPhase::OutOfService, None),
        NextStep::ResumeService
    );
    assert_eq!(
        l.next_step(S, &with(DrainStage::Returning(9)), LocalPhase::Serving, None),
        NextStep::Submit(Command::ReportServing((3, 9).into()))
    );
    assert_eq!(
        l.next_step(S, &with(DrainStage::OutOfService(8)), LocalPhase::Serving, None),
        NextStep::Submit(Command::ReportServing((3, 9).into())),
        "another life went"
    );
    assert_eq!(
        l.next_step(S, &with(DrainStage::OutOfService(9)), LocalPhase::OutOfService, None),
        NextStep::Wait
    );
    assert_eq!(l.next_step(S, &FleetState::default(), LocalPhase::Serving, None), NextStep::Wait);
}

#[test]
fn a_halt_is_answered_when_no_leave_is_open_or_none_can_be_used() {
    assert!(halt_is_effective(&FIGURES, 0, &with(DrainStage::OutOfService(9))));
    assert!(!halt_is_effective(&FIGURES, 5 * S, &with(DrainStage::Leased(9))));
    assert!(
        !halt_is_effective(&FIGURES, 5 * S, &with(DrainStage::Returning(9))),
        "it had a leave a moment ago"
    );
    assert!(halt_is_effective(&FIGURES, 6 * S, &with(DrainStage::Leased(9))));
}
