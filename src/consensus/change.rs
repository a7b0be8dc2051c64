//! Membership changes: one member at a time, requested by the driver or made by the leader.

use tokio::time::Instant;

use super::Change;
use super::Members;
use super::Output;
use super::Payload;
use super::Peer;
use super::Position;
use super::Refusal;
use super::Replica;
use super::Token;
use super::fault::Fault;
use super::progress::Mode;
use super::progress::Progress;
use super::replica::State;
use crate::id;

impl Replica {
    pub(super) fn propose_change(&mut self, change: Change, token: Token, now: Instant) {
        match self.try_change(change, now) {
            Ok(position) => self.emit(Output::Appended { token, position }),
            Err(refusal) => self.reject(token, refusal),
        }
    }

    /// Appends a membership change, which takes effect immediately.
    ///
    /// The previous change must be committed first: two changes at once could leave an old and a
    /// new majority without a common voter. An entry of the current term must be committed as well,
    /// or two leaders unaware of each other's changes could each win a disjoint majority.
    pub(super) fn try_change(&mut self, change: Change, now: Instant) -> Result<Position, Refusal> {
        if !self.is_leader() {
            return Err(Refusal::NotLeader { leader: self.leader() });
        }
        if self.is_transferring() {
            return Err(Refusal::TransferInProgress);
        }
        if !self.is_ready() && !self.has_fault(Fault::EarlyChange) {
            return Err(Refusal::NotReady);
        }
        if self.log.members_index() > self.commit {
            return Err(Refusal::ChangePending);
        }
        let members = self.log.members().with_change(change)?;
        if let Change::Promote(learner) = change
            && !self.is_caught_up(learner, now)
        {
            return Err(Refusal::NotCaughtUp);
        }
        if !members.has_majority(|id| self.is_usable(id, now) || change == Change::AddWitness(id)) {
            return Err(Refusal::NoMajority);
        }
        Ok(self.append_members(members, now))
    }

    fn append_members(&mut self, members: Members, now: Instant) -> Position {
        let last = self.log.last().index;
        let own_id = self.id();
        if let State::Leader(leader) = &mut self.state {
            leader.progress.retain(|&id, _| members.contains(id));
            leader.stopping.retain(|&id, _| members.contains(id));
            for (id, _) in members.iter().filter(|&(id, _)| id != own_id) {
                leader.progress.entry(id).or_insert_with(|| Progress::new(last, now));
            }
        }
        let position = self.append(Payload::Members(members));
        self.send_all();
        position
    }

    /// The leader's view of the other members; empty on a replica that does not lead.
    pub fn peers(&self, now: Instant) -> Vec<Peer> {
        let members = self.log.members().iter();
        let known = members.filter_map(|(id, role)| Some((id, role, self.progress(id)?)));
        known
            .map(|(id, role, p)| Peer {
                id,
                role,
                matched: p.matched,
                responsive: !p.unresponsive,
                silence: p.silence(now),
                mode: p.mode,
                holds_data: p.holds_data,
            })
            .collect()
    }

    pub(super) fn progress(&self, id: id::Replica) -> Option<&Progress> {
        match &self.state {
            State::Leader(leader) => leader.progress.get(&id),
            _ => None,
        }
    }

    pub(super) fn is_responsive(&self, id: id::Replica) -> bool {
        id == self.id() || self.progress(id).is_some_and(|p| !p.unresponsive)
    }

    /// Whether a majority may need this member: it has missed nothing, or keeps up with a lag.
    pub(super) fn is_usable(&self, id: id::Replica, now: Instant) -> bool {
        self.is_responsive(id) || self.keeps_up(id, now)
    }

    fn keeps_up(&self, id: id::Replica, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        leader.keeps_up(id, self.response_timeout(), now)
    }

    /// Whether a learner can be promoted: it holds data, and lags by a short time at most.
    pub(super) fn is_caught_up(&self, id: id::Replica, now: Instant) -> bool {
        let is_sent = |p: &Progress| p.holds_data == Some(true) && p.mode != Mode::Snapshot;
        self.progress(id).is_some_and(is_sent) && self.keeps_up(id, now)
    }
}
