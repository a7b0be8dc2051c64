use bytes::Bytes;

use super::Budget;
use super::FREE_BYTES;
use crate::unit;

const LIMIT: usize = 1 << 20;

fn budget() -> Budget {
    Budget::new(unit::Bytes::new(LIMIT as u64))
}

#[test]
fn bodies_together_stay_within_the_budget() {
    let budget = budget();
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.grow_to(LIMIT / 2 + FREE_BYTES) && first.grow_to(LIMIT / 4));
    assert_eq!(budget.reserved(), unit::Bytes::new(LIMIT as u64 / 2));
    assert!(second.grow_to(LIMIT / 2 + FREE_BYTES));
    assert!(!first.grow_to(LIMIT / 2 + FREE_BYTES + 1));
    assert_eq!(budget.rejected(), 1);
    first.shrink_to(LIMIT / 4 + FREE_BYTES);
    assert!(first.grow_to(LIMIT / 2 + FREE_BYTES));
    drop(second);
    assert!(first.grow_to(LIMIT));
}

/// Guards against large bodies that keep out small ones.
#[test]
fn a_small_body_needs_no_reservation() {
    let budget = budget();
    let mut large = budget.reservation();
    assert!(large.grow_to(LIMIT + FREE_BYTES));
    assert!(budget.reservation().grow_to(FREE_BYTES));
    assert!(!budget.reservation().grow_to(FREE_BYTES + 1));
}

#[test]
fn a_reservation_lasts_as_long_as_the_bytes() {
    let budget = budget();
    let mut reservation = budget.reservation();
    assert!(reservation.grow_to(LIMIT));
    let bytes = reservation.attach(Bytes::from(vec![7; LIMIT]));
    let part = bytes.slice(1..3);
    drop(bytes);
    assert_ne!(budget.reserved(), unit::Bytes::ZERO);
    assert_eq!(part[..], [7, 7]);
    drop(part);
    assert_eq!(budget.reserved(), unit::Bytes::ZERO);
}
