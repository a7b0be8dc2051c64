//! One member of a group: its state, its steps and what each step asks for.

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

/// What a replica is doing in its term.
#[derive(Debug, Clone)]
pub(super) enum State {
    Follower { leader: Option<id::Replica> },
    PreCandidate { granted: BTreeSet<id::Replica> },
    Candidate { granted: BTreeSet<id::Replica> },
    Leader(Box<Leader>),
}

/// A message that waits until a write is synced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) until: Sequence,
    pub(super) to: id::Replica,
    pub(super) message: Message,
}

/// A replica of the log. Pure: see the [module](super).
#[derive(Debug, Clone)]
pub struct Replica {
    pub(super) config: Config,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) state: State,
    /// Whether a leader was heard of within the shortest election timeout.
    pub(super) leader_recent: bool,
    pub(super) installing: bool,
    pub(super) snapshot_due: bool,
    pub(super) timers: Timers,
    /// The members that the driver was last told of.
    pub(super) announced: Members,
    pub(super) held: VecDeque<Held>,
    pub(super) outputs: Vec<Output>,
}

impl Replica {
    /// A replica that starts from its durable state.
    pub fn new(config: Config, restored: Restored, mut rng: SmallRng, now: Instant) -> Self {
        let timers = Timers::new(&config, &mut rng, now);
        let log = Log::new(restored.snapshot, restored.log);
        let announced = log.members().clone();
        let commit = log.snapshot().position.index;
        // A snapshot may come from a term that this replica had not entered on disk yet; it never voted in it.
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
            announced,
            held: VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    /// Takes one input at a time and returns what is to be done, in order.
    pub fn step(&mut self, input: Input, now: Instant) -> Vec<Output> {
        self.age_leader(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Receive { from, message } => self.receive(from, message, now),
            Input::Propose { data, token } => self.propose(Payload::Data(data), token),
            Input::Read { token } => self.read(token),
            Input::Change { change, token } => self.change(change, token, now),
            Input::Persisted { sequence } => self.persisted(sequence),
            Input::SnapshotTaken { index } => self.compact(index),
            Input::SnapshotInstalled { snapshot } => self.install(snapshot),
            Input::SnapshotFailed => (self.installing, self.snapshot_due) = (false, false),
            Input::Transfer { to } => self.transfer(to, now),
        }
        self.finish(now)
    }

    /// The identity.
    pub const fn id(&self) -> id::Replica {
        self.config.id
    }

    /// The current term.
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader that this replica knows of, itself included.
    pub const fn leader(&self) -> Option<id::Replica> {
        match &self.state {
            State::Leader(_) => Some(self.config.id),
            State::Follower { leader } => *leader,
            State::PreCandidate { .. } | State::Candidate { .. } => None,
        }
    }

    /// Whether this replica leads, as far as it knows.
    pub const fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// The last index known to be committed.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// The last index given out to be applied.
    pub const fn applied(&self) -> Index {
        self.applied
    }

    /// The log.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// When the next [`Input::Tick`] is due.
    pub fn deadline(&self) -> Instant {
        self.timers.deadline(self.is_leader())
    }

    /// This replica's role, as of the end of its log.
    pub fn role(&self) -> Option<Role> {
        self.log.members().role(self.config.id)
    }

    /// Whether a fault is planted; never outside tests.
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.config.fault == Some(fault)
    }

    pub(super) fn emit(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(super) fn reject(&mut self, token: Token, refusal: Refusal) {
        self.emit(Output::Rejected { token, refusal });
    }

    /// Sends at once: only what rests on nothing that is still to be synced.
    pub(super) fn send(&mut self, to: id::Replica, message: Message) {
        self.emit(Output::Send { to, message });
    }

    /// Sends once all that changed up to the end of this step is synced.
    ///
    /// A vote or acknowledgement that leaves before its write can be forgotten in a crash: a second
    /// vote in the same term then makes two leaders, and a committed entry is on too few replicas.
    pub(super) fn send_synced(&mut self, to: id::Replica, body: Body) {
        let message = Message::new(self.hard.term, body);
        self.held.push_back(Held { until: Sequence::new(u64::MAX), to, message });
    }
}

#[cfg(test)]
mod tests;
