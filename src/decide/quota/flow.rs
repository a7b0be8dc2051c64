//! Exponentially decaying rate estimate.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the average; covers several reports, so that their timing doesn't matter.
const SMOOTHING_TIME: Duration = Duration::from_millis(500);

/// A rate in units per second that weights recent units most.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    rate: f64,
    at: Instant,
}

impl Flow {
    /// Creates an estimate of zero.
    pub(super) const fn new(now: Instant) -> Self {
        Self { rate: 0.0, at: now }
    }

    /// Adds units that arrived since the last call.
    pub(super) fn add(&mut self, units: f64, now: Instant) {
        self.rate = self.rate(now) + units / SMOOTHING_TIME.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// The rate at `now`.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.rate * (-age.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp()
    }

    /// The rate at the last call of [`Self::add`].
    pub(super) const fn last(&self) -> f64 {
        self.rate
    }
}
