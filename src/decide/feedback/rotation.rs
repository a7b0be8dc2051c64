//! Turns that VMs take in the order of their ranks.
//!
//! Load pattern: many VMs find the same upstream idle at once. A limit per VM is not enough: if 26 VMs may send 6.7
//! requests a second in total, they still send 26 at once. Each VM therefore has one turn per round. The turns of a
//! round begin one after the other, in the order of the VMs' ranks, at intervals of the limit.

use std::time::Duration;

use tokio::time::Instant;

use crate::unit::Rate;

/// This VM's rank among the VMs that send to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    count: u32,
    rank: u32,
}

/// The only VM.
impl Default for Position {
    fn default() -> Self {
        Self::new(0, 1)
    }
}

impl Position {
    /// Creates the position of the given rank, counted from 0, among `count` VMs.
    pub fn new(rank: u32, count: u32) -> Self {
        Self { count: count.max(1), rank }
    }

    /// Returns the number of VMs that send.
    pub const fn count(self) -> u32 {
        self.count
    }

    /// Returns the position with its rank moved by that many places, so that a VM's turns at several upstreams do not
    /// coincide.
    #[must_use]
    pub const fn rotated(self, by: u32) -> Self {
        Self { rank: (self.rank + by % self.count) % self.count, ..self }
    }
}

/// The turns at one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turns {
    /// An instant that all VMs know; the first VM has a turn then.
    pub reference: Instant,
    /// The rate of turns over all VMs.
    pub rate: Rate,
}

/// A turn of one VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// The index of the round, negative before the reference.
    pub round: i64,
    /// The time since the turn began.
    pub elapsed: Duration,
}

impl Turns {
    /// Returns the length of a round in seconds: the interval between two turns of a VM.
    pub fn round(&self, position: Position) -> f64 {
        f64::from(position.count) / self.rate.get()
    }

    /// Returns the VM's turn that began last.
    pub fn current(&self, position: Position, now: Instant) -> Turn {
        let round = self.round(position);
        let since = now.saturating_duration_since(self.reference).as_secs_f64()
            - self.reference.saturating_duration_since(now).as_secs_f64();
        let offset = since - f64::from(position.rank) / self.rate.get();
        let index = (offset / round).floor();
        let elapsed = Duration::try_from_secs_f64(offset - index * round);
        Turn { round: index as i64, elapsed: elapsed.unwrap_or(Duration::MAX) }
    }
}
