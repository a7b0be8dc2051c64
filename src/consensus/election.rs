//! Elections: pre-vote, votes, and who may stand.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::Body;
use super::HardState;
use super::Message;
use super::Output;
use super::Position;
use super::Refusal;
use super::Replica;
use super::Role;
use super::fault::Fault;
use super::replica::State;
use crate::id;
use crate::unit::Term;

impl Replica {
    /// Only a data voter may lead. A witness has no data to replicate, and a learner or a stranger has
    /// no say; each of them would win an election only to lose what was committed.
    fn may_lead(&self) -> bool {
        !self.config.witness && self.role() == Some(Role::Voter)
    }

    /// Asks whether an election could be won before it raises the term.
    ///
    /// Without it, a replica that was cut off comes back with a higher term, and unseats a leader that
    /// works well. A pre-vote changes nothing on either side.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.restart_election(now);
        if self.is_leader() {
            return;
        }
        self.leader_recent = false;
        self.follow(None);
        if !self.may_lead() {
            return;
        }
        self.state = State::PreCandidate { granted: BTreeSet::from([self.id()]) };
        let body = Body::PreVote { last: self.log.last() };
        for to in self.other_voters() {
            self.send(to, Message::new(self.hard.term.next(), body.clone()));
        }
        self.count_votes(now);
    }

    /// Raises the term and asks for votes, the own one included, once both are synced.
    pub(super) fn campaign(&mut self, now: Instant) {
        self.restart_election(now);
        self.follow(None);
        self.set_term(self.hard.term.next(), Some(self.id()));
        self.state = State::Candidate { granted: BTreeSet::new() };
        self.send_synced(self.id(), Body::VoteAnswer { granted: true });
        let body = Body::Vote { last: self.log.last() };
        for to in self.other_voters() {
            self.send_synced(to, body.clone());
        }
    }

    pub(super) fn other_voters(&self) -> Vec<id::Replica> {
        self.log.members().voters().filter(|&id| id != self.id()).collect()
    }

    fn count_votes(&mut self, now: Instant) {
        let members = self.log.members();
        match &self.state {
            State::PreCandidate { granted } if members.has_majority(|id| granted.contains(&id)) => {
                self.campaign(now);
            }
            State::Candidate { granted } if members.has_majority(|id| granted.contains(&id)) => {
                self.lead(now);
            }
            _ => {}
        }
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        from: id::Replica,
        term: Term,
        last: Position,
        now: Instant,
    ) {
        let in_touch = self.leader_recent || self.is_leader();
        let granted = term > self.hard.term
            && !in_touch
            && self.may_vote()
            && last >= self.log.last()
            && !self.stands_before(from, last);
        if granted {
            self.make_way(now);
        }
        // A refusal carries the own term, so that a candidate that is behind learns of it.
        let term = if granted { term } else { self.hard.term };
        self.send(from, Message::new(term, Body::PreVoteAnswer { granted }));
    }

    /// Whether this replica asks for pre-votes itself and goes first.
    ///
    /// Failure: all replicas start at the same moment, two of five don't come back, and two of the three ask within a trip
    /// between regions. Each grants the other's pre-vote, both campaign, neither gets the third vote, and there is
    /// no leader for another timeout. An order that all agree on leaves one of them.
    fn stands_before(&self, other: id::Replica, last: Position) -> bool {
        let is_standing = matches!(self.state, State::PreCandidate { .. });
        is_standing && (self.log.last(), self.id()) > (last, other)
    }

    /// Leaves another candidate the time for its election.
    fn make_way(&mut self, now: Instant) {
        if matches!(self.state, State::PreCandidate { .. }) {
            self.follow(None);
        }
        self.postpone_election(now);
    }

    pub(super) fn take_pre_vote(
        &mut self,
        from: id::Replica,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        if let State::PreCandidate { granted: votes } = &mut self.state
            && granted
            && term == self.hard.term.next()
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Whether this replica may give votes at all.
    ///
    /// One that knows of no group that it belongs to has lost what it promised, or has promised nothing
    /// yet. If it voted, an entry that it had acknowledged before could be lost, or a term get two leaders.
    fn may_vote(&self) -> bool {
        self.log.members().contains(self.id()) || self.has_fault(Fault::AmnesiacVote)
    }

    pub(super) fn answer_vote(&mut self, from: id::Replica, last: Position, now: Instant) {
        let free = self.hard.vote.is_none_or(|id| id == from) || self.has_fault(Fault::VoteTwice);
        let complete = last >= self.log.last() || self.has_fault(Fault::VoteForStale);
        let granted = free && complete && self.may_vote();
        if granted {
            self.set_term(self.hard.term, Some(from));
            self.restart_election(now);
        }
        self.send_synced(from, Body::VoteAnswer { granted });
    }

    pub(super) fn take_vote(&mut self, from: id::Replica, granted: bool, now: Instant) {
        if let State::Candidate { granted: votes } = &mut self.state
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn set_term(&mut self, term: Term, vote: Option<id::Replica>) {
        let hard = HardState { term, vote };
        if hard == self.hard {
            return;
        }
        if term > self.hard.term {
            // Answers to a leader or candidate of an earlier term are of no more use.
            self.held.clear();
        }
        self.hard = hard;
        self.log.set_hard(hard);
    }

    /// Learns of a higher term.
    pub(super) fn enter_term(&mut self, term: Term, now: Instant) {
        self.follow(None);
        self.set_term(term, None);
        self.restart_election(now);
    }

    /// Becomes a follower, of a leader if one is known.
    pub(super) fn follow(&mut self, leader: Option<id::Replica>) {
        let before = self.leader();
        let state = std::mem::replace(&mut self.state, State::Follower { leader });
        if let State::Leader(office) = state {
            self.emit(Output::SteppedDown { term: self.hard.term });
            for read in office.reads {
                self.reject(read.token, Refusal::NotLeader { leader });
            }
        }
        if before != leader {
            self.emit(Output::LeaderChanged { leader });
        }
    }

    /// The leader hands over to this replica.
    pub(super) fn take_over(&mut self, now: Instant) {
        if self.may_lead() && !self.is_leader() {
            self.campaign(now);
        }
    }
}

#[cfg(test)]
mod tests;
