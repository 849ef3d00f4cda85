use super::*;

fn bounds() -> DrainLimits {
    DrainLimits {
        names: vec![],
        zones: vec![0, 0, 0, 1, 1],
        total: 2,
        per_zone: 1,
        council: vec![],
        replicas: None,
    }
}

fn view(out: &[RouterIndex]) -> CouncilView {
    CouncilView {
        informed_members: 2,
        majority: 2,
        out_of_service: out.iter().copied().collect(),
        ..CouncilView::default()
    }
}

fn going() -> FleetState {
    let doc = FleetState::bootstrap(None);
    let doc = doc.apply(&Command::Resume { order: "r".into() }, &bounds(), &view(&[])).unwrap();
    let all = Command::Drain { order: "d".into(), routers: vec![0, 1, 3, 4] };
    doc.apply(&all, &bounds(), &view(&[])).unwrap()
}

#[test]
fn bounds_hold_in_all_and_by_zone_and_failures_count() {
    let doc = going();
    let one = doc.apply(&Command::AcquireLease(0, 7), &bounds(), &view(&[])).unwrap();
    assert_eq!(
        one.apply(&Command::AcquireLease(1, 7), &bounds(), &view(&[])),
        Err(Rejection::ZoneLimitReached(1))
    );
    let two = one.apply(&Command::AcquireLease(3, 7), &bounds(), &view(&[])).unwrap();
    assert_eq!(
        two.apply(&Command::AcquireLease(4, 7), &bounds(), &view(&[])),
        Err(Rejection::FleetLimitReached(2))
    );
    assert_eq!(
        doc.apply(&Command::AcquireLease(0, 7), &bounds(), &view(&[2])),
        Err(Rejection::ZoneLimitReached(1)),
        "2 has crashed"
    );
    assert_eq!(
        doc.apply(&Command::AcquireLease(0, 7), &bounds(), &view(&[3, 4])),
        Err(Rejection::FleetLimitReached(2))
    );
    assert!(doc.apply(&Command::AcquireLease(0, 7), &bounds(), &view(&[0])).is_ok(), "itself counts once");
    let council = DrainLimits { total: 4, per_zone: 4, council: vec![0, 1, 3], ..bounds() };
    assert_eq!(
        doc.apply(&Command::AcquireLease(0, 7), &council, &view(&[3])),
        Err(Rejection::CouncilLimitReached(1))
    );
    assert!(doc.apply(&Command::AcquireLease(4, 7), &council, &view(&[3])).is_ok(), "of no council");
    let blind = CouncilView { informed_members: 1, ..view(&[]) };
    assert_eq!(doc.apply(&Command::AcquireLease(0, 7), &bounds(), &blind), Err(Rejection::ViewIncomplete));
}

#[test]
fn nothing_begins_while_halted_and_what_has_begun_may_end() {
    let doc = going().apply(&Command::AcquireLease(0, 7), &bounds(), &view(&[])).unwrap();
    let halt = Command::Halt { order: "h".into(), cause: "late answers".into() };
    let doc = doc.apply(&halt, &bounds(), &view(&[])).unwrap();
    let no = doc.apply(&Command::AcquireLease(3, 7), &bounds(), &view(&[]));
    assert_eq!(no, Err(Rejection::Halted("late answers".into())));
    let doc = doc.apply(&Command::UseLease(0, 7), &bounds(), &view(&[])).unwrap();
    let doc =
        doc.apply(&Command::Restore { order: "b".into(), routers: vec![0] }, &bounds(), &view(&[])).unwrap();
    let doc = doc.apply(&Command::ReportServing(0, 7), &bounds(), &view(&[])).unwrap();
    assert!(!doc.drains.contains_key(&0));
}

#[test]
fn an_order_runs_once_and_one_that_is_wrong_changes_nothing() {
    let doc = going();
    let again = Command::Drain { order: "d".into(), routers: vec![2] };
    assert_eq!(doc.apply(&again, &bounds(), &view(&[])).as_ref(), Ok(&doc));
    let unknown = Command::Drain { order: "e".into(), routers: vec![2, 9] };
    assert_eq!(doc.apply(&unknown, &bounds(), &view(&[])), Err(Rejection::UnknownRouter(9)));
    let long = Command::Halt { order: "h".into(), cause: "x".repeat(MAX_TEXT_BYTES + 1) };
    assert_eq!(doc.apply(&long, &bounds(), &view(&[])), Err(Rejection::InvalidText));
    let mut many = doc;
    for k in 0..200 {
        many = many.apply(&Command::Resume { order: format!("r{k}") }, &bounds(), &view(&[])).unwrap();
    }
    assert!(many.recent_orders.len() <= MAX_REMEMBERED_ORDERS);
}

#[test]
fn a_life_that_has_ended_speaks_for_no_later_one() {
    let doc = going().apply(&Command::AcquireLease(0, 7), &bounds(), &view(&[])).unwrap();
    assert_eq!(doc.apply(&Command::UseLease(0, 8), &bounds(), &view(&[])), Err(Rejection::NothingToChange));
    assert_eq!(
        doc.apply(&Command::ReportServing(0, 7), &bounds(), &view(&[])),
        Err(Rejection::NothingToChange),
        "it has leave to go"
    );
    let back = doc.apply(&Command::ReportServing(0, 8), &bounds(), &view(&[])).unwrap();
    assert!(!back.drains.contains_key(&0), "started anew, and serves");
}
