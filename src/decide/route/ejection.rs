//! Outlier ejection: stops sending to an upstream that fails or is much slower than its peers.
//!
//! An upstream that fails fast always looks least loaded, so without ejection it attracts most of
//! the traffic while it keeps renewing its lease.

use std::time::Duration;

use tokio::time::Instant;

use super::ewma::Ewma;

/// Consecutive failures that cause an ejection. An upstream that fails one request in ten for
/// ordinary reasons is ejected by chance once in 100,000 requests.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Failure rate that causes an ejection, for an upstream that still answers some requests.
pub const MAX_FAILURE_RATE: f64 = 0.5;

/// Outcomes required before the failure rate is considered.
const MIN_OUTCOMES: u32 = 10;

/// Duration of the first ejection, enough for a process to restart; it doubles with each further
/// one. At 60 requests a second to the upstream, a wrong ejection costs only its share for that
/// time.
pub const BASE_DURATION: Duration = Duration::from_secs(10);

/// Upper bound on the duration of an ejection. A repaired upstream is used again within five
/// minutes, without an operator.
pub const MAX_DURATION: Duration = Duration::from_secs(300);

/// Ejection state of an upstream.
#[derive(Debug, Default)]
pub struct Ejection {
    consecutive_failures: u32,
    ejections: u32,
    until: Option<Instant>,
    probation: bool,
    failure_rate: Ewma,
}

impl Ejection {
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether it was ejected and has not answered in time since.
    pub fn is_on_probation(&self) -> bool {
        self.probation
    }

    /// When the last ejection ended or will end.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Records a request that was answered in time.
    pub fn record_success(&mut self) {
        self.failure_rate.add(0.0);
        self.consecutive_failures = 0;
        self.probation = false;
        self.ejections = 0;
    }

    /// Records a failure and returns whether the upstream should be ejected. On probation a single
    /// failure is enough, so that a dead upstream costs one request per ejection.
    pub fn record_failure(&mut self) -> bool {
        self.failure_rate.add(1.0);
        self.consecutive_failures += 1;
        let share = self.failure_rate.get().filter(|_| self.failure_rate.samples() >= MIN_OUTCOMES);
        self.probation
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || share.is_some_and(|share| share >= MAX_FAILURE_RATE)
    }

    /// Ejects the upstream from now on.
    pub fn eject(&mut self, now: Instant) {
        let span = BASE_DURATION.saturating_mul(1 << self.ejections.min(5)).min(MAX_DURATION);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.failure_rate = Ewma::default();
        self.probation = true;
        self.until = Some(now + span);
    }
}
