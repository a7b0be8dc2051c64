//! A replica: its state and the handling of inputs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Body;
use super::Config;
use super::HardState;
use super::Input;
use super::Log;
use super::Members;
use super::Message;
use super::Output;
use super::Payload;
use super::Refusal;
use super::Repairs;
use super::Restored;
use super::Role;
use super::Token;
use super::fault::Fault;
use super::leader::Leader;
use super::timer::Timers;
use crate::id;
use crate::unit::Index;
use crate::unit::Sequence;
use crate::unit::Term;

/// The protocol role in the current term.
#[derive(Debug, Clone)]
pub(super) enum State {
    Follower {
        leader: Option<id::Replica>,
    },
    PreCandidate {
        granted: BTreeSet<id::Replica>,
        /// The votes in the current term, if it was a candidate before: they may be late.
        votes: BTreeSet<id::Replica>,
    },
    Candidate {
        granted: BTreeSet<id::Replica>,
    },
    Leader(Box<Leader>),
}

/// A message that waits for a write to be persisted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingSend {
    pub(super) after: Sequence,
    pub(super) to: id::Replica,
    pub(super) message: Message,
}

/// A replica of the log; a deterministic state machine, see the [module](super).
#[derive(Debug, Clone)]
pub struct Replica {
    pub(super) config: Config,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) state: State,
    /// Whether the leader was active within the minimum election timeout.
    pub(super) leader_recent: bool,
    pub(super) installing: bool,
    pub(super) snapshot_due: bool,
    pub(super) timers: Timers,
    /// The members last reported to the driver.
    pub(super) reported_members: Members,
    /// Where the members are, as far as the driver knows.
    pub(super) regions: BTreeMap<id::Replica, id::Region>,
    pub(super) repairs: Repairs,
    pub(super) pending_sends: VecDeque<PendingSend>,
    pub(super) outputs: Vec<Output>,
}

impl Replica {
    /// Creates a replica from its persisted state.
    pub fn new(config: Config, restored: Restored, mut rng: SmallRng, now: Instant) -> Self {
        let timers = Timers::new(&config, &mut rng, now);
        let log = Log::new(restored.snapshot, restored.log);
        let reported_members = log.members().clone();
        let commit = log.snapshot().position.index;
        // A snapshot may be of a later term than the persisted one, in which this replica has not
        // voted.
        let term = log.last().term;
        let hard =
            if restored.hard.term < term { HardState { term, vote: None } } else { restored.hard };
        Self {
            config,
            rng,
            hard,
            log,
            commit,
            applied: commit,
            state: State::Follower { leader: None },
            leader_recent: false,
            installing: false,
            snapshot_due: false,
            timers,
            reported_members,
            regions: BTreeMap::new(),
            repairs: Repairs::default(),
            pending_sends: VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    /// Handles one input and returns the resulting actions in order.
    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Output> {
        self.expire_leader(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Receive { from, message } => self.receive(from, message, now),
            Input::Propose { data, token } => self.propose(Payload::Data(data), token),
            Input::Read { token } => self.read(token),
            Input::Change { change, token } => self.propose_change(change, token, now),
            Input::Persisted { sequence } => self.handle_persisted(sequence),
            Input::SnapshotTaken { index } => self.compact(index, now),
            Input::SnapshotInstalled { snapshot } => self.install(snapshot),
            Input::SnapshotFailed => (self.installing, self.snapshot_due) = (false, false),
            Input::Transfer { to } => self.transfer(to, now),
            Input::Release { id } => self.release(id, now),
            Input::Regions(regions) => self.regions = regions,
        }
        self.track_writes(now);
        self.finish_step(now)
    }

    /// The replica's identity.
    pub const fn id(&self) -> id::Replica {
        self.config.id
    }

    /// The current term.
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// The known leader, which may be this replica.
    pub const fn leader(&self) -> Option<id::Replica> {
        match &self.state {
            State::Leader(_) => Some(self.config.id),
            State::Follower { leader } => *leader,
            State::PreCandidate { .. } | State::Candidate { .. } => None,
        }
    }

    /// Whether this replica is leader, to its knowledge.
    pub const fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// The commit index.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// The last index emitted for application.
    pub const fn applied(&self) -> Index {
        self.applied
    }

    /// The log.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// The time at which the next [`Input::Tick`] is due.
    pub fn deadline(&self) -> Instant {
        self.timers.deadline(self.is_leader())
    }

    /// This replica's role in the latest member list, committed or not.
    pub fn role(&self) -> Option<Role> {
        self.log.members().role(self.config.id)
    }

    /// Whether a fault is injected; always false outside tests.
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.config.fault == Some(fault)
    }

    pub(super) fn emit(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(super) fn reject(&mut self, token: Token, refusal: Refusal) {
        self.emit(Output::Rejected { token, refusal });
    }

    /// Sends a message immediately; only for messages that do not depend on pending writes.
    pub(super) fn send(&mut self, to: id::Replica, message: Message) {
        self.emit(Output::Send { to, message });
    }

    /// Sends a message once all changes up to the end of this step are persisted.
    ///
    /// A crash could otherwise lose a vote or acknowledgement that was already sent, and so lead to
    /// two leaders in one term or to a committed entry on too few replicas.
    pub(super) fn send_synced(&mut self, to: id::Replica, body: Body) {
        let message = Message::new(self.hard.term, body);
        self.pending_sends.push_back(PendingSend { after: Sequence::new(u64::MAX), to, message });
    }
}

#[cfg(test)]
mod tests;
