//! What a ledger's command came to.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Answer;
use super::Outcome;
use crate::id;
use crate::unit::Version;

/// The answer to a command of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The attempt may run, and no other will.
    Granted,
    /// Another attempt has the key: join it at this VM.
    Running {
        /// The VM that runs it.
        vm: id::Vm,
        /// The attempt that runs.
        attempt: id::Attempt,
    },
    /// The request ran and ended.
    Finished {
        /// How it ended.
        outcome: Outcome,
        /// Its whole answer, if that is still kept.
        answer: Option<Arc<Answer>>,
    },
    /// The request was started, and its VM was lost: whether it ran can't be told, and it never runs again.
    Unknown,
    /// The key was used with another body or entry.
    Mismatch,
    /// The attempt will not be granted, now or later, and no other attempt has the key: nothing ran.
    Withdrawn,
    /// The asking VM was given up as gone, in this incarnation, and may start nothing.
    Abandoned,
    /// This region is the entry's home no more, or not by that version: fetch the catalogue.
    Moved {
        /// The least version that a start must name.
        home_since: Version,
    },
    /// The key has never been started here, or was forgotten.
    Absent,
    /// The command is carried out.
    Done,
    /// The attempt doesn't hold the key (any more), so there is nothing to be done for it.
    Stale,
}
