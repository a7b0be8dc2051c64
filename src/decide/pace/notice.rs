//! Paces in the messages between VMs; see [`sharing`](crate::decide::sharing).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Pace;
use crate::decide::sharing::Key;
use crate::unit::Milliseconds;

/// The pace of an upstream that a VM found in a response.
///
/// Serialised as a tuple, because there are many in the messages of a region whose upstreams are slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Notice {
    /// The upstream.
    pub upstream: Key,
    /// The pace in percent.
    pub percent: u32,
    /// The time since the upstream stated it.
    pub age: Duration,
}

#[serde_as]
#[derive(Serialize, Deserialize)]
struct Packed(Key, u32, #[serde_as(as = "Milliseconds")] Duration);

impl From<Packed> for Notice {
    fn from(Packed(upstream, percent, age): Packed) -> Self {
        Self { upstream, percent, age }
    }
}

impl From<Notice> for Packed {
    fn from(notice: Notice) -> Self {
        Self(notice.upstream, notice.percent, notice.age)
    }
}

impl Notice {
    /// Returns the pace; `None` if it is not plausible.
    pub fn pace(&self) -> Option<Pace> {
        Pace::from_percent(f64::from(self.percent))
    }

    /// The notice after that time.
    #[must_use]
    pub const fn aged(self, by: Duration) -> Self {
        Self { age: self.age.saturating_add(by), ..self }
    }

    /// The later of two notices of an upstream; commutative and associative.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        // Of two of the same age, the slower one counts.
        let order = |notice: &Self| (notice.age, u32::MAX - notice.percent);
        if order(&other) < order(&self) { other } else { self }
    }
}
