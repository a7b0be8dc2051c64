//! A data folder: what is synced of a replica's writes.

use masticstream::consensus::Entry;
use masticstream::consensus::HardState;
use masticstream::consensus::Persist;
use masticstream::consensus::Restored;
use masticstream::consensus::Snapshot;

/// The synced contents of a folder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Disk {
    pub hard: HardState,
    pub snapshot: Snapshot,
    pub log: Vec<Entry>,
}

impl Disk {
    /// Carries out a write.
    pub fn write(&mut self, write: &Persist) {
        self.hard = write.hard.unwrap_or(self.hard);
        if let Some(snapshot) = &write.reset {
            self.snapshot = snapshot.clone();
            self.log.clear();
        }
        if let Some(from) = write.truncate {
            self.log.retain(|entry| entry.index() < from);
        }
        self.log.extend(write.entries.iter().cloned());
    }

    /// What a replica starts from.
    pub fn restored(&self) -> Restored {
        Restored::new(Default::default())
            .with_hard(self.hard)
            .with_snapshot(self.snapshot.clone())
            .with_log(self.log.clone())
    }
}
