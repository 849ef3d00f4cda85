use super::*;

fn seen(out: &[&str]) -> BTreeMap<String, ReplicaView> {
    let of = |n: usize| (format!("n{n}"), ["a", "b"][n % 2].to_string(), ["new", "old"][n / 5].to_string());
    let row = |(id, zone, kind): (String, String, String)| {
        let out = out.contains(&id.as_str());
        (id, ReplicaView { zone, kind, out_of_service: out })
    };
    (0..10).map(of).map(row).collect()
}

fn out(ids: &[&str]) -> ReplicaEntries {
    let entry = ReplicaEntry { stage: ReplicaStage::OutOfService(3), order: "o".into(), until: None };
    ids.iter().map(|id| (id.to_string(), entry.clone())).collect()
}

#[test]
fn what_fails_and_what_is_ordered_fill_the_bounds_in_all_by_zone_and_by_kind() {
    let bounds =
        ReplicaLimits { total: Limit::Percent(30), per_zone: Limit::Count(2), per_kind: Limit::Percent(50) };
    assert_eq!(check_limits("n0", &out(&["n1"]), &bounds, &seen(&["n7"])), Ok(()));
    let full = |entries: &[&str], failed: &[&str]| {
        check_limits("n0", &out(entries), &bounds, &seen(failed)).unwrap_err()
    };
    assert_eq!((full(&["n1", "n5"], &["n3"]).group.as_str(), full(&["n1"], &["n3", "n5"]).limit), ("all", 3));
    assert_eq!(full(&["n2"], &["n4"]).group, "zone a");
    let bounds =
        ReplicaLimits { total: Limit::Count(9), per_zone: Limit::Count(9), per_kind: Limit::Percent(50) };
    let full = check_limits("n0", &out(&["n1", "n3"]), &bounds, &seen(&[])).unwrap_err();
    assert_eq!((full.group.as_str(), full.limit, full.total), ("kind new", 2, 5));
    // What is out twice counts once, itself not at all, and what is not listed any more not either.
    assert_eq!(check_limits("n0", &out(&["n1", "gone", "n0"]), &bounds, &seen(&["n0", "n1"])), Ok(()));
    assert!(check_limits("n77", &out(&[]), &bounds, &seen(&[])).is_err(), "not listed");
    let none = ReplicaLimits { total: Limit::Percent(9), ..bounds };
    assert_eq!(check_limits("n0", &out(&[]), &none, &seen(&[])).unwrap_err().limit, 0, "9% of 10 is none");
}

#[test]
fn a_node_is_clear_when_all_that_live_go_by_its_order_and_have_nothing_open_there() {
    let f = |version, open: &[&str]| AppliedState {
        version,
        in_flight: open.iter().map(|s| s.to_string()).collect(),
    };
    let (late, busy, done) = (f(4, &[]), f(5, &["n1"]), f(6, &["n2"]));
    let said =
        [(Some(&late), false), (Some(&busy), false), (Some(&done), false), (None, false), (None, true)];
    assert_eq!(
        routers_not_clear("n1", 5, &said),
        [0, 1, 3],
        "one goes by what was before, one is busy, one is not heard"
    );
    assert_eq!(routers_not_clear("n2", 5, &said), [0, 2, 3]);
    assert!(routers_not_clear("n1", 5, &[(Some(&done), false), (Some(&late), true)]).is_empty());
}
