//! Quantities: one newtype for each unit, so that tokens are never added to bytes.

use std::fmt;
use std::iter::Sum;
use std::num::ParseFloatError;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::AddAssign;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

mod milliseconds;

pub use self::milliseconds::Milliseconds;

/// Declares a whole, never negative quantity.
macro_rules! count {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// None at all.
            pub const ZERO: Self = Self(0);

            /// That many.
            pub const fn new(count: u64) -> Self {
                Self(count)
            }

            /// The bare number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The one that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// The difference, and zero where it would be negative.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Self::add)
            }
        }
    };
}

count! {
    /// Model tokens, of a prompt or of an answer.
    Tokens
}
count! {
    /// A size in bytes.
    Bytes
}
count! {
    /// Places on an upstream, each of which runs one request.
    Slots
}
count! {
    /// A version of the catalogue; each accepted change makes the next one.
    Version
}
count! {
    /// The start count of a VM or an upstream: a restarted one has a higher number.
    Incarnation
}
count! {
    /// A fencing number: an order with a lower one than the last is out of date.
    Fence
}
count! {
    /// A term of office in a replicated log: it has at most one leader.
    Term
}
count! {
    /// The place of an entry in a replicated log; the first entry has 1.
    Index
}
count! {
    /// The number of a write that a replica asked for; writes are confirmed in this order.
    Sequence
}
count! {
    /// A round of heartbeats by which a leader confirms that it still leads.
    Round
}

/// How many a second, never negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// That many a second; anything negative or not a number is none.
    pub fn per_second(count: f64) -> Self {
        Self(if count > 0.0 { count } else { 0.0 })
    }

    /// The count per second.
    pub fn get(self) -> f64 {
        self.0
    }

    /// How many fall into a span of time.
    pub fn over(self, span: Duration) -> f64 {
        self.0 * span.as_secs_f64()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.trim_end_matches("/s").parse().map(Self::per_second)
    }
}

#[cfg(test)]
mod tests;
