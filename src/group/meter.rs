//! Counters of a driver. They are read without it, also while it stands still, and their changes wake nobody.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::consensus::Replica;
use crate::unit::Index;
use crate::unit::Sequence;

/// What a driver writes after each turn.
#[derive(Debug)]
pub(super) struct Meter {
    began: Instant,
    received: AtomicU64,
    sent: AtomicU64,
    dropped: AtomicU64,
    last: AtomicU64,
    synced: AtomicU64,
    issued: AtomicU64,
    persisted: AtomicU64,
    turn: Moment,
    contact: Moment,
    write: Moment,
}

/// What a driver has done since its start, as of its last turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// Messages of other replicas that it took.
    pub received: u64,
    /// Messages for other replicas.
    pub sent: u64,
    /// Messages for other replicas that were dropped since the outbox was full.
    pub dropped: u64,
    /// The last index of its log.
    pub last: Index,
    /// The last index that it has persisted.
    pub synced: Index,
    /// The last write that was issued.
    pub issued: Sequence,
    /// The last write that was persisted.
    pub persisted: Sequence,
    /// Time since its last turn; one that runs has several in a second.
    pub idle: Duration,
    /// Time since the last contact with another leader; none if there was none.
    pub contact: Option<Duration>,
    /// How long the write under way has taken.
    pub write: Option<Duration>,
}

/// A time that may be missing, in milliseconds after the start and one.
#[derive(Debug, Default)]
struct Moment(AtomicU64);

impl Moment {
    fn set(&self, at: Option<Instant>, began: Instant) {
        let ms = |at: Instant| at.saturating_duration_since(began).as_millis() as u64 + 1;
        self.0.store(at.map_or(0, ms), Ordering::Relaxed);
    }

    fn elapsed(&self, now: Duration) -> Option<Duration> {
        let ms = self.0.load(Ordering::Relaxed).checked_sub(1)?;
        Some(now.saturating_sub(Duration::from_millis(ms)))
    }
}

impl Meter {
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            received: AtomicU64::default(),
            sent: AtomicU64::default(),
            dropped: AtomicU64::default(),
            last: AtomicU64::default(),
            synced: AtomicU64::default(),
            issued: AtomicU64::default(),
            persisted: AtomicU64::default(),
            turn: Moment::default(),
            contact: Moment::default(),
            write: Moment::default(),
        }
    }

    pub fn record_received(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    pub fn record_sent(&self, is_dropped: bool) {
        let count = if is_dropped { &self.dropped } else { &self.sent };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Records the end of a turn; `write` is when the write under way began.
    pub fn record_turn(&self, replica: &Replica, write: Option<Instant>, now: Instant) {
        let log = replica.log();
        self.last.store(log.last().index.get(), Ordering::Relaxed);
        self.synced.store(log.synced().get(), Ordering::Relaxed);
        self.issued.store(log.issued().get(), Ordering::Relaxed);
        self.persisted.store(log.last_persisted().get(), Ordering::Relaxed);
        self.turn.set(Some(now), self.began);
        self.contact.set(replica.leader_contact(), self.began);
        self.write.set(write, self.began);
    }

    pub fn read(&self, now: Instant) -> Reading {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let now = now.saturating_duration_since(self.began);
        Reading {
            received: load(&self.received),
            sent: load(&self.sent),
            dropped: load(&self.dropped),
            last: Index::new(load(&self.last)),
            synced: Index::new(load(&self.synced)),
            issued: Sequence::new(load(&self.issued)),
            persisted: Sequence::new(load(&self.persisted)),
            idle: self.turn.elapsed(now).unwrap_or_default(),
            contact: self.contact.elapsed(now),
            write: self.write.elapsed(now),
        }
    }
}

#[cfg(test)]
mod tests;
