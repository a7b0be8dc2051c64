//! Faults injected by tests to show that the model checker detects them.

/// A protocol violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Commits entries of earlier terms by counting replicas.
    CommitEarlierTerm,
    /// Changes members before an entry of the current term is committed.
    EarlyChange,
    /// Votes without being in a member list, like a replica that lost its folder.
    VoteWithoutMembers,
    /// Counts learners towards the commit quorum.
    CountLearner,
    /// Acknowledges and counts entries before they are persisted.
    CountUnsynced,
    /// Sends entries to the witness before all responsive data voters have persisted them.
    EarlyWitness,
    /// Votes twice in a term.
    VoteTwice,
    /// Votes for candidates whose log is behind its own.
    VoteForStale,
    /// Sends data to the witness.
    DataToWitness,
    /// Answers reads without confirming its leadership.
    UnconfirmedRead,
}
