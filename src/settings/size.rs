//! A size as settings write it: a whole number and a unit.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::unit::Bytes;

/// A size, such as `64KiB`, `260MiB` or `2GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size(pub Bytes);

/// The text is no size.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("is not a whole number with one of the units KiB, MiB or GiB, such as 256MiB")]
pub struct Error;

const UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| Error)?;
        let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit).ok_or(Error)?;
        number.checked_mul(*factor).map(Bytes::new).map(Self).ok_or(Error)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, factor) = UNITS
            .iter()
            .rev()
            .find(|(_, factor)| self.0.get().is_multiple_of(*factor))
            .copied()
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0.get() / factor)
    }
}
