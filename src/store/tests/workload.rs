//! A store under test and its expected state.

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::super::Error;
use super::super::Storage;
use super::faulty::FaultyDisk;
use crate::consensus::Entry;
use crate::consensus::HardState;
use crate::consensus::Members;
use crate::consensus::Payload;
use crate::consensus::Persist;
use crate::consensus::Position;
use crate::consensus::Snapshot;
use crate::id;
use crate::unit::Index;
use crate::unit::Sequence;
use crate::unit::Term;

/// Small enough for a short workload to close several segments.
const SEGMENT_BYTES: usize = 300;

/// An operation of the store's driver.
#[derive(Debug, Clone, Copy)]
pub enum Operation {
    /// Appends entries, replacing the last few in a new term.
    Append { count: u64, replaced: u64 },
    /// Votes in a new term.
    Vote,
    /// Takes a snapshot of all entries and compacts the log except for a tail.
    Snapshot { kept: u64 },
    /// Installs a leader's snapshot at an offset from the end of the log, which conflicts with the
    /// log and resets it.
    Install { ahead: i64 },
}

/// The state that the store must recover.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    pub hard: HardState,
    pub snapshot: Snapshot,
    pub data: Option<Vec<u8>>,
    pub entries: Vec<Entry>,
}

impl State {
    fn last(&self) -> u64 {
        let last = self.entries.last().map_or(self.snapshot.position.index, Entry::index);
        last.get().max(self.snapshot.position.index.get())
    }

    /// The state without entries covered by the snapshot, which may or may not be present.
    pub fn uncompacted(&self) -> Self {
        let kept = |entry: &&Entry| entry.index() > self.snapshot.position.index;
        Self { entries: self.entries.iter().filter(kept).cloned().collect(), ..self.clone() }
    }
}

/// A store with its acknowledged state and the alternatives after a failure.
#[derive(Debug)]
pub struct Workload {
    pub disk: FaultyDisk,
    pub rng: SmallRng,
    pub opened: Option<Storage<FaultyDisk>>,
    pub acknowledged: State,
    /// States that an interrupted operation may have left instead.
    pub possible: Vec<State>,
    pub id: Option<id::Replica>,
    term: u64,
}

impl Workload {
    pub fn new(seed: u64) -> Self {
        Self {
            disk: FaultyDisk::default(),
            rng: SmallRng::seed_from_u64(seed),
            opened: None,
            acknowledged: State::default(),
            possible: Vec::new(),
            id: None,
            term: 0,
        }
    }

    /// Opens the folder and checks that it holds the acknowledged state; fails only if the disk
    /// does.
    pub fn open(&mut self) -> Result<(), Error> {
        let mut opened = Storage::new(self.disk.clone(), &mut self.rng)?;
        opened.log = opened.log.with_segment_bytes(SEGMENT_BYTES);
        let expected = *self.id.get_or_insert(opened.id);
        assert_eq!(opened.id, expected, "the folder's identity changed");
        let state = State {
            hard: opened.restored.hard,
            snapshot: opened.restored.snapshot.clone(),
            data: opened.snapshot_data.clone(),
            entries: opened.restored.log.clone(),
        };
        let found = state.uncompacted();
        let matches = |known: &&State| known.uncompacted() == found;
        assert!(
            [&self.acknowledged].into_iter().chain(&self.possible).any(|known| matches(&known)),
            "found {found:#?}\nacknowledged {:#?}\nor {:#?}",
            self.acknowledged.uncompacted(),
            self.possible
        );
        self.acknowledged = state;
        self.possible.clear();
        self.opened = Some(opened);
        Ok(())
    }

    /// Runs an operation. After a failure the store must refuse all writes.
    pub fn run(&mut self, operation: Operation) -> Result<(), Error> {
        let result = match operation {
            Operation::Append { count, replaced } => self.append(count, replaced),
            Operation::Vote => self.vote(),
            Operation::Snapshot { kept } => self.snapshot(kept),
            Operation::Install { ahead } => self.install(ahead),
        };
        if result.is_err() {
            self.opened = None;
        }
        result
    }

