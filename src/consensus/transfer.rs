//! Leadership transfer, so that a graceful stop causes no election timeout.

use tokio::time::Instant;

use super::Body;
use super::Members;
use super::Message;
use super::Replica;
use super::Role;
use super::leader::Leader;
use super::progress::Progress;
use super::replica::State;
use crate::id;

/// A transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    to: id::Replica,
    /// When it is abandoned and proposals are accepted again.
    deadline: Instant,
    timeout_sent: bool,
}

impl Leader {
    /// The other data voters that respond.
    fn responsive_voters<'a>(
        &'a self,
        members: &'a Members,
    ) -> impl Iterator<Item = (&'a id::Replica, &'a Progress)> {
        let is_voter = |id: &id::Replica| members.role(*id) == Some(Role::Voter);
        self.progress.iter().filter(move |(id, p)| is_voter(id) && !p.unresponsive)
    }
}

impl Replica {
    /// Starts a transfer to a responsive data voter. `SteppedDown` reports its completion to the
    /// driver.
    pub(super) fn transfer(&mut self, to: Option<id::Replica>, now: Instant) {
        let members = self.log.members();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let named =
            leader.responsive_voters(members).filter(|(id, _)| to.is_none_or(|to| to == **id));
        let Some((&to, _)) = named.max_by_key(|(_, p)| p.matched) else {
            return;
        };
        leader.transfer = Some(Transfer {
            to,
            deadline: now + self.config.election_timeout,
            timeout_sent: false,
        });
        self.advance_transfer();
    }

    /// Whether a responsive data voter has persisted more than this leader.
    pub(super) fn is_behind_a_voter(&self) -> bool {
        let members = self.log.members();
        let State::Leader(leader) = &self.state else { return false };
        let is_ahead = |(_, p): (&id::Replica, &Progress)| p.matched > self.log.synced();
        leader.transfer.is_none() && leader.responsive_voters(members).any(is_ahead)
    }

    /// Requests that the new leader start its election once its log is complete.
    pub(super) fn advance_transfer(&mut self) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(transfer) = leader.transfer.as_mut().filter(|t| !t.timeout_sent) else {
            return;
        };
        let to = transfer.to;
        if leader.progress.get(&to).is_some_and(|p| p.matched == last) {
            transfer.timeout_sent = true;
            self.send(to, Message::new(self.hard.term, Body::TimeoutNow));
        }
    }

    /// Abandons a transfer that took longer than an election timeout.
    pub(super) fn expire_transfer(&mut self, now: Instant) {
        if let State::Leader(leader) = &mut self.state {
            leader.transfer = leader.transfer.filter(|t| t.deadline > now);
        }
    }

    pub(super) const fn is_transferring(&self) -> bool {
        matches!(&self.state, State::Leader(leader) if leader.transfer.is_some())
    }
}
