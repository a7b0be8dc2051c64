//! Load digests exchanged between regions.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::id;
use crate::unit::Milliseconds;
use crate::unit::Slots;

/// The load of a region by model. It holds no request data, so it may leave the region.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The region described.
    pub region: id::Region,
    /// Sequence number; digests older than the last one are dropped.
    pub sequence: u64,
    /// Capacity and load by model or service.
    pub room: BTreeMap<id::Model, Room>,
    /// The digest's age; forwarders add the time for which they held it.
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
}

/// The capacity and load of a region for one model or service.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Slots of all its upstreams.
    pub capacity: Slots,
    /// Free slots.
    pub free: Slots,
    /// The queueing delay of a new request.
    #[serde_as(as = "Milliseconds")]
    pub wait: Duration,
}
