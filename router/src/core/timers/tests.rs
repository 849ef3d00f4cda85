use tallypin::api::RequestId;

use super::{TimerKind, Timers, MIN_OBSOLETE_FOR_SWEEP};

fn deadline(id: u64) -> TimerKind {
    TimerKind::Deadline(RequestId(id))
}

#[test]
fn due_timers_come_in_the_order_of_their_times() {
    let mut timers = Timers::default();
    timers.schedule(30, deadline(1));
    timers.schedule(10, TimerKind::Decision(7));
    timers.schedule(20, TimerKind::AttemptTimeout(RequestId(1), 0));
    assert_eq!(timers.next(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    let due: Vec<_> = std::iter::from_fn(|| timers.pop_due(20)).collect();
    assert_eq!(due, [(10, TimerKind::Decision(7)), (20, TimerKind::AttemptTimeout(RequestId(1), 0))]);
    assert_eq!((timers.next(), timers.len()), (Some(30), 1));
}

#[test]
fn obsolete_timers_are_dropped_only_once_they_may_be_half_of_all() {
    let mut timers = Timers::default();
    let all = MIN_OBSOLETE_FOR_SWEEP * 4;
    (0..all as u64).for_each(|id| timers.schedule(id, deadline(id)));
    timers.mark_obsolete(all / 2 - 1, |_| panic!("obsolete timers removed too early"));
    assert_eq!(timers.len(), all);
    timers.mark_obsolete(1, |timer| matches!(timer, TimerKind::Deadline(id) if id.0 % 2 == 0));
    assert_eq!((timers.len(), timers.next()), (all / 2, Some(0)));
}
