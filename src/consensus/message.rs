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
    /// The sender's term, or for a pre-vote and its grant, the term of the prospective election.
    pub term: Term,
    /// The content.
    pub body: Body,
}

impl Message {
    /// Creates a message.
    pub const fn new(term: Term, body: Body) -> Self {
        Self { term, body }
    }
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the sender could win an election, without changing any state.
    PreVote {
        /// The position of the sender's last entry.
        last: Position,
    },
    /// Response to a pre-vote.
    PreVoteAnswer {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Vote request.
    Vote {
        /// The position of the candidate's last entry.
        last: Position,
    },
    /// Response to a vote request.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append, or a heartbeat if there are none.
    Append {
        /// The position of the entry before the first one.
        previous: Position,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's heartbeat round, echoed in the response.
        round: Round,
    },
    /// The follower has persisted the leader's log up to an index.
    Matched {
        /// The last matching index.
        index: Index,
        /// Whether the follower is a witness, regardless of its role in the leader's member list.
        witness: bool,
        /// The round of the message being answered.
        round: Round,
    },
    /// The follower lacks the previous entry or has a conflicting one.
    Mismatched {
        /// The last index at which the logs may match.
        hint: Index,
        /// Whether the follower is a witness, regardless of its role in the leader's member list.
        witness: bool,
        /// The round of the message being answered.
        round: Round,
    },
    /// Offers a snapshot, because the leader no longer has the entries that the follower needs.
    Snapshot {
        /// The snapshot's position and members; the data is transferred separately.
        snapshot: Snapshot,
        /// The leader's heartbeat round, echoed in the response.
        round: Round,
    },
    /// The follower is still fetching the snapshot.
    Installing {
        /// The round of the message being answered.
        round: Round,
    },
    /// Response to an append or snapshot of an earlier term.
    Stale,
    /// Leadership transfer: requests that the recipient start an election at once.
    TimeoutNow,
}
