//! Fetching a snapshot from another replica, piece by piece.

use std::time::Duration;

use tokio::time::Instant;

use super::Chunk;
use super::Message;
use crate::consensus::Snapshot;
use crate::id;

/// How long a piece may take: ten trips between regions, and a lost message costs no more than a heartbeat's loss.
const RETRY: Duration = Duration::from_secs(1);

/// Pieces asked for in vain before the snapshot is given up; the leader then offers it again.
const TRIES: u32 = 5;

/// A snapshot under way.
#[derive(Debug)]
pub(super) struct Fetch {
    from: id::Replica,
    wanted: Snapshot,
    /// What is being received: the snapshot wanted or a later one.
    snapshot: Option<Snapshot>,
    data: Vec<u8>,
    retry: Instant,
    tries: u32,
}

/// What is to be done next.
#[derive(Debug)]
pub(super) enum Next {
    /// Nothing before the deadline.
    Wait,
    /// Send this.
    Ask(id::Replica, Message),
    /// All of it is here.
    Done(Snapshot, Vec<u8>),
    /// The other replica doesn't answer.
    Failed,
}

impl Fetch {
    pub const fn new(from: id::Replica, wanted: Snapshot, now: Instant) -> Self {
        Self { from, wanted, snapshot: None, data: Vec::new(), retry: now, tries: 0 }
    }

    /// Whom it comes from.
    pub const fn from(&self) -> id::Replica {
        self.from
    }

    pub const fn deadline(&self) -> Instant {
        self.retry
    }

    /// Asks (again) when a piece is due.
    pub fn tick(&mut self, now: Instant) -> Next {
        if now < self.retry {
            return Next::Wait;
        }
        if self.tries == TRIES {
            return Next::Failed;
        }
        self.tries += 1;
        self.ask(now)
    }

    /// Takes a piece in. Late, repeated and foreign ones are dropped.
    pub fn take(&mut self, from: id::Replica, chunk: Chunk, now: Instant) -> Next {
        if from != self.from || chunk.snapshot.position.index < self.wanted.position.index {
            return Next::Wait;
        }
        if self.snapshot.as_ref() != Some(&chunk.snapshot) {
            self.snapshot = Some(chunk.snapshot.clone());
            self.data.clear();
        }
        if chunk.offset != self.data.len() as u64 {
            // A repeated piece is dropped. One of a snapshot that has just replaced the first makes it start over.
            return if self.data.is_empty() { self.ask(now) } else { Next::Wait };
        }
        self.data.extend_from_slice(&chunk.data);
        self.tries = 0;
        if self.data.len() as u64 >= chunk.total {
            return Next::Done(chunk.snapshot, std::mem::take(&mut self.data));
        }
        self.ask(now)
    }

    fn ask(&mut self, now: Instant) -> Next {
        self.retry = now + RETRY;
        let index = self.wanted.position.index;
        Next::Ask(self.from, Message::Fetch { index, offset: self.data.len() as u64 })
    }
}
