//! What a VM and an entry's home tell each other.

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Limits;
use crate::id;

/// What a VM needs of an entry's limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The entry.
    pub entry: id::Entry,
    /// The VM that asks.
    pub vm: id::Vm,
    /// The number of this message; the grant repeats it.
    pub seq: u64,
    /// The number of the last grant that the VM took in; 0 for none.
    pub taken: u64,
    /// What callers ask this VM for, refused requests included.
    pub wanted: Limits,
    /// What the VM may use now.
    pub held: Limits,
    /// Requests in progress.
    pub running: u32,
}

/// What a VM may use until [`TTL`](super::TTL) after it sent the demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The entry.
    pub entry: id::Entry,
    /// The number of the demand.
    pub seq: u64,
    /// The part of the limits that is leased.
    pub share: Limits,
}
