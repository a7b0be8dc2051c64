//! What VMs tell each other of engines' caches.

use serde::Deserialize;
use serde::Serialize;

use super::MAX_PARTS;
use crate::decide::sharing::Cursor;
use crate::decide::sharing::Key;

/// The changes in a message at most.
const MAX_CHANGES: usize = 256;

/// Encoded bytes of a change without its parts, of a part that is held, and of one that is not.
const CHANGE_BYTES: usize = 26;
const ADDED_BYTES: usize = 13;
const REMOVED_BYTES: usize = 9;

/// A difference between two states of an engine's cache, or its whole state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: Key,
    /// Identifies the start of the engine and of the VM that asks it.
    #[serde(rename = "b")]
    pub epoch: u32,
    /// The number of the change within the epoch; a missing one is a gap.
    #[serde(rename = "n")]
    pub position: u64,
    /// Whether it states all parts that the engine holds.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_whole: bool,
    /// Whether what was stated is in doubt, until a whole state follows.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_doubted: bool,
    /// Parts that the engine holds, with their tokens.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<(u64, u32)>,
    /// Parts that it holds no longer.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<u64>,
}

impl Change {
    /// Returns the encoded size, apart from a few bytes.
    pub fn bytes(&self) -> usize {
        CHANGE_BYTES + ADDED_BYTES * self.added.len() + REMOVED_BYTES * self.removed.len()
    }
}

/// The changes in an update or a summary.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The position in the host's log: up to which changes are known (update) or contained (summary).
    #[serde(rename = "k")]
    pub known: Cursor,
    /// The changes.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Exchange {
    /// Returns whether the contents make sense for a shard.
    pub fn is_valid(&self, shard: u8) -> bool {
        let is_here = |change: &Change| change.engine.shard() == shard;
        let is_bounded =
            |change: &Change| change.added.len() + change.removed.len() <= 2 * MAX_PARTS;
        self.changes.len() <= MAX_CHANGES
            && self.changes.iter().all(|change| is_here(change) && is_bounded(change))
    }
}
