//! Crash reports between the VMs of a region.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::decide::quarantine::Digest;
use crate::id;
use crate::unit::Incarnation;

/// A request that was running on an upstream when it crashed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub digest: Digest,
    /// The upstream.
    pub upstream: id::Upstream,
    /// The incarnation of the upstream that crashed.
    pub incarnation: Incarnation,
    /// How long the request had run there.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran: Duration,
    /// How long ago it crashed; an age, so that clocks of different VMs aren't compared.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Crashes, and requests that have since been answered completely. Merging is idempotent.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that were running on upstreams that crashed.
    #[serde(rename = "charges")]
    pub crashes: Vec<CrashRecord>,
    /// Requests that were answered completely.
    pub cleared: Vec<Digest>,
}

impl Report {
    /// Whether the report is empty.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }
}
