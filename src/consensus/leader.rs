//! Leader: heartbeats and log replication.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Body;
use super::Entry;
use super::Message;
use super::Output;
use super::Payload;
use super::Position;
use super::Refusal;
use super::Replica;
use super::Role;
use super::Snapshot;
use super::Token;
use super::fault::Fault;
use super::progress::Mode;
use super::progress::Progress;
use super::read::Read;
use super::replica::State;
use super::transfer::Transfer;
use crate::id;
use crate::unit::Index;
use crate::unit::Round;

/// Leader-only state.
#[derive(Debug, Clone)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<id::Replica, Progress>,
    /// The index of the first entry of the leader's term.
    pub(super) term_start: Index,
    /// The last heartbeat round started, and the last one that a majority answered.
    pub(super) round: Round,
    pub(super) confirmed: Round,
    pub(super) reads: Vec<Read>,
    pub(super) transfer: Option<Transfer>,
    /// Voters that are about to stop, and when that is no longer assumed.
    pub(super) stopping: BTreeMap<id::Replica, Instant>,
    /// The commit indexes at the heartbeats of the last election timeout, the latest one last.
    pub(super) heartbeat_commits: VecDeque<Index>,
    /// The last index sent to the witness.
    pub(super) witness_sent: Index,
}

impl Leader {
    /// The commit index at the last heartbeat.
    pub(super) fn heartbeat_commit(&self) -> Index {
        self.heartbeat_commits.back().copied().unwrap_or(Index::ZERO)
    }

    /// Whether a member answers, and has persisted what was committed an election timeout ago.
    ///
    /// A member at a distance or with a slow disk never holds all that is committed at this moment while changes come
    /// in quick series. Safety does not depend on the limit: commits that wait for this member are late by as much as
    /// it lags, and should not be late by more than an election.
    pub(super) fn keeps_up(&self, id: id::Replica, limit: Duration, now: Instant) -> bool {
        // What a restarted leader knows as committed at its election may be far behind.
        let recent = self.heartbeat_commits.front().copied().max(Some(self.term_start));
        self.progress.get(&id).is_some_and(|progress| {
            progress.silence(now) < limit && Some(progress.matched) >= recent
        })
    }
}

impl Replica {
    /// Becomes leader and appends a no-op of the current term, which allows entries of earlier
    /// terms to be committed.
    pub(super) fn become_leader(&mut self, now: Instant) {
        let last = self.log.last().index;
        let others = self.log.members().iter().map(|(id, _)| id).filter(|&id| id != self.id());
        let leader = Leader {
            progress: others.map(|id| (id, Progress::new(last, now))).collect(),
            term_start: last.next(),
            round: Round::ZERO,
            confirmed: Round::ZERO,
            reads: Vec::new(),
            transfer: None,
            stopping: BTreeMap::new(),
            heartbeat_commits: VecDeque::from([self.commit]),
            witness_sent: Index::ZERO,
        };
        self.state = State::Leader(Box::new(leader));
        self.emit(Output::BecameLeader { term: self.hard.term });
        self.emit(Output::LeaderChanged { leader: Some(self.id()) });
        self.restart_heartbeat(now);
        self.restart_quorum(now);
        self.append(Payload::Empty);
        self.send_all();
    }

    /// Whether an entry of the current term is committed.
    pub(super) fn is_ready(&self) -> bool {
        matches!(&self.state, State::Leader(leader) if leader.term_start <= self.commit)
    }

    pub(super) fn append(&mut self, payload: Payload) -> Position {
        let position = Position::new(self.log.last().index.next(), self.hard.term);
        self.log.append(Entry::new(position, payload));
        position
    }

    pub(super) fn propose(&mut self, payload: Payload, token: Token) {
        let refusal = match &self.state {
            State::Leader(leader) if leader.transfer.is_some() => Some(Refusal::TransferInProgress),
            State::Leader(_) if self.log.bytes() > self.config.log_bytes => Some(Refusal::LogFull),
            State::Leader(_) => None,
            _ => Some(Refusal::NotLeader { leader: self.leader() }),
        };
        if let Some(refusal) = refusal {
            return self.reject(token, refusal);
        }
        let position = self.append(payload);
        self.emit(Output::Appended { token, position });
        self.send_all();
    }

