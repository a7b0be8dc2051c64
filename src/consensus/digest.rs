//! Hash of a replica's state for model checking: everything that determines its next outputs except
//! instants.

use std::hash::Hash;
use std::hash::Hasher;

use super::Log;
use super::Replica;
use super::replica::State;

impl Replica {
    /// Whether this replica is a candidate in its term.
    pub const fn is_candidate(&self) -> bool {
        matches!(self.state, State::Candidate { .. })
    }

    /// Hashes the state. Random numbers, instants and timer-only state are excluded.
    /// `leader_recent` only affects pre-votes and is excluded unless those are explored.
    pub fn digest(&self, hasher: &mut impl Hasher, pre_votes: bool) {
        (self.config.id, self.config.witness, self.hard, self.commit, self.applied).hash(hasher);
        (self.installing, pre_votes && self.leader_recent).hash(hasher);
        self.log.digest(hasher);
        let issued = self.log.issued();
        for pending in &self.pending_sends {
            (issued.saturating_sub(pending.after), pending.to, &pending.message).hash(hasher);
        }
        match &self.state {
            State::Follower { leader } => (0, leader).hash(hasher),
            State::PreCandidate { granted, votes } => (1, granted, votes).hash(hasher),
            State::Candidate { granted } => (2, granted).hash(hasher),
            State::Leader(leader) => {
                (3, leader.term_start, leader.round, leader.confirmed).hash(hasher);
                (
                    &leader.reads,
                    leader.transfer.is_some(),
                    &leader.heartbeat_commits,
                    leader.witness_sent,
                )
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
        self.covered_bytes().hash(hasher);
        for entry in self.slice(self.first(), self.last().index, usize::MAX) {
            entry.hash(hasher);
        }
        self.open_writes().for_each(|write| write.hash(hasher));
    }
}
