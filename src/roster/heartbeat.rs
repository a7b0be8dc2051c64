//! A subject is still there and as it was.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Renews a statement that the receiver has, in a few bytes.
///
/// Failure: thousands of upstreams say once a second that they are there. If each were passed on as a whole statement,
/// control VMs would send and decode megabytes a second in which nothing is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Heartbeat {
    /// Names the subject, its start and all that it says of itself. Who has another statement of it does not know this one,
    /// and asks for the whole.
    pub digest: u64,
    /// The sequence of the newest statement.
    pub sequence: u64,
}

impl From<(u64, u64)> for Heartbeat {
    fn from((digest, sequence): (u64, u64)) -> Self {
        Self { digest, sequence }
    }
}

impl From<Heartbeat> for (u64, u64) {
    fn from(alive: Heartbeat) -> Self {
        (alive.digest, alive.sequence)
    }
}

/// A digest of all that a statement says.
pub(super) fn digest(said: &impl Serialize) -> u64 {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(said, &mut bytes).expect("writing to memory does not fail");
    xxh3_64(&bytes)
}
