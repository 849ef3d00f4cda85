use super::MemoryBudget;

#[test]
fn a_dropped_reservation_is_returned_to_the_budget() {
    let budget = MemoryBudget::new(100);
    let mut body = budget.reserve(40).expect("enough is left");
    assert!(budget.reserve(61).is_none());
    assert!(body.grow(100) && budget.available() == 0);
    drop(body);
    assert_eq!(budget.available(), 100);
}

#[test]
fn a_reservation_that_cannot_grow_is_unchanged() {
    let budget = MemoryBudget::new(100);
    let mut body = budget.reserve(40).expect("enough is left");
    assert!(!body.grow(101));
    assert!(body.grow(10), "a reservation never shrinks");
    assert_eq!(budget.available(), 60);
}
