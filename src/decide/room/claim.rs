//! Messages between a VM and the host that counts the requests at an upstream.

use serde::Deserialize;
use serde::Serialize;

/// Upper bound on each number of a claim.
const MAX_REQUESTS: u32 = 1_000_000;

/// What a VM has and wants at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The requests of all VMs for which there is room, as far as this VM knows.
    #[serde(rename = "c")]
    pub capacity: u32,
    /// The VM's requests there.
    #[serde(rename = "r")]
    pub running: u32,
    /// The requests that it would send there besides.
    #[serde(rename = "w")]
    pub wanted: u32,
}

impl Claim {
    /// Whether it is plausible.
    pub const fn is_valid(&self) -> bool {
        self.capacity <= MAX_REQUESTS && self.running <= MAX_REQUESTS && self.wanted <= MAX_REQUESTS
    }
}

/// What a host grants a VM at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The requests that the VM may have there.
    #[serde(rename = "a")]
    pub allowance: u32,
    /// Whether it may replace those that end. Otherwise there are more than there is room for, or others wait for their equal
    /// part, and each end lowers the allowance.
    #[serde(rename = "k")]
    pub keeps: bool,
}
