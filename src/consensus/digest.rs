//! The state of a replica as a check compares it: all that decides on its next outputs, and no instants.

use std::hash::Hash;
use std::hash::Hasher;

use super::Log;
use super::Replica;
use super::replica::State;

impl Replica {
    /// Whether this replica stands for election and may still win it.
    pub const fn is_candidate(&self) -> bool {
        matches!(self.state, State::Candidate { .. })
    }

    /// Feeds the state to a hasher. Left out are the random numbers, the instants and what only they use; whether a
    /// leader was heard of decides on pre-votes alone, and is left out where none are explored.
    pub fn digest(&self, hasher: &mut impl Hasher, pre_votes: bool) {
        (self.config.id, self.config.witness, self.hard, self.commit, self.applied).hash(hasher);
        (self.installing, pre_votes && self.leader_recent).hash(hasher);
        self.log.digest(hasher);
        let issued = self.log.issued();
        for held in &self.held {
            (issued.saturating_sub(held.until), held.to, &held.message).hash(hasher);
        }
        match &self.state {
            State::Follower { leader } => (0, leader).hash(hasher),
            State::PreCandidate { granted } => (1, granted).hash(hasher),
            State::Candidate { granted } => (2, granted).hash(hasher),
            State::Leader(leader) => {
                (3, leader.start, leader.round, leader.confirmed).hash(hasher);
                (&leader.reads, leader.transfer.is_some(), leader.mark, leader.witnessed)
                    .hash(hasher);
                for (id, progress) in &leader.progress {
                    id.hash(hasher);
                    progress.digest(hasher);
                }
            }
        }
    }
}

impl Log {
    fn digest(&self, hasher: &mut impl Hasher) {
        (self.snapshot(), self.synced(), self.first(), self.last()).hash(hasher);
        for entry in self.slice(self.first(), self.last().index, usize::MAX) {
            entry.hash(hasher);
        }
        self.open_writes().for_each(|write| write.hash(hasher));
    }
}
