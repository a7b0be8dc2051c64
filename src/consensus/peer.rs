//! What a leader knows of another member, for dumps and for those who decide on members.

use std::time::Duration;

use serde::Serialize;

use super::Role;
use crate::id;
use crate::unit::Index;

/// Another member as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Its identity.
    pub id: id::Replica,
    /// Its role.
    pub role: Role,
    /// The last entry that it is known to hold, synced.
    pub matched: Index,
    /// Whether the leader counts on it: it answers, and holds nearly all.
    pub in_touch: bool,
    /// How long nothing was heard from it, in this leader's term.
    pub silence: Duration,
}
