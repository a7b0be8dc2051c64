//! Inputs of a replica.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::Change;
use super::Message;
use super::Snapshot;
use crate::id;
use crate::unit::Index;
use crate::unit::Sequence;

/// Identifies a proposal, read or change in the outputs that answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

impl Token {
    /// Creates a token from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// An input of [`Replica::step`](super::Replica::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Due at [`Replica::deadline`](super::Replica::deadline) at the latest.
    Tick,
    /// A message arrived. The driver has verified its sender and that it is addressed to this
    /// replica.
    Receive {
        /// The sender.
        from: id::Replica,
        /// The message.
        message: Message,
    },
    /// Propose a command.
    Propose {
        /// The command.
        data: Bytes,
        /// Identifies the request.
        token: Token,
    },
    /// Request a linearizable read: the index up to which the state machine must be applied.
    Read {
        /// Identifies the request.
        token: Token,
    },
    /// Change a member.
    Change {
        /// The change.
        change: Change,
        /// Identifies the request.
        token: Token,
    },
    /// All writes up to this one are persisted.
    Persisted {
        /// The last persisted write.
        sequence: Sequence,
    },
    /// The driver has persisted a snapshot of the state machine.
    SnapshotTaken {
        /// The last entry it covers, which must be applied already.
        index: Index,
    },
    /// The driver has fetched, persisted and loaded the offered snapshot or a later one.
    SnapshotInstalled {
        /// The position and members of the snapshot.
        snapshot: Snapshot,
    },
    /// A snapshot could not be fetched, stored or taken. It may be requested again.
    SnapshotFailed,
    /// Transfer the leadership, for example before a graceful stop.
    Transfer {
        /// The new leader; `None` selects the responsive voter with the longest log.
        to: Option<id::Replica>,
    },
    /// A voter is about to stop: a caught-up learner is promoted in its place, and it is removed.
    Release {
        /// The voter.
        id: id::Replica,
    },
    /// Where replicas are; voters are spread over regions.
    Regions(BTreeMap<id::Replica, id::Region>),
}
