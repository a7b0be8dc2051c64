//! VM side: the requests that this VM may have at one upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::Grant;
use crate::decide::sharing::UPDATE_TTL;

/// How long a grant is valid without a new one. The host counts it for longer, so that nobody else is granted the same.
const GRANT_TTL: Duration = Duration::from_millis(500);

/// The fraction of the requests at an upstream which refused one that are taken for its capacity.
const REFUSED_FRACTION: f64 = 0.75;

/// How fast that estimate rises again, in requests a second.
const RECOVERY_RATE: f64 = 1.0;

/// The requests that this VM may have at one upstream.
#[derive(Debug, Default)]
pub struct Allowance {
    granted: Option<(Grant, Instant)>,
    /// The capacity found at the last refusal.
    reduced: Option<(f64, Instant)>,
}

impl Allowance {
    /// Returns whether one more request may be sent beside those that run.
    pub fn permits(&self, running: u32, now: Instant) -> bool {
        self.allowance(now).is_some_and(|allowance| running < allowance)
    }

    /// Returns the requests that this VM may have; `None` if nothing valid was granted.
    pub fn allowance(&self, now: Instant) -> Option<u32> {
        let (grant, at) = self.granted?;
        (now.saturating_duration_since(at) < GRANT_TTL).then_some(grant.allowance)
    }

    /// Applies a grant.
    pub const fn apply(&mut self, grant: Grant, now: Instant) {
        self.granted = Some((grant, now));
    }

    /// Gives up what is not used, as a claim is sent.
    pub fn give_up(&mut self, running: u32) {
        if let Some((grant, _)) = &mut self.granted {
            grant.allowance = grant.allowance.min(running);
        }
    }

    /// Records the end of a request; returns whether its place is to be given up at once: others may wait for it, or no
    /// request of this VM does.
    pub const fn record_end(&mut self, is_wanted: bool) -> bool {
        let Some((grant, _)) = &mut self.granted else { return false };
        if !grant.keeps {
            grant.allowance = grant.allowance.saturating_sub(1);
        }
        !grant.keeps || !is_wanted
    }

    /// Records that the upstream refused a request beside so many others.
    pub fn record_refusal(&mut self, others: u32, slots: u32, now: Instant) {
        let known = f64::from(self.capacity(slots, now).min(others));
        self.reduced = Some(((known * REFUSED_FRACTION).max(1.0), now));
        self.give_up(0);
    }

    /// Returns the number of requests for which the upstream has room.
    pub fn capacity(&self, slots: u32, now: Instant) -> u32 {
        let Some((capacity, at)) = self.reduced else { return slots };
        let recovered = now.saturating_duration_since(at).as_secs_f64() * RECOVERY_RATE;
        slots.min((capacity + recovered) as u32)
    }
}

const _: () = assert!(
    GRANT_TTL.as_millis() < UPDATE_TTL.as_millis(),
    "a host grants a place again only when no VM uses it any more"
);
