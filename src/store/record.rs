//! Records in the log's frames.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Corruption;
use crate::consensus::Entry;
use crate::consensus::HardState;
use crate::consensus::Persist;
use crate::consensus::Snapshot;
use crate::id;
use crate::unit::Index;

/// The first frame of a segment: the state left by earlier segments, so that these can be removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The replica that the log belongs to.
    pub id: id::Replica,
    /// The segment's number.
    pub number: u64,
    /// The term and vote when the segment was created.
    pub hard: HardState,
    /// The snapshot that the log follows.
    #[serde(rename = "floor")]
    pub base: Snapshot,
}

/// A change of the log; each frame after the header holds a list of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A new term and vote.
    Hard(HardState),
    /// Discard all entries; the log follows this snapshot.
    Reset(Snapshot),
    /// Discard the entries from this index on.
    Truncate(Index),
    /// Append entries.
    Entries(Vec<Entry>),
}

impl Record {
    /// The records of one write, in the order in which they apply.
    pub fn from_write(persist: &Persist) -> Vec<Self> {
        let mut records = Vec::new();
        records.extend(persist.hard.map(Self::Hard));
        records.extend(persist.reset.clone().map(Self::Reset));
        records.extend(persist.truncate.map(Self::Truncate));
        if !persist.entries.is_empty() {
            records.push(Self::Entries(persist.entries.clone()));
        }
        records
    }

    /// The highest index in this record, zero if it has no entries.
    pub fn last_index(&self) -> Index {
        match self {
            Self::Entries(entries) => entries.last().map_or(Index::ZERO, Entry::index),
            Self::Hard(_) | Self::Reset(_) | Self::Truncate(_) => Index::ZERO,
        }
    }
}

pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoding to memory does not fail");
    bytes
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Corruption> {
    ciborium::from_reader(bytes).map_err(|_| Corruption::Encoding)
}
