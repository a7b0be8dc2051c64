use std::time::Duration;

use super::Rate;
use super::Tokens;

#[test]
fn a_rate_is_never_negative() {
    assert_eq!(Rate::per_second(-1.0), Rate::default());
    assert_eq!(Rate::per_second(f64::NAN), Rate::default());
    assert_eq!("2.5/s".parse(), Ok(Rate::per_second(2.5)));
    assert_eq!(Rate::per_second(4.0).over(Duration::from_millis(500)), 2.0);
}

#[test]
fn counts_saturate() {
    assert_eq!(Tokens::new(u64::MAX) + Tokens::new(1), Tokens::new(u64::MAX));
    assert_eq!(Tokens::new(1).saturating_sub(Tokens::new(2)), Tokens::ZERO);
}
