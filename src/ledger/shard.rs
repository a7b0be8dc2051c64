//! Which of a region's ledgers holds an owner's keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::id;

/// The number of one of a region's ledgers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(u32);

impl Shard {
    /// The ledger of an owner among so many; with none there is still the first.
    ///
    /// Jump consistent hash: a region that grows from n to n + 1 ledgers moves one owner in n + 1, all of them to
    /// the new ledger. For these the old ledger is a past home, which is fenced and asked before any start.
    pub fn of(owner: &id::Owner, count: u32) -> Self {
        let mut hash = xxh3_64(owner.as_str().as_bytes());
        let mut chosen = 0;
        let mut next = 0;
        while next < u64::from(count.max(1)) {
            chosen = next;
            hash = hash.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
            next = jump(chosen, hash);
        }
        Self(u32::try_from(chosen).unwrap_or(u32::MAX))
    }

    /// The number, counted from zero.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// The next count of ledgers at which the owner would move, by the published formula.
fn jump(from: u64, hash: u64) -> u64 {
    const SCALE: u64 = 1 << 31;
    let draw = (hash >> 33) + 1;
    (from + 1).saturating_mul(SCALE) / draw
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
