//! What a group agrees on.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::catalogue;
use crate::catalogue::Catalogue;
use crate::ledger;
use crate::ledger::Ledger;

/// A deterministic state machine: the same commands in the same order give the same state on each replica.
///
/// Its serialised form is the snapshot.
pub trait Machine: Default + Serialize + DeserializeOwned + Send + 'static {
    /// What goes through the log.
    type Command: Serialize + DeserializeOwned + Send + 'static;
    /// What a command comes to.
    type Reply: Send + 'static;

    /// Carries a committed command out.
    fn apply(&mut self, command: &Self::Command) -> Self::Reply;

    /// The command that tells the machine that time has passed on the leader's clock.
    fn advance(elapsed: Duration) -> Self::Command;
}

impl Machine for Catalogue {
    type Command = catalogue::Command;
    type Reply = catalogue::Reply;

    fn apply(&mut self, command: &Self::Command) -> Self::Reply {
        Self::apply(self, command)
    }

    fn advance(elapsed: Duration) -> Self::Command {
        catalogue::Command::Advance { elapsed }
    }
}

impl Machine for Ledger {
    type Command = ledger::Command;
    type Reply = ledger::Reply;

    fn apply(&mut self, command: &Self::Command) -> Self::Reply {
        Self::apply(self, command)
    }

    fn advance(elapsed: Duration) -> Self::Command {
        ledger::Command::Advance { elapsed }
    }
}
