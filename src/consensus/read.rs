//! Linearizable reads, confirmed by a round of heartbeats.

use super::Output;
use super::Refusal;
use super::Replica;
use super::Token;
use super::fault::Fault;
use super::replica::State;
use crate::unit::Index;
use crate::unit::Round;

/// A read waiting for its heartbeat round and for its index to be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Read {
    pub(super) token: Token,
    index: Index,
    round: Round,
}

impl Replica {
    /// Queues a read until the next heartbeat round confirms the leadership.
    ///
    /// A partitioned leader may be unaware of its successor. Answering at once could return a state
    /// older than a change already acknowledged to the caller.
    pub(super) fn read(&mut self, token: Token) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return self.reject(token, Refusal::NotLeader { leader: self.leader() });
        };
        // Until an entry of its term is committed, a leader may not know the latest commit index.
        let index = commit.max(leader.term_start);
        let idle = leader.round == leader.confirmed;
        leader.reads.push(Read { token, index, round: leader.round.next() });
        // Reads received during a round are confirmed by the next one.
        if idle {
            self.begin_round();
            self.send_round();
        }
    }

    pub(super) fn begin_round(&mut self) {
        if let State::Leader(leader) = &mut self.state {
            leader.round = leader.round.next();
        }
        self.confirm_round();
    }

    fn send_round(&mut self) {
        for to in self.other_voters() {
            self.send_entries(to, true);
        }
    }

    /// Confirms the round that a majority has answered.
    ///
    /// None of that majority had entered a later term when it answered, so no later leader had
    /// committed anything before the round began.
    pub(super) fn confirm_round(&mut self) {
        let own_id = self.id();
        let unconfirmed = self.has_fault(Fault::UnconfirmedRead);
        let members = self.log.members();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut answered: Vec<Round> = members
            .voters()
            .map(|id| {
                if id == own_id {
                    leader.round
                } else {
                    leader.progress.get(&id).map_or(Round::ZERO, |p| p.round)
                }
            })
            .collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let round =
            if unconfirmed { Some(&leader.round) } else { answered.get(members.majority() - 1) };
        leader.confirmed = leader.confirmed.max(round.copied().unwrap_or(Round::ZERO));
        let waiting = leader.reads.iter().any(|read| read.round > leader.round);
        if waiting && leader.confirmed == leader.round {
            leader.round = leader.round.next();
            self.send_round();
        }
    }

    /// Emits the reads that are confirmed and whose index is applied.
    pub(super) fn finish_reads(&mut self) {
        let applied = self.applied;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let confirmed = leader.confirmed;
        let ready: Vec<Read> =
            leader.reads.extract_if(.., |r| r.round <= confirmed && r.index <= applied).collect();
        for Read { token, index, .. } in ready {
            self.emit(Output::ReadReady { token, index });
        }
    }
}
