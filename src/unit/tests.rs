use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use yare::parameterized;

use super::Milliseconds;
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

#[serde_as]
#[derive(Serialize, Deserialize)]
struct Message {
    #[serde_as(as = "Milliseconds")]
    time_left: Duration,
}

/// Guards against a panic of whoever encodes a record whose duration no 64 bits of milliseconds can hold.
#[parameterized(
    nothing = { Duration::ZERO, 0 },
    rounded_down = { Duration::from_micros(1_499), 1 },
    rounded_up = { Duration::from_micros(1_500), 2 },
    longest_exact = { Duration::from_millis(u64::MAX), u64::MAX },
    too_long = { Duration::from_secs(100_000_000_000_000_000), u64::MAX },
    longest = { Duration::MAX, u64::MAX },
)]
fn each_duration_can_be_encoded(time_left: Duration, millis: u64) {
    let mut bytes = Vec::new();
    ciborium::into_writer(&Message { time_left }, &mut bytes).unwrap();
    let decoded: Message = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(decoded.time_left, Duration::from_millis(millis));
}
