//! A rate that follows what comes.

use std::time::Duration;

use tokio::time::Instant;

/// The time over which what comes is averaged: several rounds in which VMs tell, so that the number of those that told
/// within a moment makes no difference.
const SMOOTHED: Duration = Duration::from_millis(500);

/// Units a second, an average that weighs what came last the most.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    rate: f64,
    at: Instant,
}

impl Flow {
    /// Nothing has come.
    pub(super) const fn new(now: Instant) -> Self {
        Self { rate: 0.0, at: now }
    }

    /// So many came since the last time.
    pub(super) fn add(&mut self, units: f64, now: Instant) {
        self.rate = self.rate(now) + units / SMOOTHED.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// The rate at present.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.rate * (-age.as_secs_f64() / SMOOTHED.as_secs_f64()).exp()
    }

    /// The rate when something came last.
    pub(super) const fn last(&self) -> f64 {
        self.rate
    }
}
