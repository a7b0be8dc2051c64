//! Detects pauses of this process: it was stopped, its VM stood still, or it got no processor time.

use std::time::Duration;

use tokio::time::Instant;

/// Tells from the times at which the process is known to have run whether it paused in between.
#[derive(Debug)]
pub struct Detector {
    /// The longest time between two observations that is no pause.
    limit: Duration,
    last: Option<Instant>,
}

impl Detector {
    /// Creates a detector. Without a pause, the process is observed at intervals below the limit.
    pub const fn new(limit: Duration) -> Self {
        Self { limit, last: None }
    }

    /// Records that the process runs; returns for how long it did not, if that is longer than the limit.
    pub fn observe(&mut self, now: Instant) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.saturating_duration_since(last);
        (gap >= self.limit).then_some(gap)
    }
}

#[cfg(test)]
mod tests;
