//! A span of time as settings write it: a whole number and a unit.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// A span of time, such as `250ms`, `3s`, `2m` or `4h`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span(pub Duration);

/// The text is no span of time.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("is not a whole number with one of the units ms, s, m, h or d, such as 250ms")]
pub struct Error;

const UNITS: [(&str, u64); 5] =
    [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| Error)?;
        let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit).ok_or(Error)?;
        number.checked_mul(*factor).map(Duration::from_millis).map(Self).ok_or(Error)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis() as u64;
        let fits = |factor: &u64| millis >= *factor && millis.is_multiple_of(*factor);
        let (unit, factor) =
            UNITS.iter().rev().find(|(_, factor)| fits(factor)).copied().unwrap_or(("ms", 1));
        write!(f, "{}{unit}", millis / factor)
    }
}
