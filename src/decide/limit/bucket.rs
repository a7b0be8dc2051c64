//! A token bucket whose rate may change.

use std::time::Duration;

use tokio::time::Instant;

use crate::decide::limit::BURST;
use crate::unit::Rate;

/// An amount that grows at a rate up to what [`BURST`] earns.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    level: f64,
    updated: Instant,
}

impl Bucket {
    /// A full bucket, which holds one at least: a small part of a small limit must let a first request through.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self { rate, level: rate.over(BURST).max(1.0), updated: now }
    }

    /// Changes the rate. The level never rises by it: what moves to another VM must not be there twice.
    pub fn set_rate(&mut self, rate: Rate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.size());
    }

    /// How long until the level exceeds this; zero if it does.
    pub fn wait_above(&mut self, level: f64, now: Instant) -> Duration {
        self.refill(now);
        let missing = level - self.level;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate.get()).unwrap_or(Duration::MAX)
    }

    /// Takes an amount out, into debt if need be; a negative amount is given back.
    pub fn take(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.size());
    }

    fn size(&self) -> f64 {
        self.rate.over(BURST).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let earned = self.rate.over(now.saturating_duration_since(self.updated));
        self.level = (self.level + earned).min(self.size());
        self.updated = self.updated.max(now);
    }
}
