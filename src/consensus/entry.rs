//! Entries of the replicated log.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::Members;
use crate::unit::Index;
use crate::unit::Term;

/// Estimated memory for an entry besides its data.
const OVERHEAD_BYTES: usize = 48;

/// The index of an entry and the term in which it was appended. Ordered by term and then by index,
/// as elections compare logs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

impl Position {
    /// Creates a position.
    pub const fn new(index: Index, term: Term) -> Self {
        Self { term, index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.index, self.term)
    }
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No-op: the first entry of a leader's term, which commits the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Data(Bytes),
    /// The members of the group from this entry on.
    Members(Members),
    /// Placeholder for data that is not sent to a witness.
    Withheld,
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The index and the term.
    pub position: Position,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// An entry at a position.
    pub const fn new(position: Position, payload: Payload) -> Self {
        Self { position, payload }
    }

    /// The index of the entry.
    pub const fn index(&self) -> Index {
        self.position.index
    }

    /// The term of the entry.
    pub const fn term(&self) -> Term {
        self.position.term
    }

    /// The approximate size of the entry in memory.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Data(data) => OVERHEAD_BYTES + data.len(),
            Payload::Empty | Payload::Members(_) | Payload::Withheld => OVERHEAD_BYTES,
        }
    }

    /// The entry as sent to a witness, with its position and members but no data.
    #[must_use]
    pub fn without_data(&self) -> Self {
        let payload = match &self.payload {
            Payload::Data(_) => Payload::Withheld,
            other => other.clone(),
        };
        Self { position: self.position, payload }
    }
}
