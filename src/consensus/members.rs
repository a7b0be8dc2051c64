//! Members of a group and membership changes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Refusal;
use crate::id;

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Holds the data, votes and may lead.
    Voter,
    /// Holds the data but does not vote.
    Learner,
    /// Votes by comparing log positions, holds no data and never leads.
    Witness,
}

impl Role {
    /// Its name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Voter => "voter",
            Self::Learner => "learner",
            Self::Witness => "witness",
        }
    }
}

/// A change of one member. Changing one at a time ensures that old and new majorities overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member that does not vote yet.
    AddLearner(id::Replica),
    /// Adds a witness.
    AddWitness(id::Replica),
    /// Turns a caught-up learner into a voter.
    Promote(id::Replica),
    /// Removes a member. It may rejoin as a learner with its folder intact.
    Remove(id::Replica),
}

impl Change {
    /// The member that it is about.
    pub const fn target(self) -> id::Replica {
        match self {
            Self::AddLearner(id) | Self::AddWitness(id) | Self::Promote(id) | Self::Remove(id) => {
                id
            }
        }
    }
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

    /// Adds a member or changes its role.
    #[must_use]
    pub fn with_member(mut self, id: id::Replica, role: Role) -> Self {
        self.0.insert(id, role);
        self
    }

    /// The role of a member.
    pub fn role(&self, id: id::Replica) -> Option<Role> {
        self.0.get(&id).copied()
    }

    /// Whether a replica is a member.
    pub fn contains(&self, id: id::Replica) -> bool {
        self.0.contains_key(&id)
    }

    /// Whether a replica votes, as a data voter or as the witness.
    pub fn votes(&self, id: id::Replica) -> bool {
        matches!(self.role(id), Some(Role::Voter | Role::Witness))
    }

    /// Whether there are no members, as in a replica that has not received any configuration.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All members, ordered by identity.
    pub fn iter(&self) -> impl Iterator<Item = (id::Replica, Role)> + '_ {
        self.0.iter().map(|(&id, &role)| (id, role))
    }

    /// The members with a role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = id::Replica> + '_ {
        self.iter().filter(move |&(_, r)| r == role).map(|(id, _)| id)
    }

    /// The voting members: data voters and the witness.
    pub fn voters(&self) -> impl Iterator<Item = id::Replica> + '_ {
        self.iter().filter(|&(_, role)| role != Role::Learner).map(|(id, _)| id)
    }

    /// The number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether a majority of the voters satisfies a condition.
    pub fn has_majority(&self, condition: impl Fn(id::Replica) -> bool) -> bool {
        self.voters().filter(|&id| condition(id)).count() >= self.majority()
    }

    /// Applies a change.
    pub fn with_change(&self, change: Change) -> Result<Self, Refusal> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(id) if !self.contains(id) => next.0.insert(id, Role::Learner),
            Change::AddWitness(id) if !self.contains(id) => {
                if self.with_role(Role::Witness).next().is_some() {
                    return Err(Refusal::WitnessExists);
                }
                next.0.insert(id, Role::Witness)
            }
            Change::Promote(id) if self.role(id) == Some(Role::Learner) => {
                next.0.insert(id, Role::Voter)
            }
            Change::Remove(id) if self.contains(id) => next.0.remove(&id),
            _ => return Err(Refusal::InvalidTarget),
        };
        if next.with_role(Role::Voter).next().is_none() {
            return Err(Refusal::InvalidTarget);
        }
        Ok(next)
    }
}

#[cfg(test)]
mod tests;
