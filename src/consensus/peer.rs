//! The leader's view of another member, for status dumps and membership decisions.

use std::time::Duration;

use serde::Serialize;

use super::Mode;
use super::Role;
use crate::id;
use crate::unit::Index;

/// A member as seen by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Its identity.
    pub id: id::Replica,
    /// Its role.
    pub role: Role,
    /// The last index it is known to have persisted.
    pub matched: Index,
    /// Whether it responds and its log is nearly up to date.
    #[serde(rename = "in_touch")]
    pub responsive: bool,
    /// Time since its last response in this leader's term.
    pub silence: Duration,
    /// How its log is replicated.
    pub mode: Mode,
    /// Whether it reported that it holds data; none until it responds.
    pub holds_data: Option<bool>,
}
