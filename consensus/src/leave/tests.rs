use super::*;
use crate::document::Entry;

const S: Nanos = 1_000_000_000;
const FIGURES: Figures = Figures { lease: 5 * S, drift: 20, again: S };

fn with(stage: Stage) -> Document {
    let mut doc = Document::default();
    doc.entries.insert(3, Entry { stage, order: "d".into(), to: None, tries: 0 });
    doc
}

#[test]
fn a_leave_is_used_within_its_time_and_given_up_after_it() {
    let mut l = Leaver::new(FIGURES, 3, 9);
    let ask = Act::Leave(3, 9);
    assert_eq!(l.next(S, &with(Stage::Wanted), Own::Serving, None), Next::Ask(ask.clone()));
    l.asked(S, 2 * S, &ask, true);
    let granted = with(Stage::Leave(9));
    assert_eq!(l.next(5 * S, &granted, Own::Serving, None), Next::GoOut);
    assert_eq!(
        l.next(6 * S, &granted, Own::Serving, None),
        Next::Ask(Act::GiveUp(3, 9)),
        "stopped in between"
    );
    assert_eq!(l.next(6 * S, &granted, Own::Out, None), Next::Ask(Act::Going(3, 9)), "it went in time");
    let unasked = Leaver::new(FIGURES, 3, 9);
    assert_eq!(
        unasked.next(S, &granted, Own::Serving, None),
        Next::Ask(Act::GiveUp(3, 9)),
        "it does not know since when"
    );
}

#[test]
fn a_refused_leave_is_asked_for_again_later_and_not_while_halted() {
    let mut l = Leaver::new(FIGURES, 3, 9);
    l.asked(S, S, &Act::Leave(3, 9), false);
    assert_eq!(l.next(S + S / 2, &with(Stage::Wanted), Own::Serving, None), Next::Rest);
    assert!(matches!(l.next(2 * S, &with(Stage::Wanted), Own::Serving, None), Next::Ask(_)));
    let halted = Document { halted: Some("x".into()), ..with(Stage::Wanted) };
    assert_eq!(l.next(9 * S, &halted, Own::Serving, None), Next::Rest);
}

#[test]
fn a_router_comes_back_by_order_or_by_starting_anew() {
    let l = Leaver::new(FIGURES, 3, 9);
    assert_eq!(l.next(S, &with(Stage::Back(9)), Own::Out, None), Next::Serve);
    assert_eq!(l.next(S, &with(Stage::Back(9)), Own::Serving, None), Next::Ask(Act::Serves(3, 9)));
    assert_eq!(
        l.next(S, &with(Stage::Out(8)), Own::Serving, None),
        Next::Ask(Act::Serves(3, 9)),
        "another life went"
    );
    assert_eq!(l.next(S, &with(Stage::Out(9)), Own::Out, None), Next::Rest);
    assert_eq!(l.next(S, &Document::default(), Own::Serving, None), Next::Rest);
}

#[test]
fn a_halt_is_answered_when_no_leave_is_open_or_none_can_be_used() {
    assert!(halt_holds(&FIGURES, 0, &with(Stage::Out(9))));
    assert!(!halt_holds(&FIGURES, 5 * S, &with(Stage::Leave(9))));
    assert!(!halt_holds(&FIGURES, 5 * S, &with(Stage::Back(9))), "it had a leave a moment ago");
    assert!(halt_holds(&FIGURES, 6 * S, &with(Stage::Leave(9))));
}
