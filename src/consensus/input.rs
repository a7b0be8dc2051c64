//! What a driver tells its replica.

use bytes::Bytes;

use super::Change;
use super::Message;
use super::Snapshot;
use crate::id;
use crate::unit::Index;
use crate::unit::Sequence;

/// A number by which the driver knows its proposal, read or change again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

impl Token {
    /// A token of that number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// One input of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; due at [`Replica::deadline`](super::Replica::deadline) at the latest.
    Tick,
    /// A message came. The driver has checked that it is from that identity and meant for this one.
    Receive {
        /// Whom it is from.
        from: id::Replica,
        /// The message.
        message: Message,
    },
    /// Append a command.
    Propose {
        /// The command.
        data: Bytes,
        /// The driver's number for it.
        token: Token,
    },
    /// Asks up to where the state machine must be applied so that a read sees all that was committed before it.
    Read {
        /// The driver's number for it.
        token: Token,
    },
    /// Change one member.
    Change {
        /// The change.
        change: Change,
        /// The driver's number for it.
        token: Token,
    },
    /// All writes up to this one are synced.
    Persisted {
        /// The last synced write.
        sequence: Sequence,
    },
    /// The driver holds a synced snapshot of the state machine after that entry.
    SnapshotTaken {
        /// The last entry that it covers; applied already.
        index: Index,
    },
    /// The driver has fetched, synced and loaded a snapshot (the one offered or a later one).
    SnapshotInstalled {
        /// What it stands for.
        snapshot: Snapshot,
    },
    /// The snapshot offered could not be fetched or stored, or the one due not be taken; either may be asked for again.
    SnapshotFailed,
    /// Hand over the leadership, as before a graceful stop.
    Transfer {
        /// To whom; without it, to the voter whose log is longest.
        to: Option<id::Replica>,
    },
}
