//! Serving a copy of the machine to a replica that lacks entries.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::Chunk;
use crate::consensus::Snapshot;
use crate::unit::Index;

/// One piece: what a slow link between regions carries in a few milliseconds.
const CHUNK_BYTES: usize = 64 << 10;

/// How long a copy is held for the next piece: longer than all retries of one.
const HOLD: Duration = Duration::from_secs(10);

/// How long replicas that begin to fetch share a copy.
const RECENT: Duration = Duration::from_secs(1);

/// A copy of the machine held in memory while another replica fetches it.
#[derive(Debug, Clone)]
pub(super) struct Serve {
    snapshot: Snapshot,
    data: Bytes,
    taken: Instant,
    until: Instant,
}

impl Serve {
    pub fn new(snapshot: Snapshot, data: Vec<u8>, now: Instant) -> Self {
        Self { snapshot, data: Bytes::from(data), taken: now, until: now + HOLD }
    }

    /// Whether few entries have followed.
    pub fn is_recent(&self, now: Instant) -> bool {
        now < self.taken + RECENT
    }

    /// Whether nobody has asked for a while.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Whether it covers that index.
    pub fn covers(&self, index: Index) -> bool {
        self.snapshot.position.index >= index
    }

    /// The piece at an offset. One beyond the end is of another snapshot, so it starts over.
    pub fn piece(&mut self, offset: u64, now: Instant) -> Chunk {
        self.until = now + HOLD;
        let start =
            usize::try_from(offset).ok().filter(|start| *start < self.data.len()).unwrap_or(0);
        let end = self.data.len().min(start + CHUNK_BYTES);
        Chunk {
            snapshot: self.snapshot.clone(),
            offset: start as u64,
            total: self.data.len() as u64,
            data: self.data.slice(start..end),
        }
    }
}
