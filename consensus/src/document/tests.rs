use super::*;

fn bounds() -> Bounds {
    Bounds { names: vec![], zones: vec![0, 0, 0, 1, 1], all: 2, zone: 1, council: vec![], nodes: None }
}

fn view(out: &[Place]) -> View {
    View { knowing: 2, wanted: 2, out: out.iter().copied().collect(), ..View::default() }
}

fn going() -> Document {
    let doc = Document::first(None);
    let doc = doc.changed(&Act::Resume { order: "r".into() }, &bounds(), &view(&[])).unwrap();
    let all = Act::Drain { order: "d".into(), routers: vec![0, 1, 3, 4] };
    doc.changed(&all, &bounds(), &view(&[])).unwrap()
}

#[test]
fn bounds_hold_in_all_and_by_zone_and_failures_count() {
    let doc = going();
    let one = doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[])).unwrap();
    assert_eq!(one.changed(&Act::Leave(1, 7), &bounds(), &view(&[])), Err(No::ZoneFull(1)));
    let two = one.changed(&Act::Leave(3, 7), &bounds(), &view(&[])).unwrap();
    assert_eq!(two.changed(&Act::Leave(4, 7), &bounds(), &view(&[])), Err(No::Full(2)));
    assert_eq!(doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[2])), Err(No::ZoneFull(1)), "2 has crashed");
    assert_eq!(doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[3, 4])), Err(No::Full(2)));
    assert!(doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[0])).is_ok(), "itself counts once");
    let council = Bounds { all: 4, zone: 4, council: vec![0, 1, 3], ..bounds() };
    assert_eq!(doc.changed(&Act::Leave(0, 7), &council, &view(&[3])), Err(No::CouncilFull(1)));
    assert!(doc.changed(&Act::Leave(4, 7), &council, &view(&[3])).is_ok(), "of no council");
    let blind = View { knowing: 1, ..view(&[]) };
    assert_eq!(doc.changed(&Act::Leave(0, 7), &bounds(), &blind), Err(No::Unseen));
}

#[test]
fn nothing_begins_while_halted_and_what_has_begun_may_end() {
    let doc = going().changed(&Act::Leave(0, 7), &bounds(), &view(&[])).unwrap();
    let halt = Act::Halt { order: "h".into(), cause: "late answers".into() };
    let doc = doc.changed(&halt, &bounds(), &view(&[])).unwrap();
    let no = doc.changed(&Act::Leave(3, 7), &bounds(), &view(&[]));
    assert_eq!(no, Err(No::Halted("late answers".into())));
    let doc = doc.changed(&Act::Going(0, 7), &bounds(), &view(&[])).unwrap();
    let doc =
        doc.changed(&Act::PutBack { order: "b".into(), routers: vec![0] }, &bounds(), &view(&[])).unwrap();
    let doc = doc.changed(&Act::Serves(0, 7), &bounds(), &view(&[])).unwrap();
    assert!(!doc.entries.contains_key(&0));
}

#[test]
fn an_order_runs_once_and_one_that_is_wrong_changes_nothing() {
    let doc = going();
    let again = Act::Drain { order: "d".into(), routers: vec![2] };
    assert_eq!(doc.changed(&again, &bounds(), &view(&[])).as_ref(), Ok(&doc));
    let unknown = Act::Drain { order: "e".into(), routers: vec![2, 9] };
    assert_eq!(doc.changed(&unknown, &bounds(), &view(&[])), Err(No::Unknown(9)));
    let long = Act::Halt { order: "h".into(), cause: "x".repeat(LONGEST_WORD + 1) };
    assert_eq!(doc.changed(&long, &bounds(), &view(&[])), Err(No::Words));
    let mut many = doc;
    for k in 0..200 {
        many = many.changed(&Act::Resume { order: format!("r{k}") }, &bounds(), &view(&[])).unwrap();
    }
    assert!(many.orders.len() <= MOST_ORDERS);
}

#[test]
fn a_life_that_has_ended_speaks_for_no_later_one() {
    let doc = going().changed(&Act::Leave(0, 7), &bounds(), &view(&[])).unwrap();
    assert_eq!(doc.changed(&Act::Going(0, 8), &bounds(), &view(&[])), Err(No::Nothing));
    assert_eq!(
        doc.changed(&Act::Serves(0, 7), &bounds(), &view(&[])),
        Err(No::Nothing),
        "it has leave to go"
    );
    let back = doc.changed(&Act::Serves(0, 8), &bounds(), &view(&[])).unwrap();
    assert!(!back.entries.contains_key(&0), "started anew, and serves");
}
