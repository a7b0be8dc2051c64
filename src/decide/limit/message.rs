//! Messages between a VM and an entry's coordinator.

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Limits;
use crate::id;

/// A VM's demand for a share of an entry's limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The entry.
    pub entry: id::Entry,
    /// The demanding VM.
    pub vm: id::Vm,
    /// Sequence number, repeated in the grant.
    pub seq: u64,
    /// Sequence number of the last grant received, or 0.
    pub taken: u64,
    /// The measured demand, including refused requests.
    pub wanted: Limits,
    /// The share in use.
    pub held: Limits,
    /// Requests in progress.
    pub running: u32,
}

/// A lease of a share, valid until [`GRANT_TTL`](super::GRANT_TTL) after the demand was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The entry.
    pub entry: id::Entry,
    /// The sequence number of the demand.
    pub seq: u64,
    /// The share granted.
    pub share: Limits,
}
