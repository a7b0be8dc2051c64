//! One route: which requests it takes, and how they are carried.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::id;
use crate::unit::Milliseconds;

/// What may be done again with a request.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Idempotent: it may run more than once.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may go on after the last event that was delivered. If not, it runs at most once.
        resumable: bool,
        /// The longest pause between events with which the answer is still in time.
        #[serde_as(as = "Milliseconds")]
        pause: Duration,
    },
}

impl Kind {
    /// Whether a request may run again after it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true, .. })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends to, and its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its share, against the sum of all of the route's.
    pub weight: u32,
}

/// One route.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The path that requests begin with; it begins and ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: Kind,
    /// The longest that a caller may be kept waiting for its whole answer.
    #[serde_as(as = "Milliseconds")]
    pub timeout: Duration,
    /// The time to the answer, or to its first event, that callers aim at.
    #[serde_as(as = "Milliseconds")]
    pub objective: Duration,
    /// Its rank among requests that compete; 0 goes first.
    pub rank: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// The most upstreams that may run one request.
    pub attempts: u32,
    /// The regions that may serve, store and cache it; empty means all.
    pub homes: BTreeSet<id::Region>,
    /// Whether it is open to all callers: they need no key.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Whether the region may serve its requests.
    pub fn allows(&self, region: &id::Region) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// The service for a request, by shares: `draw` is evenly spread over all numbers.
    pub fn target(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
