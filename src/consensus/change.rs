//! Changing the members, one at a time, asked for or on the leader's own decision.

use std::time::Duration;

use tokio::time::Instant;

use super::Change;
use super::Members;
use super::Output;
use super::Payload;
use super::Peer;
use super::Position;
use super::Refusal;
use super::Replica;
use super::Role;
use super::Token;
use super::fault::Fault;
use super::progress::Mode;
use super::progress::Progress;
use super::replica::State;
use crate::id;

impl Replica {
    pub(super) fn change(&mut self, change: Change, token: Token, now: Instant) {
        match self.try_change(change, now) {
            Ok(position) => self.emit(Output::Appended { token, position }),
            Err(refusal) => self.reject(token, refusal),
        }
    }

    /// Appends a change, which holds from then on.
    ///
    /// Two rules keep majorities in touch. The last change must be committed, for two at once could leave
    /// an old and a new majority without a shared voter. And so must be an entry of the own term: else
    /// two leaders that never heard of each other's change could each win with a majority of their own.
    fn try_change(&mut self, change: Change, now: Instant) -> Result<Position, Refusal> {
        if !self.is_leader() {
            return Err(Refusal::NotLeader { leader: self.leader() });
        }
        if self.is_handing_over() {
            return Err(Refusal::HandingOver);
        }
        if !self.is_ready() && !self.has_fault(Fault::EarlyChange) {
            return Err(Refusal::NotReady);
        }
        if self.log.members_index() > self.commit {
            return Err(Refusal::ChangePending);
        }
        let members = self.log.members().changed(change)?;
        if let Change::Promote(learner) = change
            && !self.is_caught_up(learner)
        {
            return Err(Refusal::NotCaughtUp);
        }
        if !members.has_majority(|id| self.is_in_touch(id) || change == Change::AddWitness(id)) {
            return Err(Refusal::NoMajority);
        }
        Ok(self.append_members(members, now))
    }

    fn append_members(&mut self, members: Members, now: Instant) -> Position {
        let last = self.log.last().index;
        let own = self.id();
        if let State::Leader(leader) = &mut self.state {
            leader.progress.retain(|&id, _| members.contains(id));
            for (id, _) in members.iter().filter(|&(id, _)| id != own) {
                leader.progress.entry(id).or_insert_with(|| Progress::new(last, now));
            }
        }
        let position = self.append(Payload::Members(members));
        self.send_all();
        position
    }

    /// What the leader knows of the other members; nothing elsewhere.
    pub fn peers(&self, now: Instant) -> Vec<Peer> {
        let members = self.log.members().iter();
        let known = members.filter_map(|(id, role)| Some((id, role, self.progress(id)?)));
        known
            .map(|(id, role, p)| Peer {
                id,
                role,
                matched: p.matched,
                in_touch: !p.missed,
                silence: p.silence(now),
            })
            .collect()
    }

    fn progress(&self, id: id::Replica) -> Option<&Progress> {
        match &self.state {
            State::Leader(leader) => leader.progress.get(&id),
            _ => None,
        }
    }

    fn is_in_touch(&self, id: id::Replica) -> bool {
        id == self.id() || self.progress(id).is_some_and(|p| !p.missed)
    }

    /// Whether a learner holds, synced, all that is committed. A voter that lacks some of it adds nothing to
    /// the next majority, and the group is as thin as before while it looks repaired.
    fn is_caught_up(&self, id: id::Replica) -> bool {
        let ready =
            |p: &Progress| !p.missed && p.holds_data == Some(true) && p.mode == Mode::Stream;
        self.progress(id).is_some_and(|p| ready(p) && p.matched >= self.commit)
    }

    /// Keeps up the number of data voters without an operator: promotes a learner that is caught up where one
    /// is wanting, and lets go of a voter that has been silent for long while such a learner waits.
    ///
    /// The dead one goes first: from then on the group needs no more replicas alive than before. Learners that fell
    /// silent go too, or a VM without a disk, which has a new identity at each start, would leave one behind each time.
    pub(super) fn repair(&mut self, now: Instant) {
        let Some(silence) = self.config.replace_after else {
            return;
        };
        // A refusal is no fault: the next heartbeat decides anew.
        if let Some(change) = self.next_repair(silence, now) {
            let _ = self.try_change(change, now);
        }
    }

    fn next_repair(&self, silence: Duration, now: Instant) -> Option<Change> {
        let members = self.log.members();
        let silent =
            |&id: &id::Replica| self.progress(id).is_some_and(|p| p.silence(now) >= silence);
        let lost = || members.with_role(Role::Learner).find(silent);
        let Some(learner) = members.with_role(Role::Learner).find(|&id| self.is_caught_up(id))
        else {
            return lost().map(Change::Remove);
        };
        if members.with_role(Role::Voter).count() < self.config.voters {
            return Some(Change::Promote(learner));
        }
        members.with_role(Role::Voter).find(silent).or_else(lost).map(Change::Remove)
    }
}
