//! What a member wants done or known.

use super::key::Key;
use super::message::Message;
use crate::id;

/// What has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A VM of the region is now alive, or no longer.
    Alive {
        /// Which one.
        vm: id::Vm,
        /// Whether it is alive now.
        alive: bool,
    },
    /// There is a newer fact about this key.
    Fact(Key),
    /// This VM was declared gone, or was restarted, and has taken a new incarnation.
    Reincarnated,
}

/// What a member wants done or known.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: id::Vm,
        /// What.
        message: Message,
    },
    /// Something has changed.
    Changed(Change),
}
