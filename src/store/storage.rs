//! An opened folder with all state that a replica starts from.

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

/// The identity, state and files of one replica.
#[derive(Debug)]
pub struct Storage<D> {
    /// The identity of the folder.
    pub id: id::Replica,
    /// The state from which the replica starts.
    pub restored: Restored,
    /// The data of the latest snapshot, if there is one.
    pub snapshot_data: Option<Vec<u8>>,
    /// The log, open for writing.
    pub log: Log<D>,
    /// The snapshots.
    pub snapshots: Snapshots<D>,
}

impl<D: Disk> Storage<D> {
    /// Reads a folder, creating an identity if it is new.
    pub fn new(disk: D, rng: &mut impl Rng) -> Result<Self, Error> {
        Self::open(disk, rng, true)
    }

    /// Opens a witness's folder, whose snapshots have no data.
    pub fn witness(disk: D, rng: &mut impl Rng) -> Result<Self, Error> {
        Self::open(disk, rng, false)
    }

    fn open(mut disk: D, rng: &mut impl Rng, has_data: bool) -> Result<Self, Error> {
        let id = identity::open(&mut disk, rng)?;
        let (snapshots, snapshot_data) = Snapshots::open(disk.clone(), id)?;
        let (mut log, mut replay) = Log::open(disk, id)?;
        let discarded = replay
            .reconcile(snapshots.last(), has_data)
            .map_err(|corruption| Error::corrupt("log", 0, corruption))?;
        if discarded {
            log.append(&[reset(replay.base.clone())])?;
        }
        let restored = Restored::new(Members::default())
            .with_hard(replay.hard)
            .with_snapshot(replay.base)
            .with_log(replay.entries);
        Ok(Self { id, restored, snapshot_data, log, snapshots })
    }

    /// Whether this replica has never belonged to a group.
    pub fn is_empty(&self) -> bool {
        self.restored.hard == HardState::default()
            && self.restored.snapshot == Snapshot::default()
            && self.restored.log.is_empty()
    }

    /// Bootstraps a new group; all initial members must use the same list. Does nothing if the
    /// folder has any state.
    pub fn bootstrap(&mut self, members: Members) -> Result<(), Error> {
        if !self.is_empty() {
            return Ok(());
        }
        let snapshot = Snapshot { position: Position::default(), members };
        self.log.append(&[reset(snapshot.clone())])?;
        self.restored.snapshot = snapshot;
        Ok(())
    }
}

/// A write that resets the log to a snapshot.
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
