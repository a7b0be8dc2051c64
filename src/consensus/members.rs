//! The members of a group and the changes to them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Refusal;
use crate::id;

/// What a member does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Holds the data, votes and may lead.
    Voter,
    /// Holds the data and does not vote yet.
    Learner,
    /// Votes on terms and indexes, holds no data and never leads.
    Witness,
}

/// A change of one member, so that each majority before it and each one after it share a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Takes in a newcomer that does not vote yet.
    AddLearner(id::Replica),
    /// Takes in a witness.
    AddWitness(id::Replica),
    /// Makes a learner that is caught up a voter.
    Promote(id::Replica),
    /// Lets a member go. With its folder intact it may come back as a learner.
    Remove(id::Replica),
}

/// The members of a group, by identity.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Members(BTreeMap<id::Replica, Role>);

impl Members {
    /// A group of data voters.
    pub fn new(voters: impl IntoIterator<Item = id::Replica>) -> Self {
        Self(voters.into_iter().map(|id| (id, Role::Voter)).collect())
    }

    /// The same with one more member, or with another role for it.
    #[must_use]
    pub fn with_member(mut self, id: id::Replica, role: Role) -> Self {
        self.0.insert(id, role);
        self
    }

    /// The role of a member.
    pub fn role(&self, id: id::Replica) -> Option<Role> {
        self.0.get(&id).copied()
    }

    /// Whether that identity is a member at all.
    pub fn contains(&self, id: id::Replica) -> bool {
        self.0.contains_key(&id)
    }

    /// Whether that identity votes, as a data voter or as the witness.
    pub fn votes(&self, id: id::Replica) -> bool {
        matches!(self.role(id), Some(Role::Voter | Role::Witness))
    }

    /// Whether there is no member: the log has not told yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All members in order of identity.
    pub fn iter(&self) -> impl Iterator<Item = (id::Replica, Role)> + '_ {
        self.0.iter().map(|(&id, &role)| (id, role))
    }

    /// The members with that role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = id::Replica> + '_ {
        self.iter().filter(move |&(_, r)| r == role).map(|(id, _)| id)
    }

    /// All that vote: the data voters and the witness.
    pub fn voters(&self) -> impl Iterator<Item = id::Replica> + '_ {
        self.iter().filter(|&(_, role)| role != Role::Learner).map(|(id, _)| id)
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether more than half of the voters hold to the condition.
    pub fn has_majority(&self, condition: impl Fn(id::Replica) -> bool) -> bool {
        self.voters().filter(|&id| condition(id)).count() >= self.majority()
    }

    /// The members after a change.
    pub fn changed(&self, change: Change) -> Result<Self, Refusal> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(id) if !self.contains(id) => next.0.insert(id, Role::Learner),
            Change::AddWitness(id) if !self.contains(id) => {
                if self.with_role(Role::Witness).next().is_some() {
                    return Err(Refusal::SecondWitness);
                }
                next.0.insert(id, Role::Witness)
            }
            Change::Promote(id) if self.role(id) == Some(Role::Learner) => {
                next.0.insert(id, Role::Voter)
            }
            Change::Remove(id) if self.contains(id) => next.0.remove(&id),
            _ => return Err(Refusal::Unsuitable),
        };
        if next.with_role(Role::Voter).next().is_none() {
            return Err(Refusal::Unsuitable);
        }
        Ok(next)
    }
}

#[cfg(test)]
mod tests;
