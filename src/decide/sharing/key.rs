//! Compact identifier of an upstream instance.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::SHARDS;
use crate::id;

/// Hash of an upstream's name and start. A restarted upstream has a different key, so state of the
/// previous instance isn't applied to it.
///
/// With a few hundred upstreams in a region, a collision is about a one in a million chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u32);

impl Key {
    /// The key of the instance that started at `start`.
    pub fn new(upstream: &id::Upstream, start: u64) -> Self {
        Self(xxh3_64_with_seed(upstream.as_str().as_bytes(), start) as u32)
    }

    /// The hash.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The shard of the upstream.
    pub const fn shard(self) -> u8 {
        (self.0 % SHARDS as u32) as u8
    }
}
