//! Receiving: terms first, then each message in its place.

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
        // A pre-vote and its grant carry a term that nobody has entered yet.
        match body {
            Body::PreVote { last } => return self.answer_pre_vote(from, term, last, now),
            Body::PreVoteAnswer { granted: true } => {
                return self.take_pre_vote(from, term, true, now);
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
            Body::PreVoteAnswer { granted } => self.take_pre_vote(from, term, granted, now),
            Body::Vote { last } => self.answer_vote(from, last, now),
            Body::VoteAnswer { granted } => self.take_vote(from, granted, now),
            Body::Append { previous, entries, commit, round } => {
                if self.hear(from, now) {
                    self.take_entries(from, previous, entries, commit, round);
                }
            }
            Body::Snapshot { snapshot, round } => {
                if self.hear(from, now) {
                    self.take_snapshot(from, snapshot, round);
                }
            }
            Body::Matched { index, witness, round } => {
                self.take_matched(from, index, witness, round, now);
            }
            Body::Mismatched { hint, witness, round } => {
                self.take_mismatched(from, hint, witness, round, now);
            }
            Body::Installing { round } => self.take_installing(from, round, now),
            Body::TimeoutNow => self.take_over(now),
        }
    }

    /// Tells a leader or candidate of an earlier term that its time is over.
    ///
    /// The answer carries no round: its sender may lead this very term by the time it comes, and would take a
    /// round of its former term for one of this term, and answer reads that nobody confirmed.
    fn answer_stale(&mut self, from: id::Replica, body: &Body) {
        match *body {
            Body::Append { .. } | Body::Snapshot { .. } => self.send_synced(from, Body::Stale),
            Body::Vote { .. } => self.send_synced(from, Body::VoteAnswer { granted: false }),
            _ => {}
        }
    }

    /// Notes the leader of this term. A second one can't be: its messages are dropped.
    fn hear(&mut self, from: id::Replica, now: Instant) -> bool {
        if self.is_leader() {
            return false;
        }
        self.follow(Some(from));
        self.hear_leader(now);
        true
    }

    fn take_entries(
        &mut self,
        from: id::Replica,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
        round: Round,
    ) {
        if !self.log.agrees(previous) {
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

    /// The last index at which the logs may agree: before the whole term that differs.
    fn hint(&self, previous: Position) -> Index {
        let last = self.log.last();
        if previous.index > last.index {
            return last.index;
        }
        let mut index = previous.index.saturating_sub(Index::new(1));
        let Some(differs) = self.log.position(previous.index) else {
            return index.max(self.commit);
        };
        while index > self.commit
            && self.log.position(index).is_some_and(|p| p.term == differs.term)
        {
            index = index.saturating_sub(Index::new(1));
        }
        index.max(self.commit)
    }

    fn take_snapshot(&mut self, from: id::Replica, snapshot: Snapshot, round: Round) {
        let index = snapshot.position.index;
        if index <= self.commit {
            return self.answer_matched(from, index, round);
        }
        if self.config.witness {
            // There is no data to fetch: the position and the members are all that a witness keeps.
            self.install(snapshot);
            return self.answer_matched(from, index, round);
        }
        if !self.installing {
            self.installing = true;
            self.emit(Output::InstallSnapshot { from, snapshot });
        }
        self.send_synced(from, Body::Installing { round });
    }

    /// Takes over a snapshot that the driver has loaded, unless more is applied already.
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
