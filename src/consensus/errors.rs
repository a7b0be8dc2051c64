//! Why a replica refuses what it was asked. A refusal is final: nothing of it was appended.

use thiserror::Error;

use super::Position;
use crate::id;

/// Durable state that no replica may start from: parts of it are missing or from elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Broken {
    /// Entries are missing.
    #[error("the log has a gap after {after}")]
    Gap {
        /// The last entry before it.
        after: Position,
    },
    /// Terms fall from one entry to the next.
    #[error("the term falls at {at}")]
    Term {
        /// The entry with the lower term.
        at: Position,
    },
    /// The log has entries of a term that the replica says it never entered.
    #[error("the term on record is lower than that of {at}")]
    HardState {
        /// The entry with the higher term.
        at: Position,
    },
}

/// A refused proposal, read, change or transfer. Nothing of it is in the log or will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Another replica leads, or none that this one knows of.
    #[error("this replica does not lead")]
    NotLeader {
        /// Whom to ask instead.
        leader: Option<id::Replica>,
    },
    /// The log holds as much as it may; the caller should come back later.
    #[error("the log is full until a snapshot is taken or entries are committed")]
    Full,
    /// The leader is handing over and takes nothing more.
    #[error("the leader is handing over")]
    HandingOver,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has committed no entry of its term yet")]
    NotReady,
    /// The last change of members is not committed yet.
    #[error("another change of members is not committed yet")]
    ChangePending,
    /// The learner lacks committed entries or was not heard of.
    #[error("the learner is not caught up")]
    NotCaughtUp,
    /// The members after the change would have no majority that was heard of.
    #[error("no majority would remain in touch")]
    NoMajority,
    /// A group has one witness at most.
    #[error("the group has a witness already")]
    SecondWitness,
    /// The change or transfer names a replica that doesn't suit it.
    #[error("the replica named does not suit")]
    Unsuitable,
}
