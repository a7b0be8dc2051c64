//! What goes through the catalogue group's log, and what comes of it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Change;
use super::Invalid;
use super::Record;
use crate::unit::Milliseconds;
use crate::unit::Version;

/// A command of the catalogue's log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// An operator's change.
    Change(Change),
    /// So much time has passed on the leader's clock since it led, or since its last `Advance`.
    Advance {
        /// The time that passed; only ever added up, so no two VMs' clocks are compared.
        #[serde_as(as = "Milliseconds")]
        elapsed: Duration,
    },
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change is accepted, and the entry has this version now.
    Accepted {
        /// The entry's new version, which is also the catalogue's.
        version: Version,
    },
    /// Another change came first (HTTP 409): this is the entry as it stood, or `None` if it never existed.
    Conflict {
        /// The winner.
        winner: Option<Record>,
    },
    /// The operation's number was used for another change before.
    Reused,
    /// The change can't be accepted at all.
    Invalid(Invalid),
    /// The time is taken note of.
    Advanced,
}
