//! Versions of the records of one process.

use serde::Deserialize;
use serde::Serialize;

/// Orders the records of one process, by its start time and then by sequence number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// When the process started, in milliseconds of its own clock since the Unix epoch.
    #[serde(rename = "b", alias = "born")]
    pub start_time_ms: u64,
    /// The number of records published since the start.
    #[serde(rename = "q", alias = "sequence")]
    pub sequence: u64,
}

impl Stamp {
    /// Creates a stamp.
    pub const fn new(start_time_ms: u64, sequence: u64) -> Self {
        Self { start_time_ms, sequence }
    }

    /// The highest stamp of a process start: no later record of that start supersedes it.
    pub const fn last_of(start_time_ms: u64) -> Self {
        Self { start_time_ms, sequence: u64::MAX }
    }
}
