use super::*;
use proptest::prelude::*;

fn entry(id: u64, started_at: Nanos) -> EndpointEntry {
    EndpointEntry { replica: ReplicaId(id), started_at, ..EndpointEntry::default() }
}

#[test]
fn a_session_replica_matches_only_its_incarnation() {
    let mut sessions = SessionAffinity::default();
    sessions.record(0, 1, &entry(7, 5), 100);
    let last = sessions.last_replica(SECOND, 1).expect("recorded");
    assert!(last.is_incarnation_of(&entry(7, 5), None) && last.is_incarnation_of(&entry(7, 5), Some(0)));
    assert!(!last.is_incarnation_of(&entry(7, 6), None), "another incarnation has an empty cache");
    assert!(!last.is_incarnation_of(&entry(7, 5), Some(1)), "it may have restarted since");
    assert!(!last.is_incarnation_of(&entry(8, 5), None));
    assert_eq!(sessions.last_replica(SECOND, 2), None);
    assert_eq!(sessions.last_replica(EVICTION_TIME, 1), None, "evicted");
}

#[test]
fn the_table_is_bounded_and_keeps_active_sessions() {
    let mut sessions = SessionAffinity::default();
    for s in 0..3 * MAX_SESSIONS as u64 {
        sessions.record(0, s, &entry(1, 0), 1);
        sessions.record(0, u64::MAX, &entry(2, 0), 2);
        assert!(sessions.young.len() + sessions.old.len() <= MAX_SESSIONS);
    }
    assert!(sessions.last_replica(0, u64::MAX).is_some_and(|h| h.is_incarnation_of(&entry(2, 0), None)));
    assert_eq!(sessions.last_replica(0, 0), None, "the oldest sessions are dropped");
    assert!(sessions.last_replica(0, 3 * MAX_SESSIONS as u64 - 1).is_some());
}

proptest! {
    #[test]
    fn a_cache_fills_from_empty_to_its_warm_state(
        prompt in 0.0f64..1e5, part in 0.0f64..1.0, age in 0u64..100 * SECOND, later in 0u64..100 * SECOND,
    ) {
        let warm = prompt * part;
        prop_assert!((uncached_tokens_after_start(warm, prompt, 0) - prompt).abs() < 1e-6);
        let (now, after) = (uncached_tokens_after_start(warm, prompt, age), uncached_tokens_after_start(warm, prompt, age + later));
        prop_assert!(warm <= after && after <= now + 1e-6 && now <= prompt + 1e-6);
    }
}
