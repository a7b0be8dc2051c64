//! Why a group doesn't answer, and why a driver ended.

use thiserror::Error;

use crate::consensus::Refusal;
use crate::store;
use crate::unit::Index;

/// Why a command, read or change got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// Refused: it isn't in the log and never will be. `NotLeader` tells whom to ask.
    #[error("refused: {0}")]
    Refused(#[from] Refusal),
    /// Another leader's entry took its place: it isn't in the log and never will be.
    #[error("overtaken by another leader")]
    Overtaken,
    /// The driver has ended; it took nothing of this.
    #[error("this replica has stopped")]
    Stopped,
    /// It may or may not be carried out, now or later. A ledger's `Start` must be withdrawn before anybody is told
    /// that nothing ran.
    #[error("the outcome is unknown")]
    Unknown,
}

impl Error {
    /// Whether it is sure that nothing was carried out or will be.
    pub const fn is_final(&self) -> bool {
        !matches!(self, Self::Unknown)
    }
}

/// Why a driver ended. Its process should start anew: nothing more is acknowledged by this one.
#[derive(Debug, Error)]
pub enum Stopped {
    /// The files can't be written.
    #[error("store: {0}")]
    Store(#[from] store::Error),
    /// A snapshot or committed command can't be decoded: another version wrote it. To skip it would make this
    /// replica differ from the others for good.
    #[error(
        "the content at {0} can't be decoded; is this version older than the one that wrote it?"
    )]
    Undecodable(Index),
    /// A blocking task panicked.
    #[error("a task of the store ended early: {0}")]
    Task(#[from] tokio::task::JoinError),
}
