//! Settings of one driver.

use std::time::Duration;

use crate::consensus;
use crate::id;

/// How often the leader tells the machine the time. Keys and answers are kept for hours, so ten seconds more or
/// less don't matter, and each costs an entry.
const ADVANCE_EVERY: Duration = Duration::from_secs(10);

/// The commands that may wait for a batch. At ten thousand a second it is half a second's worth; a caller that
/// would wait longer is better refused at once.
const WAITING: usize = 5_000;

/// Bytes of one batch: one message between replicas.
const BATCH_BYTES: usize = 64 << 10;

/// Settings of one replica's driver.
#[derive(Debug, Clone)]
pub struct Config {
    /// Settings of the protocol.
    pub consensus: consensus::Config,
    /// How often the leader tells the machine that time has passed.
    pub advance_every: Duration,
    /// The commands that may wait for a batch; more are refused.
    pub waiting: usize,
    /// The bytes of one batch; a longer command goes alone.
    pub batch_bytes: usize,
}

impl Config {
    /// The usual settings for an identity.
    pub const fn new(id: id::Replica) -> Self {
        Self {
            consensus: consensus::Config::new(id),
            advance_every: ADVANCE_EVERY,
            waiting: WAITING,
            batch_bytes: BATCH_BYTES,
        }
    }

    /// The same with other settings of the protocol.
    #[must_use]
    pub fn with_consensus(mut self, consensus: consensus::Config) -> Self {
        self.consensus = consensus;
        self
    }

    /// The same with the time told that often.
    #[must_use]
    pub const fn with_advance_every(mut self, period: Duration) -> Self {
        self.advance_every = period;
        self
    }
}
