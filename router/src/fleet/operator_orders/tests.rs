use super::*;

fn order(words: &[&str]) -> FleetOrder {
    let parsed = parse(words).unwrap();
    assert_eq!(parsed.id, None);
    parsed.order
}

fn error(words: &[&str]) -> String {
    parse(words).unwrap_err().to_string()
}

#[test]
fn orders_are_read() {
    assert_eq!(order(&["status"]), FleetOrder::Status);
    assert_eq!(order(&["halt", "late", "answers"]), FleetOrder::Halt("late answers".into()));
    let half = Some(Duration::from_secs(1800));
    assert_eq!(
        order(&["take-out", "n1", "n2", "for", "30m"]),
        FleetOrder::DrainReplicas(vec!["n1".into(), "n2".into()], half)
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
fn what_is_no_order_is_named() {
    assert!(error(&["take-out", "n1", "for", "ever"]).contains("is no time"));
    assert!(error(&["take-out"]).contains("which model nodes"));
    assert!(error(&["release", "{}"]).contains("not a plan"));
    assert!(error(&["drain"]).contains("which routers"));
    assert!(error(&["dance"]).contains("no such order"));
    assert!(parse(&[]).is_err());
}
