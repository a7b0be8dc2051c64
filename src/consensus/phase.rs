//! Where a replica stands in the protocol, for operators.

use std::fmt;

use serde::Serialize;
use tokio::time::Instant;

use super::Replica;
use super::replica::State;

/// The protocol state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Follower => "follower",
            Self::PreCandidate => "pre-candidate",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        })
    }
}

impl Replica {
    /// The protocol state.
    pub const fn phase(&self) -> Phase {
        match &self.state {
            State::Follower { .. } => Phase::Follower,
            State::PreCandidate { .. } => Phase::PreCandidate,
            State::Candidate { .. } => Phase::Candidate,
            State::Leader(_) => Phase::Leader,
        }
    }

    /// The last contact with another leader since the start.
    pub fn leader_contact(&self) -> Option<Instant> {
        self.timers.leader_contact(&self.config)
    }
}
