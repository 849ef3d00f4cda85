use super::*;

#[test]
fn orders_are_read_and_what_is_none_is_told() {
    assert_eq!(parse(&["status"]), Ok((None, FleetOrder::Status)));
    let drain = FleetOrder::Drain(vec!["r1".into(), "r2".into()]);
    assert_eq!(parse(&["id", "x1", "drain", "r1", "r2"]), Ok((Some("x1".into()), drain)));
    assert_eq!(parse(&["halt", "late", "answers"]), Ok((None, FleetOrder::Halt("late answers".into()))));
    let half = Some(Duration::from_secs(1800));
    assert_eq!(
        parse(&["take-out", "n1", "n2", "for", "30m"]).unwrap().1,
        FleetOrder::DrainReplicas(vec!["n1".into(), "n2".into()], half)
    );
    assert!(parse(&["take-out", "n1", "for", "ever"]).unwrap_err().contains("is no time"));
    assert!(parse(&["take-out"]).unwrap_err().contains("which model nodes"));
    assert!(parse(&["release", "{}"]).unwrap_err().contains("not a plan"));
    assert!(parse(&["drain"]).unwrap_err().contains("which routers"));
    assert!(parse(&["dance"]).unwrap_err().contains("no such order"));
    assert!(parse(&[]).is_err());
}
