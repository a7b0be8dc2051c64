//! Snapshots of the state machine; only the latest is kept.

use super::Corruption;
use super::Disk;
use super::Error;
use super::frame;
use super::frame::Frames;
use super::frame::Salt;
use super::identity::write_atomically;
use super::record;
use crate::consensus::Snapshot;
use crate::id;

const PREFIX: &str = "snapshot-";
const TEMPORARY_NAME: &str = "snapshot.new";

/// The snapshots of a replica. Kept apart from the log so that a long write delays no
/// acknowledgement.
#[derive(Debug)]
pub struct Snapshots<D> {
    disk: D,
    id: id::Replica,
    last: Option<Snapshot>,
    poisoned: bool,
}

impl<D: Disk> Snapshots<D> {
    /// Finds the latest snapshot and removes older ones left by a crash.
    pub(super) fn open(disk: D, id: id::Replica) -> Result<(Self, Option<Vec<u8>>), Error> {
        let names = disk.names().map_err(Error::file("."))?;
        let mut names: Vec<String> = names.into_iter().filter(|name| is_name(name)).collect();
        names.sort_unstable();
        let mut snapshots = Self { disk, id, last: None, poisoned: false };
        let Some(name) = names.pop() else { return Ok((snapshots, None)) };
        let (snapshot, data) = snapshots.read(&name)?;
        snapshots.last = Some(snapshot);
        snapshots.remove(&names)?;
        Ok((snapshots, Some(data)))
    }

    /// The position and members of the latest snapshot.
    pub const fn last(&self) -> Option<&Snapshot> {
        self.last.as_ref()
    }

    /// Reads the latest snapshot from the disk.
    pub fn load(&self) -> Result<Option<(Snapshot, Vec<u8>)>, Error> {
        self.last.as_ref().map(|last| self.read(&name(last))).transpose()
    }

    /// Persists a snapshot and removes the previous one. Does nothing if the stored one is as
    /// recent: a local snapshot and a leader's may complete in either order.
    pub fn save(&mut self, snapshot: &Snapshot, data: &[u8]) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.last.as_ref().is_some_and(|last| last.position.index >= snapshot.position.index) {
            return Ok(());
        }
        self.poisoned = true;
        let before = self.last.as_ref().map(name);
        let name = name(snapshot);
        let salt = self.salt(&name);
        let head = frame::encode(&record::encode(snapshot), salt);
        let body = frame::encode(data, salt);
        write_atomically(&mut self.disk, TEMPORARY_NAME, &name, &[&head, &body])?;
        self.last = Some(snapshot.clone());
        self.remove(before.as_slice())?;
        self.poisoned = false;
        Ok(())
    }

    fn remove(&mut self, names: &[String]) -> Result<(), Error> {
        names.iter().try_for_each(|name| self.disk.remove(name).map_err(Error::file(name)))
    }

    fn read(&self, name: &str) -> Result<(Snapshot, Vec<u8>), Error> {
        let bytes = self.disk.read(name).map_err(Error::file(name))?;
        let mut frames = Frames::new(&bytes, self.salt(name));
        let mut next = || {
            let payload = frames.next().and_then(|payload| payload.ok_or(Corruption::Checksum));
            payload.map_err(|corruption| Error::corrupt(name, frames.offset(), corruption))
        };
        let snapshot =
            record::decode(next()?).map_err(|corruption| Error::corrupt(name, 0, corruption))?;
        Ok((snapshot, next()?.to_vec()))
    }

    fn salt(&self, name: &str) -> Salt {
        let number =
            name.strip_prefix(PREFIX).and_then(|digits| u64::from_str_radix(digits, 16).ok());
        Salt::new(self.id.get(), !number.unwrap_or_default())
    }
}

fn name(snapshot: &Snapshot) -> String {
    format!("{PREFIX}{:016x}", snapshot.position.index.get())
}

pub(super) fn is_name(name: &str) -> bool {
    name != TEMPORARY_NAME && name.starts_with(PREFIX)
}
