//! A short name for one start of an upstream.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::SHARDS;
use crate::id;

/// One start of an upstream. Another start has another key, so what was known of the one before is never taken for it.
///
/// Four bytes name it in each message; of the some hundred upstreams of a region, two share a key once in a million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u32);

impl Key {
    /// The key of that start.
    pub fn new(upstream: &id::Upstream, born: u64) -> Self {
        Self(xxh3_64_with_seed(upstream.as_str().as_bytes(), born) as u32)
    }

    /// The shard that it belongs to.
    pub const fn shard(self) -> u8 {
        (self.0 % SHARDS as u32) as u8
    }
}
