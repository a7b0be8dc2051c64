//! Commit index: which entries a leader may commit, and which it may send to the witness.

use tokio::time::Instant;

use super::Replica;
use super::Role;
use super::fault::Fault;
use super::replica::State;
use crate::id;
use crate::unit::Index;
use crate::unit::Round;

impl Replica {
    /// The last index that may be sent to a member.
    pub(super) fn send_limit(&self, to: id::Replica) -> Index {
        match self.log.members().role(to) {
            Some(Role::Witness) if !self.has_fault(Fault::EarlyWitness) => self.witness_limit(),
            // A witness added as a learner by mistake would receive data that must stay in the
            // region, so a learner gets no entries until it has reported that it holds data.
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

    /// The last index that may be sent to the witness.
    ///
    /// A witness that knows of an entry denies its vote to every candidate that lacks it. It
    /// therefore gets an entry only once this replica and every responsive data voter have
    /// persisted it; otherwise the loss of this replica could leave a data voter that the witness
    /// refuses to elect. Voters that missed their heartbeats are not waited for, since the loss of
    /// one would stop the group.
    fn witness_limit(&self) -> Index {
        let State::Leader(leader) = &self.state else {
            return Index::ZERO;
        };
        let responsive =
            self.log.members().with_role(Role::Voter).filter_map(|id| leader.progress.get(&id));
        let matched = responsive.filter(|p| !p.unresponsive).map(|p| p.matched);
        let matched = matched.fold(self.log.synced(), Index::min);
        // Entries already sent to the witness can't be retracted. A voter that becomes responsive
        // again catches up to them in one round trip.
        matched.max(leader.witness_sent.min(self.log.synced()))
    }

    /// The last index that counts as replicated to a voter.
    fn acknowledged_index(&self, id: id::Replica) -> Index {
        if id == self.id() {
            let unsynced = self.has_fault(Fault::CountUnsynced);
            return if unsynced { self.log.last().index } else { self.log.synced() };
        }
        let State::Leader(leader) = &self.state else {
            return Index::ZERO;
        };
        leader.progress.get(&id).map_or(Index::ZERO, |p| p.matched.min(self.send_limit(id)))
    }

    /// Commits the entries that a majority holds, provided the last of them is of the current term.
    ///
    /// A leader with a later term in its log may still overwrite an entry of an earlier term that a
    /// majority holds. Once an entry of the current term follows it on a majority, no such leader
    /// can be elected.
    pub(super) fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let members = self.log.members();
        let learners = self.has_fault(Fault::CountLearner);
        let counts = |&(_, role): &(id::Replica, Role)| learners || role != Role::Learner;
        let mut acknowledged: Vec<Index> =
            members.iter().filter(counts).map(|(id, _)| self.acknowledged_index(id)).collect();
        acknowledged.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = acknowledged.get(members.majority() - 1) else {
            return;
        };
        let current_term = self.log.position(index).is_some_and(|p| p.term == self.hard.term);
        if index > self.commit && (current_term || self.has_fault(Fault::CommitEarlierTerm)) {
            self.commit = index;
            self.step_down_if_removed();
        }
    }

    /// A removed leader steps down once its removal is committed.
    fn step_down_if_removed(&mut self) {
        let is_removed = !self.log.members().contains(self.id());
        if is_removed && self.log.members_index() <= self.commit {
            self.become_follower(None);
        }
    }

    pub(super) fn handle_matched(
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
        let heartbeat_commit = leader.heartbeat_commit();
        let Some(progress) = leader.progress.get_mut(&from).filter(|_| index <= last) else {
            return;
        };
        progress.record_response(round, now);
        progress.holds_data = Some(!witness);
        progress.advance(index, last, now);
        if progress.matched >= heartbeat_commit.min(commit) {
            progress.unresponsive = false;
        }
        self.advance_commit();
        self.confirm_round();
        self.send_entries(from, false);
        self.send_witness();
        self.advance_transfer();
    }

    pub(super) fn handle_mismatched(
        &mut self,
        from: id::Replica,
        hint: Index,
        witness: bool,
        round: Round,
        now: Instant,
    ) {
        if let Some(progress) = self.record_response(from, round, now) {
            progress.holds_data = Some(!witness);
            // A delayed response: the follower has acknowledged this index since.
            if hint < progress.matched {
                return;
            }
            progress.decrease_next(hint);
            self.send_entries(from, false);
        }
    }

    pub(super) fn handle_installing(&mut self, from: id::Replica, round: Round, now: Instant) {
        self.record_response(from, round, now);
    }

    fn record_response(
        &mut self,
        from: id::Replica,
        round: Round,
        now: Instant,
    ) -> Option<&mut super::progress::Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        leader.progress.get_mut(&from)?.record_response(round, now);
        self.confirm_round();
        match &mut self.state {
            State::Leader(leader) => leader.progress.get_mut(&from),
            _ => None,
        }
    }

    /// Sends the witness any entries it may receive by now.
    pub(super) fn send_witness(&mut self) {
        let witness = self.log.members().with_role(Role::Witness).next();
        if let Some(to) = witness.filter(|&id| id != self.id()) {
            self.send_entries(to, false);
        }
    }

    /// Marks a member unresponsive: commits and the witness no longer wait for it.
    pub(super) fn mark_unresponsive(&mut self, id: id::Replica) {
        if let State::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress.get_mut(&id)
        {
            progress.unresponsive = true;
            self.send_witness();
            self.advance_commit();
        }
    }

    /// Steps down if no majority responded since the last check.
    ///
    /// An isolated leader would otherwise keep its role for as long as the partition lasts, and
    /// callers would wait for answers without being directed to another leader.
    pub(super) fn check_quorum(&mut self, now: Instant) {
        self.restart_quorum(now);
        let own_id = self.id();
        let members = self.log.members();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let is_active =
            |id| id == own_id || leader.progress.get(&id).is_some_and(|p| p.recently_active);
        if members.has_majority(is_active) {
            leader.progress.values_mut().for_each(|p| p.recently_active = false);
            return;
        }
        self.become_follower(None);
        self.restart_election(now);
    }
}
