//! One change of the catalogue, as an operator asks for it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use super::Home;
use super::Invalid;
use super::Repeat;
use crate::id;
use crate::unit::Version;

/// An edit of one entry that replaces a named version of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Names the operation over resends: the same operation gets its first answer again.
    pub operation: id::Operation,
    /// The entry's version that the operator saw; zero for a name that was never used.
    pub replaces: Version,
    /// What is to be done.
    pub edit: Edit,
}

/// What a change does to one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Create the entry or replace it whole.
    Put(Arc<Entry>),
    /// Remove the entry of that name.
    Delete(id::Entry),
}

impl Change {
    /// An edit under that operation, which replaces that version of the entry.
    pub const fn new(operation: id::Operation, replaces: Version, edit: Edit) -> Self {
        Self { operation, replaces, edit }
    }
}

impl Edit {
    /// The name of the entry that is edited.
    pub fn name(&self) -> &id::Entry {
        match self {
            Self::Put(entry) => &entry.name,
            Self::Delete(name) => name,
        }
    }

    /// The entry's content afterwards.
    pub(super) fn content(&self) -> Option<&Arc<Entry>> {
        match self {
            Self::Put(entry) => Some(entry),
            Self::Delete(_) => None,
        }
    }

    /// Refuses content that the system couldn't keep its promises for.
    pub(super) fn check(&self) -> Result<(), Invalid> {
        match self {
            // Failure: such a request resent to another region would be claimed in another ledger, and run twice.
            // With one home region there is one ledger that decides.
            Self::Put(entry) if entry.repeat == Repeat::Never && entry.home == Home::Anywhere => {
                Err(Invalid::HomeMissing)
            }
            _ => Ok(()),
        }
    }
}
