//! Messages between replicas.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use super::Position;
use super::Snapshot;
use crate::unit::Index;
use crate::unit::Round;
use crate::unit::Term;

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; of a pre-vote and its grant, the term that the election would have.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

impl Message {
    /// A message of a term.
    pub const fn new(term: Term, body: Body) -> Self {
        Self { term, body }
    }
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election could be won, and changes nothing.
    PreVote {
        /// The end of the asker's log.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The end of the candidate's log.
        last: Position,
    },
    /// Answers a request for a vote.
    VoteAnswer {
        /// Whether the vote is given.
        granted: bool,
    },
    /// The leader's entries; without entries, its heartbeat.
    Append {
        /// The entry before the first one.
        previous: Position,
        /// The entries that follow it.
        entries: Vec<Entry>,
        /// How far the log is committed.
        commit: Index,
        /// The leader's round, given back in the answer.
        round: Round,
    },
    /// The follower holds the leader's log, durably, up to an index.
    Matched {
        /// That index.
        index: Index,
        /// Whether the follower is a witness, whatever the leader takes it for.
        witness: bool,
        /// The round of the message that this answers.
        round: Round,
    },
    /// The follower lacks the entry before the first one, or disagrees on it.
    Mismatched {
        /// The last index at which the two logs may agree.
        hint: Index,
        /// Whether the follower is a witness, whatever the leader takes it for.
        witness: bool,
        /// The round of the message that this answers.
        round: Round,
    },
    /// The leader no longer has the entries that the follower needs: take this snapshot instead.
    Snapshot {
        /// What the snapshot holds; its data goes another way.
        snapshot: Snapshot,
        /// The leader's round, given back in the answer.
        round: Round,
    },
    /// The follower hears the leader and is still fetching its snapshot.
    Installing {
        /// The round of the message that this answers.
        round: Round,
    },
    /// An append or snapshot came from an earlier term: there is a later one.
    Stale,
    /// The leader hands over: start an election at once.
    TimeoutNow,
}
