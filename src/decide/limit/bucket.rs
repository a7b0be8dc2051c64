//! Token bucket with a variable rate.

use std::time::Duration;

use tokio::time::Instant;

use crate::decide::limit::BURST_TIME;
use crate::unit::Rate;

/// A token bucket that holds at most what [`BURST_TIME`] earns.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    level: f64,
    updated: Instant,
}

impl Bucket {
    /// Creates a full bucket. It holds at least one token, so that a small share still admits a
    /// request.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self { rate, level: rate.over(BURST_TIME).max(1.0), updated: now }
    }

    /// Changes the rate without raising the level: tokens moved to another VM must not be spent
    /// twice.
    pub fn set_rate(&mut self, rate: Rate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.size());
    }

    /// How long until the level exceeds `level`; zero if it already does.
    pub fn wait_above(&mut self, level: f64, now: Instant) -> Duration {
        self.refill(now);
        let missing = level - self.level;
        if missing < 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate.get()).unwrap_or(Duration::MAX)
    }

    /// Removes an amount, possibly leaving a negative level; a negative amount is added.
    pub fn take(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.size());
    }

    fn size(&self) -> f64 {
        self.rate.over(BURST_TIME).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let earned = self.rate.over(now.saturating_duration_since(self.updated));
        self.level = (self.level + earned).min(self.size());
        self.updated = self.updated.max(now);
    }
}
