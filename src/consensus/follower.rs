//! Message handling, and the follower's side of replication.

use tokio::time::Instant;

use super::Body;
use super::Entry;
use super::Message;
use super::Output;
use super::Position;
use super::Replica;
use super::Snapshot;
use super::replica::State;
use crate::id;
use crate::unit::Index;
use crate::unit::Round;

impl Replica {
    pub(super) fn receive(&mut self, from: id::Replica, message: Message, now: Instant) {
        let Message { term, body } = message;
        // Pre-votes and their grants carry the term of a prospective election.
        match body {
            Body::PreVote { last } => return self.handle_pre_vote(from, term, last, now),
            Body::PreVoteAnswer { granted: true } => {
                return self.handle_pre_vote_answer(from, term, true, now);
            }
            _ => {}
        }
        if term > self.hard.term {
            self.enter_term(term, now);
        }
        if term < self.hard.term {
            return self.answer_stale(from, &body);
        }
        match body {
            Body::PreVote { .. } | Body::Stale => {}
            Body::PreVoteAnswer { granted } => {
                self.handle_pre_vote_answer(from, term, granted, now);
            }
            Body::Vote { last } => self.handle_vote(from, last, now),
            Body::VoteAnswer { granted } => self.handle_vote_answer(from, granted, now),
            Body::Append { previous, entries, commit, round } => {
                if self.accept_leader(from, now) {
                    self.handle_append(from, previous, entries, commit, round);
                }
            }
            Body::Snapshot { snapshot, round } => {
                if self.accept_leader(from, now) {
                    self.handle_snapshot(from, snapshot, round);
                }
            }
            Body::Matched { index, witness, round } => {
                self.handle_matched(from, index, witness, round, now);
            }
            Body::Mismatched { hint, witness, round } => {
                self.handle_mismatched(from, hint, witness, round, now);
            }
            Body::Installing { round } => self.handle_installing(from, round, now),
            Body::TimeoutNow => self.handle_timeout_now(now),
        }
    }

    /// Notifies a leader or candidate of an earlier term that its term has ended.
    ///
    /// The response carries no round: its sender may lead the current term by the time it arrives,
    /// and would count a round of its earlier term as confirmation of reads in this one.
    fn answer_stale(&mut self, from: id::Replica, body: &Body) {
        match *body {
            Body::Append { .. } | Body::Snapshot { .. } => self.send_synced(from, Body::Stale),
            Body::Vote { .. } => self.send_synced(from, Body::VoteAnswer { granted: false }),
            _ => {}
        }
    }

    /// Records the sender as leader of this term. Returns false if this replica itself leads the
    /// term.
    fn accept_leader(&mut self, from: id::Replica, now: Instant) -> bool {
        if self.is_leader() {
            return false;
        }
        self.become_follower(Some(from));
        self.record_leader_contact(now);
        true
    }

    fn handle_append(
        &mut self,
        from: id::Replica,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
        round: Round,
    ) {
        if !self.log.matches(previous) {
            let hint = self.hint(previous);
            let witness = self.config.witness;
            return self.send_synced(from, Body::Mismatched { hint, witness, round });
        }
        let index = entries.last().map_or(previous.index, Entry::index);
        self.log.merge(entries);
        self.commit = self.commit.max(commit.min(index));
        self.answer_matched(from, index, round);
    }

    fn answer_matched(&mut self, to: id::Replica, index: Index, round: Round) {
        let witness = self.config.witness;
        self.send_synced(to, Body::Matched { index, witness, round });
    }

    /// The last index at which the logs may match: skips all entries of the conflicting term.
    fn hint(&self, previous: Position) -> Index {
        let last = self.log.last();
        if previous.index > last.index {
            return last.index;
        }
        let mut index = previous.index.saturating_sub(Index::new(1));
        let Some(conflict) = self.log.position(previous.index) else {
            return index.max(self.commit);
        };
        while index > self.commit
            && self.log.position(index).is_some_and(|p| p.term == conflict.term)
        {
            index = index.saturating_sub(Index::new(1));
        }
        index.max(self.commit)
    }

    fn handle_snapshot(&mut self, from: id::Replica, snapshot: Snapshot, round: Round) {
        let index = snapshot.position.index;
        if index <= self.commit {
            return self.answer_matched(from, index, round);
        }
        if self.config.witness {
            // A witness keeps only the position and the members, so there is no data to fetch.
            self.install(snapshot);
            return self.answer_matched(from, index, round);
        }
        if !self.installing {
            self.installing = true;
            self.emit(Output::InstallSnapshot { from, snapshot });
        }
        self.send_synced(from, Body::Installing { round });
    }

    /// Installs a snapshot loaded by the driver, unless later entries are already applied.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        self.installing = false;
        let index = snapshot.position.index;
        if index <= self.applied {
            return;
        }
        self.log.install(snapshot);
        self.commit = self.commit.max(index);
        self.applied = index;
        if let State::Follower { leader: Some(leader) } = self.state {
            self.answer_matched(leader, index, Round::ZERO);
        }
    }
}
