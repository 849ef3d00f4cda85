use super::*;

#[test]
fn orders_are_read_and_what_is_none_is_told() {
    assert_eq!(read(&["status"]), Ok((None, Order::Status)));
    let drain = Order::Drain(vec!["r1".into(), "r2".into()]);
    assert_eq!(read(&["id", "x1", "drain", "r1", "r2"]), Ok((Some("x1".into()), drain)));
    assert_eq!(read(&["halt", "late", "answers"]), Ok((None, Order::Halt("late answers".into()))));
    let half = Some(Duration::from_secs(1800));
    assert_eq!(
        read(&["take-out", "n1", "n2", "for", "30m"]).unwrap().1,
        Order::TakeOut(vec!["n1".into(), "n2".into()], half)
    );
    assert!(read(&["take-out", "n1", "for", "ever"]).unwrap_err().contains("is no time"));
    assert!(read(&["take-out"]).unwrap_err().contains("which model nodes"));
    assert!(read(&["release", "{}"]).unwrap_err().contains("not a plan"));
    assert!(read(&["drain"]).unwrap_err().contains("which routers"));
    assert!(read(&["dance"]).unwrap_err().contains("no such order"));
    assert!(read(&[]).is_err());
}
