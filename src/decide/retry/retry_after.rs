//! Return times of callers whose requests were given up.
//!
//! If all callers were told the same time after an outage, they would overload the upstreams that have just recovered.
//! Return times are therefore spread at the rate at which requests were answered before.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// The shortest return time: an earlier request would probably meet the same fault.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest return time: with longer ones, recovered capacity would stay idle.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The window over which answers are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Weight of a new window in the average rate.
const SMOOTHING: f64 = 0.3;

/// Schedules callers' returns for one set of upstreams.
#[derive(Debug)]
pub struct RetryAfter {
    rate: f64,
    window: Option<Instant>,
    answers: u32,
    last_scheduled: Option<Instant>,
}

impl RetryAfter {
    /// Creates a schedule that lets one caller a second return until answers have been counted.
    pub fn new() -> Self {
        Self { rate: 1.0, window: None, answers: 0, last_scheduled: None }
    }

    /// Records an answer. Windows after a gap without answers are ignored, so that an outage doesn't lower the rate.
    pub fn answered(&mut self, now: Instant) {
        self.answers += 1;
        let start = *self.window.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < WINDOW {
            return;
        }
        if elapsed < WINDOW * 2 {
            let rate = f64::from(self.answers) / elapsed.as_secs_f64();
            self.rate += SMOOTHING * (rate - self.rate);
        }
        self.window = None;
        self.answers = 0;
    }

    /// The time after which the next caller may return, with jitter.
    pub fn next(&mut self, now: Instant, rng: &mut impl Rng) -> Duration {
        let at = self
            .last_scheduled
            .map_or(now + MIN_RETRY_AFTER, |last| last.max(now + MIN_RETRY_AFTER));
        let next = at + Duration::from_secs_f64(1.0 / self.rate.max(1.0));
        self.last_scheduled = Some(next.min(now + MAX_RETRY_AFTER));
        let retry_after = at.saturating_duration_since(now);
        retry_after.mul_f64(rng.random_range(1.0..1.25))
    }
}
