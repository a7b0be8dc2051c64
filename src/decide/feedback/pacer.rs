//! A VM's part of a rate limit over all VMs.
//!
//! The part is a bucket that drains at the VM's equal share of the limit. A full set of buckets would let all VMs send
//! at once, so if a share is less than about one request a second, the VM also waits for its [turn](super::rotation). There is
//! no lender of shares whose loss or replacement could exceed the limit.
//!
//! Over 4 s, all VMs together send at most five times the limit per second, plus one request.

use std::time::Duration;

use tokio::time::Instant;

use super::rotation::Position;
use super::rotation::Turns;
use crate::unit::Rate;

/// Lower bound of the rate over all VMs. An upstream that is sent nothing can't show that its limit has ended.
const MIN_RATE: f64 = 0.25;

/// How far requests may run ahead of the rate, and how long a turn remains valid. A longer round bears more, since a
/// VM can use each turn only once.
const MIN_TOLERANCE: f64 = 0.5;
const MAX_TOLERANCE: f64 = 1.0;

/// After a limit has ended, the rate doubles at this interval, so that requests don't all move to the upstream at once.
const RAMP_INTERVAL: Duration = Duration::from_millis(250);

/// Number of doublings after which the rate is unlimited.
const RAMP_STEPS: u32 = 12;

/// A rate over all VMs, and the reference of their turns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    turns: Turns,
}

impl Pace {
    /// The pace of a limit that began at `since`.
    pub fn limited(rate: Rate, since: Instant) -> Self {
        let rate = Rate::per_second(rate.get().max(MIN_RATE));
        Self { turns: Turns { reference: since, rate } }
    }

    /// The pace that long after a limit ended; `None` if it has no more effect.
    pub fn released(rate: Rate, since: Instant, elapsed: Duration) -> Option<Self> {
        let steps = elapsed.as_millis() / RAMP_INTERVAL.as_millis();
        let steps = u32::try_from(steps).ok().filter(|steps| *steps < RAMP_STEPS)?;
        let limited = Self::limited(rate, since);
        let rate = Rate::per_second(limited.turns.rate.get() * f64::from(1 << steps));
        Some(Self { turns: Turns { rate, ..limited.turns } })
    }

    /// The interval between two requests of a VM.
    pub fn interval(&self, position: Position) -> Duration {
        seconds(self.turns.round(position))
    }
}

/// What this VM has sent under a limit.
#[derive(Debug, Default)]
pub struct Pacer {
    /// Requests ahead of the rate, and when that was computed.
    ahead: f64,
    at: Option<Instant>,
}

impl Pacer {
    /// Returns how long requests have to wait; zero if one may be sent now.
    pub fn wait(&self, pace: &Pace, position: Position, now: Instant) -> Duration {
        let round = pace.turns.round(position);
        let tolerance = (round / 2.0).clamp(MIN_TOLERANCE, MAX_TOLERANCE);
        let drained = seconds((self.ahead(round, now) * round - tolerance).max(0.0));
        if round <= tolerance {
            return drained;
        }
        let elapsed = pace.turns.current(position, now + drained).elapsed.as_secs_f64();
        let next_turn = if elapsed <= tolerance { 0.0 } else { round - elapsed };
        drained.saturating_add(seconds(next_turn.max(0.0)))
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, pace: &Pace, position: Position, now: Instant) {
        self.ahead = self.ahead(pace.turns.round(position), now) + 1.0;
        self.at = Some(now);
    }

    fn ahead(&self, round: f64, now: Instant) -> f64 {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (self.ahead - elapsed.as_secs_f64() / round).max(0.0)
    }
}

/// Upper bound on a wait, so that it can be added to an instant.
const MAX_WAIT: Duration = Duration::from_secs(3600);

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT)
}
