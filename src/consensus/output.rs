//! Outputs of a replica.

use super::Entry;
use super::HardState;
use super::Members;
use super::Message;
use super::Position;
use super::Refusal;
use super::Snapshot;
use super::Token;
use crate::id;
use crate::unit::Index;
use crate::unit::Sequence;
use crate::unit::Term;

/// A write, applied in the order of its fields. The driver confirms it with
/// [`Input::Persisted`](super::Input::Persisted).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Persist {
    /// The sequence number of the write.
    pub sequence: Sequence,
    /// The new term and vote.
    pub hard: Option<HardState>,
    /// Discard the log and restart it after this snapshot.
    pub reset: Option<Snapshot>,
    /// Discard all entries from this index on.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

/// An action for the driver; the outputs of a step are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write and sync. Later outputs need not wait for it: the replica delays those that depend on
    /// it.
    Persist(Persist),
    /// Send a message; delivery is not guaranteed.
    Send {
        /// The recipient.
        to: id::Replica,
        /// The message.
        message: Message,
    },
    /// Apply committed entries to the state machine. Each index is emitted once, in order.
    Apply(Vec<Entry>),
    /// A proposal or change was appended. It succeeds once the entry at this position is applied,
    /// and has failed if an entry of another term is applied at its index.
    Appended {
        /// Identifies the request.
        token: Token,
        /// The position of its entry.
        position: Position,
    },
    /// A proposal, read or change was refused; nothing of it was or will be appended.
    Rejected {
        /// Identifies the request.
        token: Token,
        /// The reason.
        refusal: Refusal,
    },
    /// The state machine, with all outputs so far applied, may serve the read.
    ReadReady {
        /// Identifies the request.
        token: Token,
        /// The minimum applied index for the read.
        index: Index,
    },
    /// Fetch, persist and load the leader's snapshot, then report it.
    InstallSnapshot {
        /// The replica to fetch it from.
        from: id::Replica,
        /// The snapshot offered; a later one may be installed instead.
        snapshot: Snapshot,
    },
    /// A snapshot is due at this applied index.
    SnapshotDue {
        /// The index.
        index: Index,
    },
    /// Entries up to this index are covered by the snapshot and may be deleted from disk.
    Compact {
        /// The last of them.
        through: Index,
    },
    /// This replica became leader.
    BecameLeader {
        /// The term it leads.
        term: Term,
    },
    /// This replica is no longer leader; the outcome of entries it appended and has not applied is
    /// unknown.
    SteppedDown {
        /// The current term.
        term: Term,
    },
    /// The known leader changed.
    LeaderChanged {
        /// The leader.
        leader: Option<id::Replica>,
    },
    /// The members changed; the change may not be committed yet.
    MembersChanged(Members),
}
