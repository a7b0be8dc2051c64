//! What the control group agrees on.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::Document;
use crate::group::Machine;
use crate::id;
use crate::unit::Version;

/// Changes that followers may hold beyond the copy that a group counts on from. Copies are written after a change was spread.
const CONTINUE_GAP: u64 = 1_000;

/// A document together with the text in which the operator handed it in, which is what a read gives back.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The document.
    pub document: Arc<Document>,
    /// The operator's own text.
    pub source: Arc<str>,
}

/// Leaves the operator's text out, which holds the keys of callers.
impl fmt::Debug for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Accepted").field("document", &self.document).finish_non_exhaustive()
    }
}

/// A command of the group's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Take a document in force, unless its number is not higher than the present one's.
    Replace(Accepted),
    /// Send nothing to the upstreams of a data centre.
    Evacuate(id::DataCentre),
    /// Use the upstreams of a data centre again.
    Restore(id::DataCentre),
    /// Time has passed; nothing here depends on it.
    Advance,
    /// Count on from a copy that a group before this one has left.
    Continue {
        /// The state's number in the copy.
        revision: Version,
        /// The data centres that got nothing.
        evacuated: BTreeSet<id::DataCentre>,
    },
}

/// The document in force and the evacuated data centres.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    accepted: Option<Accepted>,
    evacuated: BTreeSet<id::DataCentre>,
    /// Counts the changes, so that followers can tell a newer state from an older one.
    revision: Version,
}

/// A copy of the state for those that carry requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replicated {
    /// The state's number: a copy never goes back to a lower one.
    pub revision: Version,
    /// The document, once there is one.
    pub document: Option<Arc<Document>>,
    /// The data centres that get nothing.
    pub evacuated: BTreeSet<id::DataCentre>,
}

impl Replicated {
    /// Encodes the copy, so that one encoding serves all followers.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        Bytes::from(bytes)
    }

    /// Decodes a copy.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        ciborium::from_reader(bytes)
    }
}

impl State {
    /// Counts the changes.
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// The document's number; zero without one.
    pub fn version(&self) -> Version {
        self.accepted.as_ref().map_or(Version::ZERO, |accepted| accepted.document.version)
    }

    /// The operator's text of the document in force.
    pub fn source(&self) -> Option<Arc<str>> {
        self.accepted.as_ref().map(|accepted| accepted.source.clone())
    }

    /// Whether a copy is of a group before this one. Its holders ignore this state's changes until they count on from it.
    ///
    /// Without a document there is nothing that they should take.
    pub fn is_behind(&self, copy: &Replicated) -> bool {
        let Some(accepted) = &self.accepted else { return false };
        let is_other = |held: &Arc<Document>| {
            !Arc::ptr_eq(held, &accepted.document) && *held != accepted.document
        };
        copy.revision > self.revision
            || copy.revision == self.revision && copy.document.as_ref().is_some_and(is_other)
    }

    /// A copy for followers.
    pub fn replicated(&self) -> Replicated {
        Replicated {
            revision: self.revision,
            document: self.accepted.as_ref().map(|accepted| accepted.document.clone()),
            evacuated: self.evacuated.clone(),
        }
    }
}

impl Machine for State {
    type Command = Command;
    /// The document's number in force after the command.
    type Reply = Version;

    fn apply(&mut self, command: &Command) -> Version {
        let changed = match command {
            // Failure: an older change that was resent, or the loser of a race between two operators, replaces a
            // newer one, and callers are sent back to services that were taken away. Numbers only grow.
            Command::Replace(accepted) if accepted.document.version > self.version() => {
                self.accepted = Some(accepted.clone());
                true
            }
            Command::Replace(_) | Command::Advance => false,
            Command::Evacuate(data_centre) => self.evacuated.insert(data_centre.clone()),
            Command::Restore(data_centre) => self.evacuated.remove(data_centre),
            Command::Continue { revision, evacuated } => {
                let counts_on = self.accepted.is_some() && *revision >= self.revision;
                if counts_on {
                    self.revision = Version::new(revision.get() + CONTINUE_GAP);
                    self.evacuated.extend(evacuated.iter().cloned());
                }
                counts_on
            }
        };
        if changed {
            self.revision = self.revision.next();
        }
        self.version()
    }

    fn advance(_: Duration) -> Command {
        Command::Advance
    }
}

#[cfg(test)]
mod tests;
