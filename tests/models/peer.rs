//! One replica with its folder and its writes under way.

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::LazyLock;

use masticstream::consensus::Config;
use masticstream::consensus::Input;
use masticstream::consensus::Message;
use masticstream::consensus::Output;
use masticstream::consensus::Persist;
use masticstream::consensus::Replica;
use masticstream::consensus::Restored;
use masticstream::consensus::Snapshot;
use masticstream::consensus::timer::Timeout;
use masticstream::id;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use super::bounds::Group;
use super::disk::Disk;

/// Time stands still: timeouts are events.
pub static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// What can happen to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    Input(Input),
    Timeout(Timeout),
    Sync,
    /// The process ends after that many of its open writes, and starts again.
    Crash(usize),
    Snapshot,
    Install,
}

impl Event {
    /// The number that stands for this event.
    pub fn key(&self) -> u128 {
        match self {
            Self::Input(Input::Receive { from, message }) => key(&(from, message)),
            other => key(&format!("{other:?}")),
        }
    }
}

/// What others notice of it.
#[derive(Debug, Clone)]
pub enum Effect {
    Sent { to: id::Replica, message: Message },
    Led,
    Applied(Output),
    Read(Output),
}

/// A replica, its folder and what is not synced yet.
#[derive(Debug, Clone)]
pub struct Peer {
    pub config: Config,
    pub replica: Replica,
    pub disk: Disk,
    pub pending: Vec<Persist>,
    pub offered: Option<Snapshot>,
}

impl Peer {
    pub fn new(config: Config, restored: Restored) -> Self {
        let disk = Disk {
            hard: restored.hard,
            snapshot: restored.snapshot.clone(),
            log: restored.log.clone(),
        };
        let replica = Replica::new(config.clone(), restored, SmallRng::seed_from_u64(0), *NOW);
        Self { config, replica, disk, pending: Vec::new(), offered: None }
    }

    /// The number that stands for this state. Two states with the same number are taken for one.
    pub fn key(&self, group: &Group) -> u128 {
        let mut bytes = Bytes::default();
        self.replica.digest(&mut bytes, group.pre_votes);
        (&self.disk, &self.offered).hash(&mut bytes);
        for write in &self.pending {
            (&write.hard, &write.reset, write.truncate, &write.entries).hash(&mut bytes);
        }
        bytes.key()
    }

    /// Lets an event happen.
    pub fn act(&mut self, event: &Event, group: &Group) -> Vec<Effect> {
        let outputs = match event {
            Event::Input(input) => self.replica.step(input.clone(), *NOW),
            Event::Timeout(timeout) => self.replica.expire(*timeout, *NOW),
            Event::Sync => return self.sync(group),
            Event::Crash(writes) => return self.crash(*writes),
            Event::Snapshot => self.take_snapshot(),
            Event::Install => self.install(),
        };
        self.carry_out(outputs, group)
    }

    fn carry_out(&mut self, outputs: Vec<Output>, group: &Group) -> Vec<Effect> {
        let mut effects = Vec::new();
        for output in outputs {
            match output {
                Output::Persist(write) => self.pending.push(write),
                Output::Send { to, message } => effects.push(Effect::Sent { to, message }),
                Output::BecameLeader { .. } => effects.push(Effect::Led),
                Output::Apply(_) => effects.push(Effect::Applied(output)),
                Output::ReadReady { .. } => effects.push(Effect::Read(output)),
                Output::InstallSnapshot { snapshot, .. } => self.offered = Some(snapshot),
                _ => {}
            }
        }
        if group.synced && !self.pending.is_empty() {
            effects.extend(self.sync(group));
        }
        effects
    }

    fn sync(&mut self, group: &Group) -> Vec<Effect> {
        let writes = std::mem::take(&mut self.pending);
        writes.iter().for_each(|write| self.disk.write(write));
        let Some(last) = writes.last() else {
            return Vec::new();
        };
        let outputs = self.replica.step(Input::Persisted { sequence: last.sequence }, *NOW);
        self.carry_out(outputs, group)
    }

    fn crash(&mut self, writes: usize) -> Vec<Effect> {
        let written = &self.pending[..writes];
        written.iter().for_each(|write| self.disk.write(write));
        *self = Self::new(self.config.clone(), self.disk.restored());
        Vec::new()
    }

    /// The driver has synced a snapshot: from now on the folder starts with it.
    fn take_snapshot(&mut self) -> Vec<Output> {
        let outputs =
            self.replica.step(Input::SnapshotTaken { index: self.replica.applied() }, *NOW);
        self.disk.snapshot = self.replica.log().snapshot().clone();
        let through = outputs.iter().find_map(|output| match output {
            Output::Compact { through } => Some(*through),
            _ => None,
        });
        self.disk.log.retain(|entry| Some(entry.index()) > through);
        outputs
    }

    fn install(&mut self) -> Vec<Output> {
        match self.offered.take() {
            Some(snapshot) => self.replica.step(Input::SnapshotInstalled { snapshot }, *NOW),
            None => Vec::new(),
        }
    }
}

/// A hasher that keeps all it is fed, for a number of 128 bits: among ten million states, two that differ
/// share one with a probability below 1e-24.
#[derive(Debug, Default)]
pub struct Bytes(Vec<u8>);

impl Bytes {
    pub fn key(&self) -> u128 {
        xxh3_128(&self.0)
    }
}

impl Hasher for Bytes {
    fn finish(&self) -> u64 {
        self.key() as u64
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

/// The number that stands for a value.
pub fn key(value: &impl Hash) -> u128 {
    let mut bytes = Bytes::default();
    value.hash(&mut bytes);
    bytes.key()
}
