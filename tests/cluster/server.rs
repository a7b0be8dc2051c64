//! One process: a replica, its driver and its folder.

use std::collections::BTreeMap;
use std::time::Duration;

use masticstream::consensus::Config;
use masticstream::consensus::Entry;
use masticstream::consensus::Input;
use masticstream::consensus::Members;
use masticstream::consensus::Message;
use masticstream::consensus::Output;
use masticstream::consensus::Persist;
use masticstream::consensus::Position;
use masticstream::consensus::Replica;
use masticstream::consensus::Restored;
use masticstream::consensus::Snapshot;
use masticstream::id;
use masticstream::unit::Index;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::disk::Disk;
use super::oracle::Oracle;

/// The slowest sync of a write.
const SYNC: Duration = Duration::from_millis(30);

/// A synced snapshot: what it stands for, and the state machine.
pub type Saved = (Snapshot, Vec<Entry>);

/// A process and its folder.
pub struct Server {
    config: Config,
    replica: Replica,
    disk: Disk,
    saved: Saved,
    /// The state machine: all that was applied.
    machine: Vec<Entry>,
    writes: Vec<(Instant, Persist)>,
    proposed: BTreeMap<Index, Position>,
    /// The snapshot to fetch, and whom from.
    pub wanted: Option<id::Replica>,
    /// The snapshot that is being copied, and when all of it is here.
    pub copying: Option<(Instant, Saved)>,
    pub outgoing: Vec<(id::Replica, Message)>,
    /// Until when the process is down, or stands still with its memory intact.
    pub down: Option<Instant>,
    pub frozen: Option<Instant>,
    /// The slowest sync of a write.
    slowest_sync: Duration,
    /// Whether writes that wait for a sync share the next one; else their syncs overlap.
    shares_syncs: bool,
    /// Until when the disk answers nothing.
    stalled: Option<Instant>,
}

impl Server {
    pub fn new(config: Config, members: Members, now: Instant) -> Self {
        let disk = Disk {
            snapshot: Snapshot { position: Position::default(), members },
            ..Disk::default()
        };
        let saved = (disk.snapshot.clone(), Vec::new());
        let replica =
            Replica::new(config.clone(), disk.restored(), SmallRng::seed_from_u64(0), now);
        Self {
            config,
            replica,
            disk,
            saved,
            machine: Vec::new(),
            writes: Vec::new(),
            proposed: BTreeMap::new(),
            wanted: None,
            copying: None,
            outgoing: Vec::new(),
            down: None,
            frozen: None,
            slowest_sync: SYNC,
            shares_syncs: false,
            stalled: None,
        }
    }

    /// From now on the slowest sync takes that long.
    pub const fn slow_down(&mut self, slowest_sync: Duration) {
        self.slowest_sync = slowest_sync;
    }

    /// From now on there is one sync at a time.
    pub const fn share_syncs(&mut self) {
        self.shares_syncs = true;
    }

    /// The disk answers nothing until then, also to what it has been asked before.
    pub fn stall(&mut self, until: Instant) {
        self.stalled = Some(until);
        self.writes.iter_mut().for_each(|(at, _)| *at = until.max(*at));
    }

    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The state machine as it is now, which is what other replicas copy.
    pub fn state(&self) -> Saved {
        let applied = self.replica.applied();
        let log = self.replica.log();
        let position =
            log.position(applied).expect("applied entries are in the log or its snapshot");
        let members = log.members_at(applied).clone();
        (Snapshot { position, members }, self.machine.clone())
    }

    pub fn machine(&self) -> &[Entry] {
        &self.machine
    }

    pub const fn is_running(&self) -> bool {
        self.down.is_none() && self.frozen.is_none()
    }

    /// Steps the replica and carries out what it asks for.
    pub fn step(&mut self, input: Input, now: Instant, rng: &mut SmallRng, oracle: &mut Oracle) {
        for output in self.replica.step(input, now) {
            self.carry_out(output, now, rng, oracle);
        }
    }

