//! Pacing what a cold upstream gets.
//!
//! Load pattern: an upstream starts, or comes back after an outage, while its service is under load; all VMs find it
//! idle at the same moment. Without a pace it gets more in its first second than it bears and crashes, again and again.

use std::time::Duration;

use tokio::time::Instant;

use crate::unit::Rate;

/// A pace of single requests: unused time is not saved up, so that no burst follows a quiet second.
#[derive(Debug, Default)]
pub struct Pace {
    next: Option<Instant>,
}

impl Pace {
    /// Whether a request may go now.
    pub fn allows(&self, now: Instant) -> bool {
        self.next.is_none_or(|next| now >= next)
    }

    /// A request goes.
    pub fn went(&mut self, rate: Rate, now: Instant) {
        let gap = Duration::try_from_secs_f64(1.0 / rate.get()).unwrap_or(Duration::MAX);
        let from = self.next.map_or(now, |next| next.max(now));
        self.next = from.checked_add(gap);
    }
}
