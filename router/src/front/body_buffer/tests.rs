//! Tests of the memory that a body takes while it is received.

use super::*;
use crate::memory_budget::MemoryBudget;

const KIB: usize = 1 << 10;

/// Guards against memory that no budget counts: the capacity of the buffer is reserved, not only the received bytes.
#[test]
fn the_capacity_is_reserved_before_it_is_allocated() {
    let budget = MemoryBudget::new(512 * KIB);
    let mut body = BodyBuffer::new(256 * KIB, budget.reserve(3 * KIB).unwrap());
    while body.missing() > 0 {
        assert!(body.append(&[b'x'; KIB]));
        assert_eq!(budget.available(), 512 * KIB - 3 * KIB - body.bytes.capacity());
    }
    assert!(!body.append(b"x"), "a body cannot exceed its maximum size");
    let body = body.finish(KIB);
    assert_eq!((body.bytes.len(), budget.available()), (256 * KIB, 255 * KIB));
    drop(body);
    assert_eq!(budget.available(), 512 * KIB);
}

#[test]
fn a_body_that_the_budget_does_not_permit_stays_as_it_is() {
    let budget = MemoryBudget::new(20 * KIB);
    let mut body = BodyBuffer::new(256 * KIB, budget.empty_reservation());
    let received = (0..).take_while(|_| body.append(&[b'x'; KIB])).count();
    assert_eq!((received, body.bytes.len()), (16, 16 * KIB));
    assert!(body.is_full());
    let mut input = BytesMut::from(&b"abc"[..]);
    assert!(!body.take_from(&mut input));
    assert_eq!(&input[..], b"abc");
}

#[test]
fn only_the_bytes_of_the_body_are_taken_from_the_input() {
    let budget = MemoryBudget::new(20 * KIB);
    let mut body = BodyBuffer::new(4, budget.empty_reservation());
    let mut input = BytesMut::from(&b"bodyGET /"[..]);
    assert!(body.take_from(&mut input));
    assert_eq!((&body.bytes[..], &input[..]), (&b"body"[..], &b"GET /"[..]));
    assert_eq!(body.bytes.capacity(), 4, "a buffer is no larger than the body");
}
