//! Maintenance of the voters by the leader.
//!
//! Every change is of one member, so old and new majorities overlap. A voter that is about to stop still counts, so its
//! successor is promoted before it is removed. A silent voter is removed before its successor is promoted, so that the
//! quorum never grows meanwhile.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use tokio::time::Instant;

use super::Change;
use super::Refusal;
use super::Replica;
use super::Role;
use super::replica::State;
use crate::id;

/// Why the leader changes the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// There are fewer voters than configured.
    Vacant,
    /// There are more voters than configured.
    Surplus,
    /// A voter is about to stop.
    Stopping,
    /// A member has not responded for the configured time.
    Silent,
    /// A majority of the voters is in one region, and another region has a learner.
    Concentrated,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Vacant => "a seat is vacant",
            Self::Surplus => "there are more voters than seats",
            Self::Stopping => "a voter is about to stop",
            Self::Silent => "it has been silent for too long",
            Self::Concentrated => "one region held a majority",
        })
    }
}

/// The last change that the leader made on its own, and how many it has made.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Repairs {
    /// Changes made by this replica since it started.
    pub count: u64,
    /// The last one.
    pub last: Option<(Change, Reason)>,
    /// A voter that is stopping or silent, and keeps its seat since no learner is caught up.
    pub kept: Option<id::Replica>,
    /// The change that is due and was refused at the last heartbeat.
    pub refused: Option<(Change, Refusal)>,
}

impl Replica {
    /// Maintains the number of data voters and their spread over regions.
    pub(super) fn repair_members(&mut self, now: Instant) {
        if self.config.replace_after.is_none() {
            return;
        }
        let successor = self.successor(now);
        self.repairs.kept = self.ending_voter(now).filter(|_| successor.is_none());
        self.repairs.refused = None;
        let Some((change, reason)) = self.next_repair(successor, now) else { return };
        // A refused change is retried at the next heartbeat.
        match self.try_change(change, now) {
            Ok(_) => {
                self.repairs.count += 1;
                self.repairs.last = Some((change, reason));
            }
            Err(refusal) => self.repairs.refused = Some((change, refusal)),
        }
    }

    /// Changes that the leader made on its own.
    pub const fn repairs(&self) -> &Repairs {
        &self.repairs
    }

    /// Marks a voter that is about to stop; a caught-up learner takes its place.
    ///
    /// The mark expires, because a voter that was restarted instead is not replaced.
    pub(super) fn release(&mut self, id: id::Replica, now: Instant) {
        let deadline = now + self.config.release_timeout;
        let is_voter = self.log.members().role(id) == Some(Role::Voter);
        if is_voter && let State::Leader(leader) = &mut self.state {
            leader.stopping.insert(id, deadline);
        }
    }

    fn next_repair(
        &self,
        successor: Option<id::Replica>,
        now: Instant,
    ) -> Option<(Change, Reason)> {
        let members = self.log.members();
        let voters = members.with_role(Role::Voter).count();
        let stopping = || members.with_role(Role::Voter).find(|&id| self.is_stopping(id, now));
        let silent = |role| members.with_role(role).find(|&id| self.is_silent(id, now));
        if voters > self.config.voters {
            let surplus = || Some((self.most_concentrated()?, Reason::Surplus));
            let stopping = stopping().map(|id| (id, Reason::Stopping));
            let silent = || silent(Role::Voter).map(|id| (id, Reason::Silent));
            let (id, reason) = stopping.or_else(silent).or_else(surplus)?;
            return Some((Change::Remove(id), reason));
        }
        let silent_learner = || {
            let id = silent(Role::Learner)?;
            Some((Change::Remove(id), Reason::Silent))
        };
        let Some(successor) = successor else {
            return silent_learner();
        };
        if voters < self.config.voters {
            Some((Change::Promote(successor), Reason::Vacant))
        } else if stopping().is_some() {
            Some((Change::Promote(successor), Reason::Stopping))
        } else if let Some(id) = silent(Role::Voter) {
            Some((Change::Remove(id), Reason::Silent))
        } else if self.would_spread(successor, now) {
            Some((Change::Promote(successor), Reason::Concentrated))
        } else {
            silent_learner()
        }
    }

    /// A voter that stops or is silent, unless there is one voter too many already.
    fn ending_voter(&self, now: Instant) -> Option<id::Replica> {
        let is_ending = |&id: &id::Replica| self.is_stopping(id, now) || self.is_silent(id, now);
        let voters = || self.log.members().with_role(Role::Voter);
        voters().find(is_ending).filter(|_| voters().count() <= self.config.voters)
    }

    fn is_silent(&self, id: id::Replica, now: Instant) -> bool {
        let progress = self.progress(id);
        let limit = self.config.replace_after;
        progress.zip(limit).is_some_and(|(progress, limit)| progress.silence(now) >= limit)
    }

    fn is_stopping(&self, id: id::Replica, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        leader.stopping.get(&id).is_some_and(|&deadline| now < deadline)
    }

    /// A caught-up learner, in the region with the fewest voters.
    fn successor(&self, now: Instant) -> Option<id::Replica> {
        let learners = self.log.members().with_role(Role::Learner);
        let voters = self.voters_by_region();
        learners
            .filter(|&id| self.is_caught_up(id, now) && !self.is_stopping(id, now))
            .min_by_key(|id| self.regions.get(id).and_then(|region| voters.get(region).copied()))
    }

    /// Whether a majority of the voters is in one region, and fewer would be if the learner took the place of one.
    fn would_spread(&self, learner: id::Replica, now: Instant) -> bool {
        let members = self.log.members();
        let voters = self.voters_by_region();
        let most = voters.values().copied().max().unwrap_or(0);
        let Some(region) = self.regions.get(&learner) else { return false };
        let there = voters.get(region).copied().unwrap_or(0);
        let all_respond = members.with_role(Role::Voter).all(|id| self.is_usable(id, now));
        most >= members.majority() && there + 1 < most && all_respond
    }

    /// The voter to remove from the region with the most voters; never this leader.
    fn most_concentrated(&self) -> Option<id::Replica> {
        let voters = self.voters_by_region();
        let others = self.log.members().with_role(Role::Voter).filter(|&id| id != self.id());
        others.max_by_key(|id| self.regions.get(id).and_then(|region| voters.get(region).copied()))
    }

    fn voters_by_region(&self) -> BTreeMap<&id::Region, usize> {
        let mut count = BTreeMap::new();
        for id in self.log.members().with_role(Role::Voter) {
            if let Some(region) = self.regions.get(&id) {
                *count.entry(region).or_default() += 1;
            }
        }
        count
    }
}
