//! Errors of a replica.

use serde::Serialize;
use thiserror::Error;

use super::Position;
use crate::id;

/// Persisted state that is incomplete or inconsistent, so that a replica must not start from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// Entries are missing from the log.
    #[error("the log has a gap after entry {after}")]
    Gap {
        /// The last entry before the gap.
        after: Position,
    },
    /// The term decreases from one entry to the next.
    #[error("the term decreases at entry {at}")]
    DecreasingTerm {
        /// The entry with the lower term.
        at: Position,
    },
    /// The persisted term is lower than that of a log entry.
    #[error("the persisted term is lower than that of entry {at}")]
    StaleHardState {
        /// The entry with the higher term.
        at: Position,
    },
}

/// A refused proposal, read, change or transfer. It has not been appended and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This replica is not the leader.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The current leader, if known.
        leader: Option<id::Replica>,
    },
    /// The log has reached its size limit; the caller should retry later.
    #[error("the log has reached its size limit; retry later")]
    LogFull,
    /// A leadership transfer is in progress.
    #[error("a leadership transfer is in progress")]
    TransferInProgress,
    /// The leader has not committed an entry of its term yet.
    #[error("the leader has not committed an entry of its term yet")]
    NotReady,
    /// The previous membership change is not committed yet.
    #[error("another membership change is not committed yet")]
    ChangePending,
    /// The learner lacks committed entries or does not respond.
    #[error("the learner is not caught up")]
    NotCaughtUp,
    /// No majority of the new members is responsive.
    #[error("no majority of the new members is responsive")]
    NoMajority,
    /// The group already has a witness.
    #[error("the group already has a witness")]
    WitnessExists,
    /// The change does not apply to the given replica.
    #[error("the change does not apply to this replica")]
    InvalidTarget,
}
