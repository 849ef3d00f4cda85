use super::BodyBudget;

#[test]
fn a_reservation_takes_its_part_and_gives_it_back_when_dropped() {
    let budget = BodyBudget::new(100);
    let mut body = budget.reserve(40).expect("enough is left");
    assert!(budget.reserve(61).is_none());
    assert!(body.grow(100) && budget.available() == 0);
    drop(body);
    assert_eq!(budget.available(), 100);
}

#[test]
fn a_reservation_that_cannot_grow_stays_as_it_is() {
    let budget = BodyBudget::new(100);
    let mut body = budget.reserve(40).expect("enough is left");
    assert!(!body.grow(101));
    assert!(body.grow(10), "never smaller");
    assert_eq!(budget.available(), 60);
}
