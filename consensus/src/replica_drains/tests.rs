use super::*;

/// Ten replicas: alternating between zones a and b, the first five of kind new, the others of kind old.
fn listed(out: &[&str]) -> BTreeMap<String, ReplicaView> {
    let replica = |n: usize| {
        let id = format!("n{n}");
        let out_of_service = out.contains(&id.as_str());
        let (zone, kind) = (["a", "b"][n % 2].to_string(), ["new", "old"][n / 5].to_string());
        (id, ReplicaView { zone, kind, out_of_service })
    };
    (0..10).map(replica).collect()
}

fn ordered_out(ids: &[&str]) -> ReplicaEntries {
    let entry = ReplicaEntry { stage: ReplicaStage::OutOfService(3), order: "o".into(), until: None };
    ids.iter().map(|id| (id.to_string(), entry.clone())).collect()
}

fn exceeded(limits: &ReplicaLimits, ordered: &[&str], out: &[&str]) -> ReplicaLimitExceeded {
    check_limits("n0", &ordered_out(ordered), limits, &listed(out)).unwrap_err()
}

const BY_ALL: ReplicaLimits =
    ReplicaLimits { total: Limit::Percent(30), per_zone: Limit::Count(2), per_kind: Limit::Percent(50) };
const BY_KIND: ReplicaLimits =
    ReplicaLimits { total: Limit::Count(9), per_zone: Limit::Count(9), per_kind: Limit::Percent(50) };

#[test]
fn failed_replicas_and_those_out_by_order_count_towards_the_total_limit() {
    assert_eq!(check_limits("n0", &ordered_out(&["n1"]), &BY_ALL, &listed(&["n7"])), Ok(()));
    assert_eq!(
        (
            exceeded(&BY_ALL, &["n1", "n5"], &["n3"]).group.as_str(),
            exceeded(&BY_ALL, &["n1"], &["n3", "n5"]).limit
        ),
        ("all", 3)
    );
    let none = ReplicaLimits { total: Limit::Percent(9), ..BY_KIND };
    assert_eq!(exceeded(&none, &[], &[]).limit, 0, "9% of 10 is none");
}

#[test]
fn zones_and_kinds_have_limits_of_their_own() {
    assert_eq!(exceeded(&BY_ALL, &["n2"], &["n4"]).group, "zone a");
    let full = exceeded(&BY_KIND, &["n1", "n3"], &[]);
    assert_eq!((full.group.as_str(), full.limit, full.total), ("kind new", 2, 5));
}

/// A replica that is out of service for two reasons counts once. The replica to drain and unlisted replicas do not count.
#[test]
fn each_other_listed_replica_counts_once() {
    let ordered = ordered_out(&["n1", "gone", "n0"]);
    assert_eq!(check_limits("n0", &ordered, &BY_KIND, &listed(&["n0", "n1"])), Ok(()));
    assert!(check_limits("n77", &ordered_out(&[]), &BY_KIND, &listed(&[])).is_err(), "not listed");
}

#[test]
fn a_replica_is_clear_when_all_live_routers_apply_its_order_and_have_nothing_in_flight_there() {
    let applied = |version, in_flight: &[&str]| AppliedState {
        version,
        in_flight: in_flight.iter().map(|id| id.to_string()).collect(),
    };
    let (late, busy, done) = (applied(4, &[]), applied(5, &["n1"]), applied(6, &["n2"]));
    let live = |applied| ReplicaUse { applied, has_left: false };
    let left = |applied| ReplicaUse { applied, has_left: true };
    let uses = [live(Some(&late)), live(Some(&busy)), live(Some(&done)), live(None), left(None)];
    assert_eq!(
        routers_still_using("n1", 5, &uses),
        [0, 1, 3],
        "one applies an earlier version, one has requests in flight, one has not reported"
    );
    assert_eq!(routers_still_using("n2", 5, &uses), [0, 2, 3]);
    assert!(routers_still_using("n1", 5, &[live(Some(&done)), left(Some(&late))]).is_empty());
}
