//! The order of what one process says of itself.

use serde::Deserialize;
use serde::Serialize;

/// Orders the statements of one process: those of a later start are newer, and within a start the sequence decides.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// When the process started, in milliseconds of its own clock since the Unix epoch.
    #[serde(rename = "b", alias = "born")]
    pub born: u64,
    /// Counts its statements since then.
    #[serde(rename = "q", alias = "sequence")]
    pub sequence: u64,
}

impl Stamp {
    /// The stamp of that statement of that start.
    pub const fn new(born: u64, sequence: u64) -> Self {
        Self { born, sequence }
    }

    /// A stamp that no statement of the same start overtakes.
    pub const fn last_of(born: u64) -> Self {
        Self { born, sequence: u64::MAX }
    }
}