    pub(super) fn send_all(&mut self) {
        for to in self.others() {
            self.send_entries(to, false);
        }
    }

    fn others(&self) -> Vec<id::Replica> {
        match &self.state {
            State::Leader(leader) => leader.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Sends every member a heartbeat, with entries if the send window allows.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        self.restart_heartbeat(now);
        self.begin_round();
        let commit = self.commit;
        let kept = self.config.heartbeats_per_election();
        if let State::Leader(leader) = &mut self.state {
            leader.heartbeat_commits.push_back(commit);
            let excess = leader.heartbeat_commits.len().saturating_sub(kept);
            leader.heartbeat_commits.drain(..excess);
        }
        for to in self.others() {
            self.send_entries(to, true);
        }
    }

    /// Sends as many entries as the send window allows; for a heartbeat, at least an empty message.
    pub(super) fn send_entries(&mut self, to: id::Replica, heartbeat: bool) {
        if let Some(progress) = self.progress_mut(to)
            && heartbeat
        {
            progress.resume_probe();
        }
        let was_copying = self.is_copying(to);
        let mut nothing_sent = true;
        while let Some(body) = self.next_append(to) {
            nothing_sent = false;
            self.send(to, Message::new(self.hard.term, body));
        }
        let is_offer_new = !was_copying && self.is_copying(to);
        if nothing_sent
            && (heartbeat || is_offer_new)
            && let Some(body) = self.heartbeat(to)
        {
            self.send(to, Message::new(self.hard.term, body));
        }
    }

    fn progress_mut(&mut self, id: id::Replica) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leader) => leader.progress.get_mut(&id),
            _ => None,
        }
    }

    /// Whether a member is to copy a snapshot.
    fn is_copying(&self, id: id::Replica) -> bool {
        self.progress(id).is_some_and(|progress| progress.mode == Mode::Snapshot)
    }

    /// The next message with entries, or an empty probe, if one may be sent.
    fn next_append(&mut self, to: id::Replica) -> Option<Body> {
        let limit = self.send_limit(to);
        let witness = self.log.members().role(to) == Some(Role::Witness);
        let with_data = !witness || self.has_fault(Fault::DataToWitness);
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.progress.get_mut(&to)?;
        let before = progress.next.saturating_sub(Index::new(1));
        let Some(previous) = self.log.position(before) else {
            // What follows the snapshot that is being copied may have been dropped.
            let is_current = |offered: &Snapshot| {
                self.log.position(offered.position.index) == Some(offered.position)
            };
            if !progress.offered().is_some_and(is_current) {
                progress.enter_snapshot_mode(self.log.snapshot().clone());
            }
            return None;
        };
        let pending = progress.next <= limit || matches!(progress.mode, Mode::Probe { .. });
        if !pending || !progress.can_send(&self.config) {
            return None;
        }
        let mut entries = self.log.slice(progress.next, limit, self.config.append_bytes);
        let last = entries.last().map_or(before, Entry::index);
        progress.record_sent(last, entries.iter().map(Entry::size).sum());
        if witness {
            leader.witness_sent = leader.witness_sent.max(last.min(limit));
        }
        if !with_data {
            entries = entries.iter().map(Entry::without_data).collect();
        }
        Some(Body::Append { previous, entries, commit: self.commit, round: leader.round })
    }

    /// A message without entries: the offer of a snapshot if the member needs one, else an empty
    /// append.
    fn heartbeat(&self, to: id::Replica) -> Option<Body> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let progress = leader.progress.get(&to)?;
        let round = leader.round;
        if let Some(snapshot) = progress.offered() {
            return Some(Body::Snapshot { snapshot: snapshot.clone(), round });
        }
        let snapshot = self.log.snapshot();
        let before = progress.next.saturating_sub(Index::new(1));
        let previous = self.log.position(before).unwrap_or(snapshot.position);
        Some(Body::Append { previous, entries: Vec::new(), commit: self.commit, round })
    }
}
