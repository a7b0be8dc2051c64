//! What a replica tells of itself, for the state dump and for those who wait for progress.

use std::time::Duration;

use serde::Serialize;
use serde_with::serde_as;

use super::Fetches;
use super::Refusals;
use crate::consensus::Members;
use crate::consensus::Phase;
use crate::consensus::Position;
use crate::consensus::Repairs;
use crate::id;
use crate::unit::Index;
use crate::unit::Milliseconds;
use crate::unit::Term;

/// Where a replica stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Its identity.
    pub id: id::Replica,
    /// Its term.
    pub term: Term,
    /// The leader that it knows of.
    pub leader: Option<id::Replica>,
    /// Whether it leads, as far as it knows.
    pub leads: bool,
    /// The last index known to be committed.
    pub commit: Index,
    /// The last index that the machine has carried out.
    pub applied: Index,
    /// The last snapshot.
    pub snapshot: Position,
    /// Bytes of entries in memory.
    pub log_bytes: usize,
    /// The members, as of the end of its log.
    pub members: Members,
    /// Whether these members are committed.
    pub settled: bool,
    /// The changes of members that this replica made on its own while it led.
    pub repairs: Repairs,
    /// Commands that wait for a batch.
    pub waiting: usize,
    /// Commands in the log that are not carried out yet.
    pub pending: usize,
    /// Messages that were dropped since the outbox was full.
    pub dropped: u64,
    /// Writes to the log that took long.
    pub slow_writes: SlowWrites,
    /// Its state in the protocol.
    pub phase: Phase,
    /// Snapshots that it fetched from others.
    pub fetches: Fetches,
    /// Changes of members that it was asked for and refused.
    pub refusals: Refusals,
}

/// Writes to the log that took at least half a second, their syncs included.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct SlowWrites {
    /// Their number since the start.
    pub count: u64,
    /// How long the last one took.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "last_ms")]
    pub last: Duration,
}
