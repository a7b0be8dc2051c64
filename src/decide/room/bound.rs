//! VM side: the requests that a plain upstream holds at most.

use std::time::Duration;

use tokio::time::Instant;

/// How fast the bound rises without rejections, in requests a second.
const RECOVERY_RATE: f64 = 1.0;

/// How long after its last rejection an upstream counts as bounded.
pub const BOUND_TTL: Duration = Duration::from_secs(60);

/// The requests, running and waiting, beyond which an upstream rejects more of them.
///
/// It is known from rejections only: the upstream states with each of them how many it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    requests: f64,
    /// When that number was stated.
    stated_at: Instant,
    rejected_at: Instant,
}

impl Bound {
    /// Creates the bound of an upstream that rejected a request beside so many others.
    pub fn new(held: u32, now: Instant) -> Self {
        Self { requests: f64::from(held), stated_at: now, rejected_at: now }
    }

    /// Records a rejection beside so many others. A larger number leaves the bound as it is: it rises by itself.
    pub fn record_rejection(&mut self, held: u32, now: Instant) {
        let is_lower = self.get(now).is_none_or(|known| held < known);
        if is_lower {
            *self = Self::new(held, now);
        }
        self.rejected_at = now;
    }

    /// Returns the requests that the upstream holds at most; `None` if it has not rejected any for a while.
    pub fn get(&self, now: Instant) -> Option<u32> {
        let is_valid = now.saturating_duration_since(self.rejected_at) < BOUND_TTL;
        let risen = now.saturating_duration_since(self.stated_at).as_secs_f64() * RECOVERY_RATE;
        is_valid.then_some((self.requests + risen) as u32)
    }
}

#[cfg(test)]
mod tests;
