use super::*;
use EndpointState::{Draining, Gone, Ready};

const FIRST: ReplicaId = ReplicaId(1);
const UNLISTED: ReplicaId = ReplicaId(9);

fn entry(id: u64, state: EndpointState, started_at: Nanos) -> EndpointEntry {
    EndpointEntry { replica: ReplicaId(id), state, started_at, ..EndpointEntry::default() }
}

/// A list of two replicas, both started at 5 ns.
fn list() -> OverriddenEndpointList {
    let mut list = OverriddenEndpointList::default();
    let all = vec![entry(1, Ready, 5), entry(2, Ready, 5)];
    assert_eq!(list.apply_update(ListUpdate::Full, all.clone()), all, "no entry is overridden");
    list
}

fn update(list: &mut OverriddenEndpointList, entry: EndpointEntry) -> Vec<EndpointEntry> {
    list.apply_update(ListUpdate::Delta, vec![entry])
}

#[test]
fn a_drained_replica_stays_drained_whatever_the_list_says() {
    let mut list = list();
    assert_eq!(list.set_overrides(&[FIRST, UNLISTED], &[]), [entry(1, Draining, 5)]);
    assert_eq!(list.set_overrides(&[FIRST, UNLISTED], &[]), [], "unchanged overrides change no entry");
    // The drained replica restarts and remains drained. A different replica is not affected.
    assert_eq!(update(&mut list, entry(1, Ready, 8)), [entry(1, Draining, 8)]);
    let all = vec![entry(1, Ready, 8), entry(3, Ready, 1)];
    assert_eq!(list.apply_update(ListUpdate::Full, all)[1], entry(3, Ready, 1));
}

#[test]
fn a_restored_replica_counts_as_just_started() {
    let mut list = list();
    list.set_overrides(&[FIRST], &[]);
    update(&mut list, entry(1, Ready, 8));
    let restored = ReplicaRestoration { replica: FIRST, restored_at: 20 };
    assert_eq!(list.set_overrides(&[], &[restored]), [entry(1, Ready, 20)]);
    assert_eq!(update(&mut list, entry(1, Ready, 8)), [entry(1, Ready, 20)], "the listed start is earlier");
    assert_eq!(
        list.set_overrides(&[], &[]),
        [],
        "the start time is kept when the replica is no longer named"
    );
    assert_eq!(update(&mut list, entry(1, Ready, 30)), [entry(1, Ready, 30)], "the listed start is later");
}

#[test]
fn a_replica_that_has_left_the_list_is_not_overridden() {
    let mut list = list();
    list.set_overrides(&[], &[ReplicaRestoration { replica: FIRST, restored_at: 20 }]);
    assert_eq!(update(&mut list, entry(1, Gone, 30)), [entry(1, Gone, 30)]);
    assert_eq!((list.set_overrides(&[FIRST], &[]), list.entries().count()), (vec![], 1));
}
