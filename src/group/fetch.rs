//! Fetching a snapshot from another replica, piece by piece.

use std::time::Duration;

use tokio::time::Instant;

use super::Chunk;
use super::Message;
use crate::consensus::Snapshot;
use crate::id;

/// How long a piece may take: ten trips between regions, and a lost message costs no more than a heartbeat's loss.
const RETRY: Duration = Duration::from_secs(1);

/// Pieces asked for ahead, so that a distant leader sends more than one in a round trip. They delay heartbeats by some
/// milliseconds.
const WINDOW: u64 = 4;

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
    /// Where the next piece begins that was not asked for yet.
    next: u64,
    retry: Instant,
    tries: u32,
}

/// What is to be done next.
#[derive(Debug)]
pub(super) enum Next {
    /// Nothing before the deadline.
    Wait,
    /// Ask for the pieces that begin there.
    Ask(id::Replica, Vec<Message>),
    /// All of it is here.
    Done(Snapshot, Vec<u8>),
    /// The other replica doesn't answer.
    Failed,
}

impl Fetch {
    pub const fn new(from: id::Replica, wanted: Snapshot, now: Instant) -> Self {
        Self { from, wanted, snapshot: None, data: Vec::new(), next: 0, retry: now, tries: 0 }
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
        self.ask_again(now)
    }

    /// Takes a piece in. Late, repeated and foreign ones are dropped.
    pub fn take(&mut self, from: id::Replica, chunk: Chunk, now: Instant) -> Next {
        if from != self.from || chunk.snapshot.position.index < self.wanted.position.index {
            return Next::Wait;
        }
        if self.snapshot.as_ref() != Some(&chunk.snapshot) {
            self.snapshot = Some(chunk.snapshot.clone());
            self.data.clear();
            self.next = 0;
        }
        if chunk.offset != self.data.len() as u64 {
            // A repeated piece is dropped. One of a snapshot that has just replaced the first makes it start over.
            return if self.data.is_empty() { self.ask_again(now) } else { Next::Wait };
        }
        self.data.extend_from_slice(&chunk.data);
        self.next = self.next.max(self.data.len() as u64);
        self.tries = 0;
        if self.data.len() as u64 >= chunk.total {
            return Next::Done(chunk.snapshot, std::mem::take(&mut self.data));
        }
        self.ask_ahead(&chunk, now)
    }

    /// Asks for the first piece that is missing. Those after it may be under way on a slow link.
    fn ask_again(&mut self, now: Instant) -> Next {
        self.retry = now + RETRY;
        Next::Ask(self.from, vec![self.message(self.data.len() as u64)])
    }

    /// Asks for pieces until the window is full; all but the last are as long as this one.
    fn ask_ahead(&mut self, chunk: &Chunk, now: Instant) -> Next {
        self.retry = now + RETRY;
        let length = chunk.data.len().max(1) as u64;
        let end = chunk.total.min(self.data.len() as u64 + WINDOW * length);
        let mut messages = Vec::new();
        while self.next < end {
            messages.push(self.message(self.next));
            self.next += length;
        }
        Next::Ask(self.from, messages)
    }

    fn message(&self, offset: u64) -> Message {
        Message::Fetch { index: self.wanted.position.index, offset }
    }
}
