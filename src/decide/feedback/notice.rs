//! Restrictions in the messages between VMs; see [`sharing`](crate::decide::sharing).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::unit::Milliseconds;
use crate::unit::Rate;

/// The rate limit that a VM found in a response of an upstream.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateNotice {
    /// The limit over all VMs; `None` if it has ended.
    #[serde(rename = "r")]
    pub rate: Option<Rate>,
    /// The time since the upstream showed it.
    #[serde(rename = "a")]
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
    /// The time since the limit began.
    #[serde(rename = "b")]
    #[serde_as(as = "Milliseconds")]
    pub since: Duration,
}

impl RateNotice {
    /// Whether it is plausible.
    pub fn is_valid(&self) -> bool {
        self.rate.is_none_or(|rate| rate.get().is_finite() && rate.get() >= 0.0)
    }

    /// The notice after that time.
    #[must_use]
    pub const fn aged(self, by: Duration) -> Self {
        let (age, since) = (self.age.saturating_add(by), self.since.saturating_add(by));
        Self { age, since, ..self }
    }

    /// The later of two notices, with the earlier begin; commutative and associative.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let later =
            if (other.age, other.order()) < (self.age, self.order()) { other } else { self };
        Self { since: self.since.max(other.since), ..later }
    }

    /// Breaks ties between notices of the same age: the lower limit wins.
    fn order(&self) -> u64 {
        self.rate.map_or(u64::MAX, |rate| rate.get().to_bits())
    }
}
