//! Leader election with pre-votes.

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
    /// Whether this replica may become leader. Only a data voter may: a witness has no data to
    /// replicate, and a learner may lack committed entries.
    fn may_lead(&self) -> bool {
        !self.config.witness && self.role() == Some(Role::Voter)
    }

    /// Starts a pre-vote, which asks whether an election could be won without raising the term.
    ///
    /// Without it, a replica that returns from a partition with a higher term would depose a
    /// working leader.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.restart_election(now);
        if self.is_leader() {
            return;
        }
        self.leader_recent = false;
        if self.is_voting() {
            return;
        }
        let votes = match &mut self.state {
            State::Candidate { granted: votes } | State::PreCandidate { votes, .. } => {
                std::mem::take(votes)
            }
            State::Follower { .. } | State::Leader(_) => BTreeSet::new(),
        };
        self.become_follower(None);
        if !self.may_lead() {
            return;
        }
        self.state = State::PreCandidate { granted: BTreeSet::from([self.id()]), votes };
        let body = Body::PreVote { last: self.log.last() };
        for to in self.other_voters() {
            self.send(to, Message::new(self.hard.term.next(), body.clone()));
        }
        self.count_votes(now);
    }

    /// Starts an election: raises the term and requests votes. All votes, including its own, wait
    /// until the new term is persisted.
    pub(super) fn campaign(&mut self, now: Instant) {
        self.restart_election(now);
        self.become_follower(None);
        self.set_term(self.hard.term.next(), Some(self.id()));
        self.state = State::Candidate { granted: BTreeSet::new() };
        self.send_synced(self.id(), Body::VoteAnswer { granted: true });
        let body = Body::Vote { last: self.log.last() };
        for to in self.other_voters() {
            self.send_synced(to, body.clone());
        }
    }

    /// Whether a vote of this replica is not persisted yet.
    ///
    /// While its disk stands still, another election would only raise the term, and void the votes of the one under way.
    fn is_voting(&self) -> bool {
        let mut waiting = self.pending_sends.iter().map(|pending| &pending.message.body);
        waiting.any(|body| matches!(body, Body::Vote { .. } | Body::VoteAnswer { granted: true }))
    }

    pub(super) fn other_voters(&self) -> Vec<id::Replica> {
        self.log.members().voters().filter(|&id| id != self.id()).collect()
    }

    fn count_votes(&mut self, now: Instant) {
        let members = self.log.members();
        match &self.state {
            State::PreCandidate { granted, .. }
                if members.has_majority(|id| granted.contains(&id)) =>
            {
                self.campaign(now);
            }
            State::Candidate { granted: votes } | State::PreCandidate { votes, .. }
                if members.has_majority(|id| votes.contains(&id)) =>
            {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: id::Replica,
        term: Term,
        last: Position,
        now: Instant,
    ) {
        let has_leader = self.leader_recent || self.is_leader();
        let granted = term > self.hard.term
            && !has_leader
            && !self.is_voting()
            && self.may_vote()
            && last >= self.log.last()
            && !self.outranks(from, last);
        if granted {
            self.yield_to_candidate(now);
        }
        // A denial carries the current term, so that a candidate that is behind learns of it.
        let term = if granted { term } else { self.hard.term };
        self.send(from, Message::new(term, Body::PreVoteAnswer { granted }));
    }

    /// Whether this replica is a pre-candidate itself and takes precedence over another one.
    ///
    /// Replicas that start together may request pre-votes from each other within one round trip. If
    /// each granted the other's, both would campaign and split the vote. A total order of
    /// pre-candidates leaves only one.
    fn outranks(&self, other: id::Replica, last: Position) -> bool {
        let is_pre_candidate = matches!(self.state, State::PreCandidate { .. });
        is_pre_candidate && (self.log.last(), self.id()) > (last, other)
    }

    /// Gives another candidate time to finish its election.
    fn yield_to_candidate(&mut self, now: Instant) {
        if matches!(self.state, State::PreCandidate { .. }) {
            self.become_follower(None);
        }
        self.postpone_election(now);
    }

    pub(super) fn handle_pre_vote_answer(
        &mut self,
        from: id::Replica,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        if let State::PreCandidate { granted: votes, .. } = &mut self.state
            && granted
            && term == self.hard.term.next()
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Whether this replica may vote.
    ///
    /// A replica that is not in its own member list has lost its state or never had any. Its vote
    /// could lose an entry that it acknowledged earlier, or elect two leaders in one term.
    fn may_vote(&self) -> bool {
        self.log.members().contains(self.id()) || self.has_fault(Fault::VoteWithoutMembers)
    }

    pub(super) fn handle_vote(&mut self, from: id::Replica, last: Position, now: Instant) {
        let may_vote_for =
            self.hard.vote.is_none_or(|id| id == from) || self.has_fault(Fault::VoteTwice);
        let is_up_to_date = last >= self.log.last() || self.has_fault(Fault::VoteForStale);
        let granted = may_vote_for && is_up_to_date && self.may_vote();
        if granted {
            self.set_term(self.hard.term, Some(from));
            self.restart_election(now);
        }
        self.send_synced(from, Body::VoteAnswer { granted });
    }

    pub(super) fn handle_vote_answer(&mut self, from: id::Replica, granted: bool, now: Instant) {
        // Until a pre-candidate campaigns, the votes of its last election still count.
        if let State::Candidate { granted: votes } | State::PreCandidate { votes, .. } =
            &mut self.state
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
            // Responses to a leader or candidate of an earlier term are obsolete.
            self.pending_sends.clear();
        }
        self.hard = hard;
        self.log.set_hard(hard);
    }

    pub(super) fn enter_term(&mut self, term: Term, now: Instant) {
        self.become_follower(None);
        self.set_term(term, None);
        self.restart_election(now);
    }

    /// Becomes a follower, of the given leader if one is known.
    pub(super) fn become_follower(&mut self, leader: Option<id::Replica>) {
        let before = self.leader();
        let state = std::mem::replace(&mut self.state, State::Follower { leader });
        if let State::Leader(former) = state {
            (self.repairs.kept, self.repairs.refused) = (None, None);
            self.emit(Output::SteppedDown { term: self.hard.term });
            for read in former.reads {
                self.reject(read.token, Refusal::NotLeader { leader });
            }
        }
        if before != leader {
            self.emit(Output::LeaderChanged { leader });
        }
    }

    /// Starts an election at the leader's request, without a pre-vote.
    pub(super) fn handle_timeout_now(&mut self, now: Instant) {
        if self.may_lead() && !self.is_leader() {
            self.campaign(now);
        }
    }
}

#[cfg(test)]
mod tests;