    fn write(&mut self, persist: Persist, after: State) -> Result<(), Error> {
        let Some(opened) = &mut self.opened else { return Ok(()) };
        self.possible.push(after.clone());
        let result = opened.log.append(std::slice::from_ref(&persist));
        if result.is_err() {
            assert!(matches!(opened.log.append(&[persist]), Err(Error::Poisoned)));
            return result;
        }
        self.possible.clear();
        self.acknowledged = after;
        Ok(())
    }

    fn append(&mut self, count: u64, replaced: u64) -> Result<(), Error> {
        self.term += u64::from(replaced > 0);
        let snapshot = self.acknowledged.snapshot.position.index.get();
        let last = self.acknowledged.last();
        let from = last.saturating_sub(replaced).max(snapshot) + 1;
        let truncate = (from <= last).then_some(Index::new(from));
        let entries: Vec<Entry> =
            (from..from + count).map(|index| entry(index, self.term)).collect();
        let mut after = self.acknowledged.clone();
        after.entries.retain(|entry| entry.index() < Index::new(from));
        after.entries.extend(entries.clone());
        let hard = truncate.map(|_| HardState { term: Term::new(self.term), vote: None });
        after.hard = hard.unwrap_or(after.hard);
        self.write(
            Persist { sequence: Sequence::ZERO, hard, reset: None, truncate, entries },
            after,
        )
    }

    fn vote(&mut self) -> Result<(), Error> {
        self.term += 1;
        let hard = HardState { term: Term::new(self.term), vote: Some(id::Replica::new(7)) };
        let after = State { hard, ..self.acknowledged.clone() };
        let persist = Persist {
            sequence: Sequence::ZERO,
            hard: Some(hard),
            reset: None,
            truncate: None,
            entries: Vec::new(),
        };
        self.write(persist, after)
    }

    fn snapshot(&mut self, kept: u64) -> Result<(), Error> {
        let Some(position) = self.acknowledged.entries.last().map(|entry| entry.position) else {
            return Ok(());
        };
        if position.index <= self.acknowledged.snapshot.position.index {
            return Ok(());
        }
        let entries = self.acknowledged.entries.clone();
        self.save(Snapshot { position, members: Members::new([id::Replica::new(1)]) }, entries)?;
        let Some(opened) = &mut self.opened else { return Ok(()) };
        let through = Index::new(position.index.get().saturating_sub(kept));
        opened.log.compact(through, &self.acknowledged.snapshot)
    }

    fn install(&mut self, ahead: i64) -> Result<(), Error> {
        self.term += 1;
        let first = self.acknowledged.snapshot.position.index.get() + 1;
        let index = self.acknowledged.last().saturating_add_signed(ahead).max(first);
        let position = Position::new(Index::new(index), Term::new(self.term));
        let snapshot = Snapshot { position, members: Members::new([id::Replica::new(2)]) };
        self.save(snapshot.clone(), Vec::new())?;
        let after = self.acknowledged.clone();
        let reset = Some(snapshot);
        let persist = Persist {
            sequence: Sequence::ZERO,
            hard: None,
            reset,
            truncate: None,
            entries: Vec::new(),
        };
        self.write(persist, after)
    }

    fn save(&mut self, snapshot: Snapshot, entries: Vec<Entry>) -> Result<(), Error> {
        let data = format!("state at {}", snapshot.position).into_bytes();
        let hard = self.acknowledged.hard;
        let after = State { hard, snapshot: snapshot.clone(), data: Some(data.clone()), entries };
        let Some(opened) = &mut self.opened else { return Ok(()) };
        self.possible.push(after.clone());
        if let Err(error) = opened.snapshots.save(&snapshot, &data) {
            assert!(matches!(opened.snapshots.save(&snapshot, &data), Err(Error::Poisoned)));
            return Err(error);
        }
        self.possible.clear();
        self.acknowledged = after;
        Ok(())
    }
}

/// An entry whose length differs from those of its neighbours.
pub fn entry(index: u64, term: u64) -> Entry {
    let data = vec![b'x'; usize::try_from(index % 7 * 5).expect("short")];
    Entry::new(Position::new(Index::new(index), Term::new(term)), Payload::Data(Bytes::from(data)))
}
