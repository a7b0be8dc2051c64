//! What the VMs of a region tell each other about deaths of upstreams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::decide::quarantine::Digest;
use crate::id;
use crate::unit::Incarnation;

/// A request ran on an upstream when that died.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The request.
    pub digest: Digest,
    /// The upstream.
    pub upstream: id::Upstream,
    /// Which life of the upstream ended.
    pub incarnation: Incarnation,
    /// How long the request had run there.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran: Duration,
    /// How long ago that was; no two clocks are compared.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Charges, and requests that have since been answered whole. Merging a report twice changes nothing.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that ran where upstreams died.
    pub charges: Vec<Charge>,
    /// Requests that an upstream survived.
    pub cleared: Vec<Digest>,
}

impl Report {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.charges.is_empty() && self.cleared.is_empty()
    }
}
