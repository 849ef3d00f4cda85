use super::*;

fn row(id: u64, state: EndpointState, last_start: Nanos) -> EndpointEntry {
    EndpointEntry { replica: ReplicaId(id), state, started_at: last_start, ..EndpointEntry::default() }
}

#[test]
fn what_is_out_by_hand_stays_so_whatever_the_list_says_and_comes_back_as_just_started() {
    use EndpointState::{Draining, Gone, Ready};
    let mut list = OverriddenList::default();
    let all = vec![row(1, Ready, 5), row(2, Ready, 5)];
    assert_eq!(list.apply_update(ListUpdate::Full, all.clone()), all, "nothing is effective over it");
    assert_eq!(list.set_overrides(&[ReplicaId(1), ReplicaId(9)], &[]), [row(1, Draining, 5)]);
    assert_eq!(list.set_overrides(&[ReplicaId(1), ReplicaId(9)], &[]), [], "once");
    // It starts again, elsewhere: it is still out. Another that takes its address is another.
    assert_eq!(list.apply_update(ListUpdate::Delta, vec![row(1, Ready, 8)]), [row(1, Draining, 8)]);
    assert_eq!(
        list.apply_update(ListUpdate::Full, vec![row(1, Ready, 8), row(3, Ready, 1)])[1],
        row(3, Ready, 1)
    );
    assert_eq!(list.set_overrides(&[], &[(ReplicaId(1), 20)]), [row(1, Ready, 20)]);
    assert_eq!(
        list.apply_update(ListUpdate::Delta, vec![row(1, Ready, 8)]),
        [row(1, Ready, 20)],
        "no start by the list's word"
    );
    assert_eq!(list.set_overrides(&[], &[]), [], "no longer told, and still the same start");
    assert_eq!(
        list.apply_update(ListUpdate::Delta, vec![row(1, Ready, 30)]),
        [row(1, Ready, 30)],
        "a real one"
    );
    assert_eq!(list.apply_update(ListUpdate::Delta, vec![row(1, Gone, 30)]), [row(1, Gone, 30)]);
    assert_eq!((list.set_overrides(&[ReplicaId(1)], &[]), list.entries().count()), (vec![], 1));
}
