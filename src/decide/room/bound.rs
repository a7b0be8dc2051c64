//! VM side: the requests that a plain upstream holds at most.

use std::time::Duration;

use tokio::time::Instant;

/// How fast the bound rises without rejections, in requests a second. Each VM finds by a rejection of its own that it has risen
/// too far, so that many VMs cause many rejections at a higher rate.
const RECOVERY_RATE: f64 = 0.2;

/// How long after its last rejection an upstream counts as bounded.
const BOUND_TTL: Duration = Duration::from_secs(60);

/// The requests, running and waiting, beyond which an upstream rejects more of them.
///
/// It is known from rejections only: the upstream states with each of them how many it holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The number at the last rejection.
    requests: f64,
    rejected_at: Instant,
}

impl Bound {
    /// Creates the bound of an upstream that rejected a request beside so many others.
    pub fn new(held: u32, now: Instant) -> Self {
        Self { requests: f64::from(held), rejected_at: now }
    }

    /// Records a rejection beside so many others. Where these are more than the bound, it has risen as far as it may by now.
    pub fn record_rejection(&mut self, held: u32, now: Instant) {
        let known = if self.is_valid(now) { self.risen(now) } else { f64::INFINITY };
        *self = Self { requests: known.min(f64::from(held)), rejected_at: now };
    }

    /// Returns the requests that the upstream holds at most; `None` if it has not rejected any for a while.
    pub fn get(&self, now: Instant) -> Option<u32> {
        self.is_valid(now).then_some(self.risen(now) as u32)
    }

    /// Returns the bound at the last rejection, which VMs divide among them.
    ///
    /// Failure: each VM's bound rises until it receives a rejection itself. If parts rose with it, the sum of all parts would
    /// exceed the bound most of the time, and requests of VMs that keep to theirs would be rejected.
    pub fn confirmed(&self, now: Instant) -> Option<u32> {
        self.is_valid(now).then_some(self.requests as u32)
    }

    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.rejected_at) < BOUND_TTL
    }

    fn risen(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.rejected_at);
        self.requests + elapsed.as_secs_f64() * RECOVERY_RATE
    }
}

#[cfg(test)]
mod tests;
