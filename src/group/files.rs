//! The files of a replica, written on blocking threads.

use std::future;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Machine;
use super::Stopped;
use crate::consensus::Persist;
use crate::consensus::Snapshot;
use crate::store::Disk;
use crate::store::Error;
use crate::store::Log;
use crate::store::Snapshots;
use crate::unit::Index;
use crate::unit::Sequence;

/// A log and snapshots, each with at most one write under way; what comes meanwhile shares the next one.
#[derive(Debug)]
pub(super) struct Files<M, D> {
    /// Away while it is being written.
    log: Option<Log<D>>,
    /// Away while one is being written.
    snapshots: Option<Snapshots<D>>,
    writes: Vec<Persist>,
    compaction: Option<(Index, Snapshot)>,
    /// When the last write began.
    began: Option<Instant>,
    tasks: JoinSet<Result<Done<M, D>, Error>>,
}

/// What a blocking thread has finished.
#[derive(Debug)]
pub(super) enum Done<M, D> {
    Wrote { log: Log<D>, last: Option<Sequence>, took: Duration },
    Saved { snapshots: Snapshots<D>, snapshot: Snapshot },
    Installed { snapshots: Snapshots<D>, snapshot: Snapshot, machine: M },
    Undecodable { snapshots: Snapshots<D> },
}

/// What the driver has to know of it.
#[derive(Debug)]
pub(super) enum Finished<M> {
    /// All writes up to this one are synced, which took so long.
    Synced(Sequence, Duration),
    /// The own snapshot is synced.
    Saved(Snapshot),
    /// Another replica's snapshot is synced, and this is the machine in it.
    Installed(Snapshot, M),
    /// Another replica's snapshot makes no sense here.
    Undecodable,
    /// Nothing that matters.
    Nothing,
}

impl<M: Machine, D: Disk> Files<M, D> {
    pub fn new(log: Log<D>, snapshots: Snapshots<D>) -> Self {
        Self {
            log: Some(log),
            snapshots: Some(snapshots),
            writes: Vec::new(),
            compaction: None,
            began: None,
            tasks: JoinSet::new(),
        }
    }

    /// Queues a write.
    pub fn persist(&mut self, persist: Persist) {
        self.writes.push(persist);
    }

    /// Queues a compaction: the snapshot covers all up to that index, durably.
    pub fn compact(&mut self, through: Index, snapshot: Snapshot) {
        self.compaction = Some((through, snapshot));
    }

    /// Whether a write is under way.
    pub const fn is_writing(&self) -> bool {
        self.log.is_none()
    }

    /// When the write under way began.
    pub fn writing_since(&self) -> Option<Instant> {
        self.began.filter(|_| self.is_writing())
    }

    /// Whether a snapshot can be written now.
    pub const fn has_snapshots(&self) -> bool {
        self.snapshots.is_some()
    }

    /// Starts to write all that is queued, with one sync for all of it, unless a write is under way.
    pub fn flush(&mut self) {
        if self.writes.is_empty() && self.compaction.is_none() {
            return;
        }
        let Some(mut log) = self.log.take() else { return };
        let writes = std::mem::take(&mut self.writes);
        let compaction = self.compaction.take();
        let began = Instant::now();
        self.began = Some(began);
        self.tasks.spawn_blocking(move || {
            log.append(&writes)?;
            if let Some((through, snapshot)) = compaction {
                log.compact(through, &snapshot)?;
            }
            let last = writes.last().map(|write| write.sequence);
            Ok(Done::Wrote { log, last, took: began.elapsed() })
        });
    }

    /// Writes a snapshot of the own machine. Does nothing while another is under way.
    pub fn save(&mut self, snapshot: Snapshot, data: Vec<u8>) {
        let Some(mut snapshots) = self.snapshots.take() else { return };
        self.tasks.spawn_blocking(move || {
            snapshots.save(&snapshot, &data)?;
            Ok(Done::Saved { snapshots, snapshot })
        });
    }

    /// Decodes and writes a snapshot that another replica sent. Does nothing while another is under way.
    pub fn install(&mut self, snapshot: Snapshot, data: Vec<u8>) {
        let Some(mut snapshots) = self.snapshots.take() else { return };
        self.tasks.spawn_blocking(move || {
            let Ok(machine) = ciborium::from_reader::<M, _>(data.as_slice()) else {
                return Ok(Done::Undecodable { snapshots });
            };
            snapshots.save(&snapshot, &data)?;
            Ok(Done::Installed { snapshots, snapshot, machine })
        });
    }

    /// Waits for the next thing to be finished, for ever if there is none.
    pub async fn next(&mut self) -> Result<Finished<M>, Stopped> {
        let Some(joined) = self.tasks.join_next().await else { return future::pending().await };
        Ok(match joined?? {
            Done::Wrote { log, last, took } => {
                self.log = Some(log);
                last.map_or(Finished::Nothing, |last| Finished::Synced(last, took))
            }
            Done::Saved { snapshots, snapshot } => {
                self.snapshots = Some(snapshots);
                Finished::Saved(snapshot)
            }
            Done::Installed { snapshots, snapshot, machine } => {
                self.snapshots = Some(snapshots);
                Finished::Installed(snapshot, machine)
            }
            Done::Undecodable { snapshots } => {
                self.snapshots = Some(snapshots);
                Finished::Undecodable
            }
        })
    }

    /// Waits until all that is queued is synced.
    pub async fn close(mut self) -> Result<(), Stopped> {
        self.flush();
        while let Some(joined) = self.tasks.join_next().await {
            if let Done::Wrote { log, .. } = joined?? {
                self.log = Some(log);
                self.flush();
            }
        }
        Ok(())
    }
}
