use super::*;

fn order(arguments: &[&str]) -> FleetOrder {
    let parsed = parse(arguments).unwrap();
    assert_eq!(parsed.id, None);
    parsed.order
}

fn error(arguments: &[&str]) -> String {
    parse(arguments).unwrap_err().to_string()
}

#[test]
fn valid_orders_are_parsed() {
    assert_eq!(order(&["status"]), FleetOrder::Status);
    assert_eq!(order(&["halt", "late", "answers"]), FleetOrder::Halt("late answers".into()));
    let half_an_hour = Some(Duration::from_secs(1800));
    assert_eq!(
        order(&["take-out", "n1", "n2", "for", "30m"]),
        FleetOrder::DrainReplicas(vec!["n1".into(), "n2".into()], half_an_hour)
    );
}

#[test]
fn an_order_may_have_an_id() {
    let drain = FleetOrder::Drain(vec!["r1".into(), "r2".into()]);
    assert_eq!(
        parse(&["id", "x1", "drain", "r1", "r2"]).unwrap(),
        IdentifiedOrder { id: Some("x1".into()), order: drain }
    );
}

#[test]
fn invalid_orders_are_rejected_with_a_reason() {
    assert!(error(&["take-out", "n1", "for", "ever"]).contains("is not a time"));
    assert!(error(&["take-out"]).contains("needs the names of model nodes"));
    assert!(error(&["release", "{}"]).contains("invalid release plan"));
    assert!(error(&["drain"]).contains("needs the names of routers"));
    assert!(error(&["dance"]).contains("unknown order"));
    assert!(parse(&[]).is_err());
}
