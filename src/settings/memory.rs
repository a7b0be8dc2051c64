//! The memory of a process, and how much of it bodies may take up.

use super::Section;
use super::Size;
use crate::unit::Bytes;

/// Used where the settings don't say how much memory the process has.
const DEFAULT_MEMORY: Bytes = Bytes::new(256 << 20);
/// The least memory with which a daemon runs.
const MIN_MEMORY: Bytes = Bytes::new(32 << 20);
/// The part of the memory that bodies may take up. The rest is for connections and for what the process knows.
const BODIES_DIVISOR: u64 = 4;

/// The memory that the process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory(Bytes);

impl Memory {
    /// Reads the key `memory`.
    pub(super) fn read(top: &Section<'_>) -> Option<Self> {
        let Size(memory) = top.or("memory", Size(DEFAULT_MEMORY))?;
        if memory < MIN_MEMORY {
            top.note("memory", format!("must be {} or more", Size(MIN_MEMORY)));
            return None;
        }
        Some(Self(memory))
    }

    /// The bytes that the bodies of all requests and answers may take up together.
    pub const fn bodies(self) -> Bytes {
        Bytes::new(self.0.get() / BODIES_DIVISOR)
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self(DEFAULT_MEMORY)
    }
}
