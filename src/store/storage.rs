//! A folder that was opened: all that a replica starts from.

use rand::Rng;

use super::Disk;
use super::Error;
use super::Log;
use super::Snapshots;
use super::identity;
use crate::consensus::HardState;
use crate::consensus::Members;
use crate::consensus::Persist;
use crate::consensus::Position;
use crate::consensus::Restored;
use crate::consensus::Snapshot;
use crate::id;
use crate::unit::Index;
use crate::unit::Sequence;

/// The identity, the state and the files of one replica.
#[derive(Debug)]
pub struct Opened<D> {
    /// The identity of the folder.
    pub id: id::Replica,
    /// What the replica starts from.
    pub restored: Restored,
    /// The state machine as of the snapshot, if there is one.
    pub machine: Option<Vec<u8>>,
    /// The log, ready to be written.
    pub log: Log<D>,
    /// The snapshots.
    pub snapshots: Snapshots<D>,
}

impl<D: Disk> Opened<D> {
    /// Reads a folder, and gives it an identity if it never had one.
    pub fn new(disk: D, rng: &mut impl Rng) -> Result<Self, Error> {
        Self::open(disk, rng, true)
    }

    /// The same for a witness, whose log rests on positions alone, without a snapshot's data.
    pub fn witness(disk: D, rng: &mut impl Rng) -> Result<Self, Error> {
        Self::open(disk, rng, false)
    }

    fn open(mut disk: D, rng: &mut impl Rng, has_data: bool) -> Result<Self, Error> {
        let id = identity::open(&mut disk, rng)?;
        let (snapshots, machine) = Snapshots::open(disk.clone(), id)?;
        let (mut log, mut replay) = Log::open(disk, id)?;
        let overruled = replay
            .fit(snapshots.last(), has_data)
            .map_err(|damage| Error::corrupt("log", 0, damage))?;
        if overruled {
            log.append(&[reset(replay.floor.clone())])?;
        }
        let restored = Restored::new(Members::default())
            .with_hard(replay.hard)
            .with_snapshot(replay.floor)
            .with_log(replay.entries);
        Ok(Self { id, restored, machine, log, snapshots })
    }

    /// Whether this replica has never taken part in any group.
    pub fn is_pristine(&self) -> bool {
        self.restored.hard == HardState::default()
            && self.restored.snapshot == Snapshot::default()
            && self.restored.log.is_empty()
    }

    /// Begins a new group; each first member begins with the same list. Does nothing in a folder with a past.
    pub fn bootstrap(&mut self, members: Members) -> Result<(), Error> {
        if !self.is_pristine() {
            return Ok(());
        }
        let snapshot = Snapshot { position: Position::default(), members };
        self.log.append(&[reset(snapshot.clone())])?;
        self.restored.snapshot = snapshot;
        Ok(())
    }
}

/// A write that starts the log again after a snapshot.
fn reset(snapshot: Snapshot) -> Persist {
    let truncate: Option<Index> = None;
    Persist {
        sequence: Sequence::ZERO,
        hard: None,
        reset: Some(snapshot),
        truncate,
        entries: Vec::new(),
    }
}
