//! Heartbeats: compact renewals of unchanged records.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Renews a record that the receiver already has.
///
/// Thousands of upstreams check in every second; relaying a digest instead of each unchanged record saves control VMs
/// megabytes of traffic a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Heartbeat {
    /// The digest of the record without its sequence number. A receiver that does not know it requests the full record.
    pub digest: u64,
    /// The sequence number of the latest record.
    pub sequence: u64,
}

impl From<(u64, u64)> for Heartbeat {
    fn from((digest, sequence): (u64, u64)) -> Self {
        Self { digest, sequence }
    }
}

impl From<Heartbeat> for (u64, u64) {
    fn from(heartbeat: Heartbeat) -> Self {
        (heartbeat.digest, heartbeat.sequence)
    }
}

/// Hashes the CBOR encoding of a record's fields.
pub(super) fn digest(record: &impl Serialize) -> u64 {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(record, &mut bytes).expect("writing to memory does not fail");
    xxh3_64(&bytes)
}
