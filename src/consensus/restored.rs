//! What a replica keeps over restarts.

use serde::Deserialize;
use serde::Serialize;

use super::Broken;
use super::Entry;
use super::Members;
use super::Position;
use crate::id;
use crate::unit::Term;

/// The term and the vote. Both must be durable before any message rests on them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HardState {
    /// The highest term that this replica knows of.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<id::Replica>,
}

/// What a snapshot stands for: the state machine after all entries up to a position.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub position: Position,
    /// The members as of that entry.
    pub members: Members,
}

/// The durable state that a replica starts from. The default is that of a newcomer, which waits for a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Restored {
    /// The term and the vote.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries on disk; some of them may be covered by the snapshot.
    pub log: Vec<Entry>,
}

impl Restored {
    /// The first start of a new group: each of its members starts with the same list.
    pub fn new(members: Members) -> Self {
        let snapshot = Snapshot { position: Position::default(), members };
        Self { hard: HardState::default(), snapshot, log: Vec::new() }
    }

    /// Whether a replica may start from this: a store that can't tell must not guess.
    pub fn verify(&self) -> Result<(), Broken> {
        let mut last = self.log.first().map_or(self.snapshot.position, |entry| entry.position);
        if last.index > self.snapshot.position.index.next() {
            return Err(Broken::Gap { after: self.snapshot.position });
        }
        for entry in self.log.iter().skip(1) {
            if entry.index() != last.index.next() {
                return Err(Broken::Gap { after: last });
            }
            if entry.term() < last.term {
                return Err(Broken::Term { at: entry.position });
            }
            last = entry.position;
        }
        // A snapshot may be synced before the write that enters its term; entries are in the same write or later.
        if last.index > self.snapshot.position.index && self.hard.term < last.term {
            return Err(Broken::HardState { at: last });
        }
        Ok(())
    }

    /// The same with a term and vote.
    #[must_use]
    pub const fn with_hard(mut self, hard: HardState) -> Self {
        self.hard = hard;
        self
    }

    /// The same with a snapshot.
    #[must_use]
    pub fn with_snapshot(mut self, snapshot: Snapshot) -> Self {
        self.snapshot = snapshot;
        self
    }

    /// The same with entries.
    #[must_use]
    pub fn with_log(mut self, log: Vec<Entry>) -> Self {
        self.log = log;
        self
    }
}
