//! What the replicas of a group send each other.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::consensus;
use crate::consensus::Snapshot;
use crate::unit::Index;

/// A message from one replica's driver to another's. Any of them may be lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Of the protocol.
    Consensus(consensus::Message),
    /// Asks for a piece of the snapshot.
    Fetch {
        /// The least index that the snapshot must cover.
        index: Index,
        /// Where the piece begins.
        offset: u64,
    },
    /// A piece of the snapshot.
    Chunk(Chunk),
}

/// A piece of a snapshot; pieces are small, so that heartbeats on the same link never wait long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// What the whole stands for.
    pub snapshot: Snapshot,
    /// Where the piece begins.
    pub offset: u64,
    /// The length of the whole.
    pub total: u64,
    /// The piece.
    pub data: Bytes,
}
