//! Which of two writes to one key is the newer.

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Incarnation;

/// The count of writes to one key within one incarnation of its writer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// That many writes.
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// The bare number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The one that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// The place of a write in the order of all writes to its key; the highest wins on every VM.
///
/// The order of the fields is the order of comparison. `gone` stands before `version`: a leave beats
/// every announcement of the same incarnation, also one that was written later but overtaken on its
/// way; only a new incarnation comes back. `suspected` stands after it: the suspicion of a VM, or an
/// announcement that ran out, is refuted by any newer write. No clock is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The start count of the VM or upstream that the fact is about.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Whether it has left or was declared gone.
    #[serde(rename = "g")]
    pub gone: bool,
    /// The write within the incarnation.
    #[serde(rename = "n")]
    pub version: Version,
    /// Whether it is suspected.
    #[serde(rename = "s")]
    pub suspected: bool,
    /// A digest of the content, which makes all VMs choose the same of two equal versions.
    #[serde(rename = "d")]
    pub content: u32,
}
