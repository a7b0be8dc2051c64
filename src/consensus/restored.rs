//! Persisted state of a replica.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use super::Members;
use super::Position;
use super::RestoreError;
use crate::id;
use crate::unit::Term;

/// The term and vote. Both must be persisted before any message that depends on them is sent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HardState {
    /// The latest known term.
    pub term: Term,
    /// The replica voted for in that term.
    pub vote: Option<id::Replica>,
}

/// The position and members of a snapshot of the state machine.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry covered.
    pub position: Position,
    /// The members at that entry.
    pub members: Members,
}

/// The persisted state from which a replica starts. The default is that of a new replica, which
/// waits for a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Restored {
    /// The term and vote.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The persisted entries, some of which the snapshot may cover.
    pub log: Vec<Entry>,
}

impl Restored {
    /// Initial state of a new group; all its members must start with the same list.
    pub fn new(members: Members) -> Self {
        let snapshot = Snapshot { position: Position::default(), members };
        Self { hard: HardState::default(), snapshot, log: Vec::new() }
    }

    /// Checks that the state is complete and consistent.
    pub fn verify(&self) -> Result<(), RestoreError> {
        let mut last = self.log.first().map_or(self.snapshot.position, |entry| entry.position);
        if last.index > self.snapshot.position.index.next() {
            return Err(RestoreError::Gap { after: self.snapshot.position });
        }
        for entry in self.log.iter().skip(1) {
            if entry.index() != last.index.next() {
                return Err(RestoreError::Gap { after: last });
            }
            if entry.term() < last.term {
                return Err(RestoreError::DecreasingTerm { at: entry.position });
            }
            last = entry.position;
        }
        // A snapshot may be persisted before the write that records its term. Entries are written
        // with their term or after it.
        if last.index > self.snapshot.position.index && self.hard.term < last.term {
            return Err(RestoreError::StaleHardState { at: last });
        }
        Ok(())
    }

    /// Sets the term and vote.
    #[must_use]
    pub const fn with_hard(mut self, hard: HardState) -> Self {
        self.hard = hard;
        self
    }

    /// Sets the snapshot.
    #[must_use]
    pub fn with_snapshot(mut self, snapshot: Snapshot) -> Self {
        self.snapshot = snapshot;
        self
    }

    /// Sets the entries.
    #[must_use]
    pub fn with_log(mut self, log: Vec<Entry>) -> Self {
        self.log = log;
        self
    }
}
