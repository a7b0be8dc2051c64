//! Counting: what a leader may hold for committed, and what the witness may hear of.

use tokio::time::Instant;

use super::Replica;
use super::Role;
use super::fault::Fault;
use super::replica::State;
use crate::id;
use crate::unit::Index;
use crate::unit::Round;

impl Replica {
    /// How far a member may be sent entries.
    pub(super) fn limit(&self, to: id::Replica) -> Index {
        match self.log.members().role(to) {
            Some(Role::Witness) if !self.has_fault(Fault::EarlyWitness) => self.witness_limit(),
            // A witness taken in as a learner by mistake would be sent data that must stay in the region. So a
            // learner gets none before it said what it is.
            Some(Role::Learner) if !self.holds_data(to) => Index::ZERO,
            _ => self.log.last().index,
        }
    }

    fn holds_data(&self, id: id::Replica) -> bool {
        match &self.state {
            State::Leader(leader) => {
                leader.progress.get(&id).is_some_and(|p| p.holds_data == Some(true))
            }
            _ => false,
        }
    }

    /// A witness that heard of an entry refuses its vote to all that lack it. So it hears of one only once
    /// it is synced here, and on each data voter that is in touch: otherwise the loss of this one
    /// replica leaves a data voter that could go on, and a witness that doesn't let it. A voter that has
    /// missed its heartbeats is not waited for, or its loss would stop the group.
    fn witness_limit(&self) -> Index {
        let State::Leader(leader) = &self.state else {
            return Index::ZERO;
        };
        let in_touch =
            self.log.members().with_role(Role::Voter).filter_map(|id| leader.progress.get(&id));
        let held = in_touch.filter(|p| !p.missed).map(|p| p.matched);
        let held = held.fold(self.log.synced(), Index::min);
        // What it was sent already can't be taken back: a voter that is back in touch gets there in one trip.
        held.max(leader.witnessed.min(self.log.synced()))
    }

    /// The index up to which a voter's log counts.
    fn counted(&self, id: id::Replica) -> Index {
        if id == self.id() {
            let unsynced = self.has_fault(Fault::CountUnsynced);
            return if unsynced { self.log.last().index } else { self.log.synced() };
        }
        let State::Leader(leader) = &self.state else {
            return Index::ZERO;
        };
        leader.progress.get(&id).map_or(Index::ZERO, |p| p.matched.min(self.limit(id)))
    }

    /// Commits what a majority holds, if it ends in an entry of the own term.
    ///
    /// An entry of an earlier term on a majority may still be replaced, by a leader whose log ends in a
    /// later term. Once an entry of the own term follows it on a majority, no such log can win any more.
    pub(super) fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let members = self.log.members();
        let learners = self.has_fault(Fault::CountLearner);
        let counts = |&(_, role): &(id::Replica, Role)| learners || role != Role::Learner;
        let mut held: Vec<Index> =
            members.iter().filter(counts).map(|(id, _)| self.counted(id)).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = held.get(members.majority() - 1) else {
            return;
        };
        let own = self.log.position(index).is_some_and(|p| p.term == self.hard.term);
        if index > self.commit && (own || self.has_fault(Fault::SkipOwnTerm)) {
            self.commit = index;
            self.leave_if_removed();
        }
    }

    /// A leader that was removed leads until that is committed, and then stops.
    fn leave_if_removed(&mut self) {
        let gone = !self.log.members().contains(self.id());
        if gone && self.log.members_index() <= self.commit {
            self.follow(None);
        }
    }

    pub(super) fn take_matched(
        &mut self,
        from: id::Replica,
        index: Index,
        witness: bool,
        round: Round,
        now: Instant,
    ) {
        let last = self.log.last().index;
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from).filter(|_| index <= last) else {
            return;
        };
        progress.hear(round, now);
        progress.holds_data = Some(!witness);
        progress.advance(index, last, now);
        if progress.matched >= leader.mark.min(commit) {
            progress.missed = false;
        }
        self.advance_commit();
        self.confirm_round();
        self.send_entries(from, false);
        self.send_witness();
        self.hand_over();
    }

    pub(super) fn take_mismatched(
        &mut self,
        from: id::Replica,
        hint: Index,
        witness: bool,
        round: Round,
        now: Instant,
    ) {
        if let Some(progress) = self.heard(from, round, now) {
            progress.holds_data = Some(!witness);
            // An answer that was overtaken: what it denies was acknowledged since.
            if hint < progress.matched {
                return;
            }
            progress.back_up(hint);
            self.send_entries(from, false);
        }
    }

    pub(super) fn take_installing(&mut self, from: id::Replica, round: Round, now: Instant) {
        self.heard(from, round, now);
    }

    fn heard(
        &mut self,
        from: id::Replica,
        round: Round,
        now: Instant,
    ) -> Option<&mut super::progress::Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        leader.progress.get_mut(&from)?.hear(round, now);
        self.confirm_round();
        match &mut self.state {
            State::Leader(leader) => leader.progress.get_mut(&from),
            _ => None,
        }
    }

    /// What the witness may hear of has grown.
    pub(super) fn send_witness(&mut self) {
        let witness = self.log.members().with_role(Role::Witness).next();
        if let Some(to) = witness.filter(|&id| id != self.id()) {
            self.send_entries(to, false);
        }
    }

    /// A member missed its heartbeats: it is no longer waited for.
    pub(super) fn miss(&mut self, id: id::Replica) {
        if let State::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress.get_mut(&id)
        {
            progress.missed = true;
            self.send_witness();
            self.advance_commit();
        }
    }

    /// Steps down if no majority was heard of since the last time.
    ///
    /// A leader that is cut off would otherwise go on for as long as the cut lasts: callers would wait
    /// for its answers, and be told of no other leader.
    pub(super) fn check_quorum(&mut self, now: Instant) {
        self.restart_quorum(now);
        let own = self.id();
        let members = self.log.members();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let heard = |id| id == own || leader.progress.get(&id).is_some_and(|p| p.heard);
        if members.has_majority(heard) {
            leader.progress.values_mut().for_each(|p| p.heard = false);
            return;
        }
        self.follow(None);
        self.restart_election(now);
    }
}
