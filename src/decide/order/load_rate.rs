//! Rate limit on loading models: all engines of a region share the weight store's bandwidth.

use std::time::Duration;

use tokio::time::Instant;

use crate::unit::Bytes;
use crate::unit::Rate;

/// Runs one load after the other. Concurrent loads would share the bandwidth: none would finish sooner, and all but
/// the last would finish later.
#[derive(Debug)]
pub struct LoadRate {
    rate: Rate,
    free_at: Option<Instant>,
}

impl LoadRate {
    /// Creates a limit for a store that gives this region so many bytes a second.
    pub fn new(rate: Rate) -> Self {
        Self { rate, free_at: None }
    }

    /// Whether a load may begin now.
    pub fn is_free(&self, now: Instant) -> bool {
        self.free_at.is_none_or(|free_at| now >= free_at)
    }

    /// Reserves the store for a load of that size.
    pub fn begin(&mut self, size: Bytes, now: Instant) {
        let seconds = size.get() as f64 / self.rate.get().max(1.0);
        let start = self.free_at.map_or(now, |free_at| free_at.max(now));
        self.free_at = Some(start + Duration::from_secs_f64(seconds.min(MAX_LOAD_SECONDS)));
    }
}

/// Upper bound on the time reserved for one load, whatever its reported size.
const MAX_LOAD_SECONDS: f64 = 3600.0;
