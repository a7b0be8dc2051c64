//! What an upstream reports of its load; always late.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;

/// A load report: how things stood `age` before it was received.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Whose load it is.
    pub upstream: id::Upstream,
    /// The start that it counts from.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation; a lower one than the last is out of date.
    pub sequence: u64,
    /// Requests that run, of all VMs.
    pub running: u32,
    /// Requests that wait inside the upstream, of all VMs.
    pub waiting: u32,
    /// How long ago it was measured; whoever passes it on adds the time that it held it.
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
}

impl Load {
    /// Requests inside the upstream, whether they run or wait.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