    fn carry_out(&mut self, output: Output, now: Instant, rng: &mut SmallRng, oracle: &mut Oracle) {
        match output {
            Output::Persist(write) => {
                let earliest = self.writes.last().map_or(now, |(at, _)| *at);
                let earliest = self.stalled.map_or(earliest, |until| until.max(earliest));
                let took = self.slowest_sync.mul_f64(rng.random());
                let synced = if self.shares_syncs { self.next_sync(now, took) } else { now + took };
                self.writes.push((earliest.max(synced), write));
            }
            Output::Send { to, message } => self.outgoing.push((to, message)),
            Output::Apply(entries) => entries.iter().for_each(|entry| self.apply(entry, oracle)),
            Output::Appended { position, .. } => {
                self.proposed.insert(position.index, position);
            }
            Output::ReadReady { token, .. } => oracle.answer(token, self.replica.applied()),
            Output::InstallSnapshot { from, .. } => {
                (self.wanted, self.copying) = (Some(from), None);
            }
            Output::SnapshotDue { index } => self.save(index, now, rng, oracle),
            Output::Compact { through } => self.disk.log.retain(|entry| entry.index() > through),
            Output::BecameLeader { term } => oracle.lead(term, self.replica.id()),
            Output::SteppedDown { .. } => self.proposed.clear(),
            Output::Rejected { .. } | Output::LeaderChanged { .. } | Output::MembersChanged(_) => {}
        }
    }

    /// When the sync of another write is over: the next one, if there is one under way.
    fn next_sync(&self, now: Instant, took: Duration) -> Instant {
        let first = self.writes.first().map(|(at, _)| *at);
        let last = self.writes.last().map(|(at, _)| *at);
        match first.zip(last) {
            None => now + took,
            Some((first, last)) if last > first => last,
            Some((first, _)) => first + took,
        }
    }

    fn apply(&mut self, entry: &Entry, oracle: &mut Oracle) {
        oracle.apply(entry);
        self.machine.push(entry.clone());
        if self.proposed.remove(&entry.index()) == Some(entry.position) {
            oracle.accept(entry.position);
        }
    }

    fn save(&mut self, index: Index, now: Instant, rng: &mut SmallRng, oracle: &mut Oracle) {
        assert_eq!(self.machine.len() as u64, index.get());
        let outputs = self.replica.step(Input::SnapshotTaken { index }, now);
        self.saved = (self.replica.log().snapshot().clone(), self.machine.clone());
        self.disk.snapshot = self.saved.0.clone();
        outputs.into_iter().for_each(|output| self.carry_out(output, now, rng, oracle));
    }

    /// Lets the writes that are due be synced.
    pub fn sync(&mut self, now: Instant, rng: &mut SmallRng, oracle: &mut Oracle) {
        let due = self.writes.iter().take_while(|(at, _)| *at <= now).count();
        let written: Vec<Persist> = self.writes.drain(..due).map(|(_, write)| write).collect();
        written.iter().for_each(|write| self.disk.write(write));
        if let Some(last) = written.last() {
            self.step(Input::Persisted { sequence: last.sequence }, now, rng, oracle);
        }
    }

    /// Takes over a fetched snapshot, if it is newer than what is applied.
    pub fn install(
        &mut self,
        fetched: Option<Saved>,
        now: Instant,
        rng: &mut SmallRng,
        oracle: &mut Oracle,
    ) {
        let Some(saved) =
            fetched.filter(|(snapshot, _)| snapshot.position.index > self.replica.applied())
        else {
            return self.step(Input::SnapshotFailed, now, rng, oracle);
        };
        oracle.compare(&saved.1);
        self.machine = saved.1.clone();
        self.disk.snapshot = saved.0.clone();
        self.saved = saved;
        let snapshot = self.saved.0.clone();
        self.step(Input::SnapshotInstalled { snapshot }, now, rng, oracle);
    }

    /// The process ends: some of the writes under way reach the disk, in order, and the rest is lost.
    pub fn crash(&mut self, until: Instant, rng: &mut SmallRng) {
        let reached = rng.random_range(0..=self.writes.len());
        self.writes.drain(..reached).for_each(|(_, write)| self.disk.write(&write));
        self.down = Some(until);
    }

    /// The process starts from its folder.
    pub fn restart(&mut self, now: Instant, rng: &mut SmallRng) {
        let restored: Restored = self.disk.restored();
        assert_eq!(restored.verify(), Ok(()));
        self.replica = Replica::new(self.config.clone(), restored, SmallRng::from_rng(rng), now);
        self.machine = self.saved.1.clone();
        self.writes.clear();
        self.proposed.clear();
        self.outgoing.clear();
        self.wanted = None;
        self.copying = None;
        self.down = None;
        self.frozen = None;
    }
}
