//! Outlier ejection: keeping off an upstream that fails or is far slower than its like.
//!
//! Load pattern: one upstream fails each request at once, or takes ten times as long, while it goes on renewing
//! its lease. Without ejection an upstream that fails fast is always the least loaded one, and draws most of
//! the traffic into failing.

use std::time::Duration;

use tokio::time::Instant;

use super::ewma::Ewma;

/// So many failures in a row eject. One upstream that fails one request in ten for ordinary reasons is ejected
/// by accident once in 100,000 requests.
pub const FAILURES: u32 = 5;

/// So large a share of failures ejects too, for an upstream that answers now and then.
pub const FAILING: f64 = 0.5;

/// How many outcomes must be in before the share of failures counts.
const ENOUGH: u32 = 10;

/// How long the first ejection lasts; each following one lasts twice as long. Within 10 s a restarted process is
/// mostly back, and at 60 requests a second to the upstream a wrong ejection costs but its share for 10 s.
pub const FIRST: Duration = Duration::from_secs(10);

/// The longest ejection: a mended upstream is back within five minutes with nobody watching.
pub const LONGEST: Duration = Duration::from_secs(300);

/// Whether an upstream is ejected, and what led to it.
#[derive(Debug, Default)]
pub struct Ejection {
    failures: u32,
    times: u32,
    until: Option<Instant>,
    probation: bool,
    failing: Ewma,
}

impl Ejection {
    /// Whether the upstream is kept off now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether it was ejected and has not answered in good time since.
    pub fn is_on_probation(&self) -> bool {
        self.probation
    }

    /// When the last ejection ended, or will end.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// A request was answered in good time.
    pub fn answered(&mut self) {
        self.failing.add(0.0);
        self.failures = 0;
        self.probation = false;
        self.times = 0;
    }

    /// A request failed; returns whether the upstream should be ejected. One that has just come back is ejected
    /// again by a single failure, so that a dead one costs one request per ejection and not five.
    pub fn failed(&mut self) -> bool {
        self.failing.add(1.0);
        self.failures += 1;
        let share = self.failing.get().filter(|_| self.failing.samples() >= ENOUGH);
        self.probation || self.failures >= FAILURES || share.is_some_and(|share| share >= FAILING)
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: Instant) {
        let span = FIRST.saturating_mul(1 << self.times.min(5)).min(LONGEST);
        self.times += 1;
        self.failures = 0;
        self.failing = Ewma::default();
        self.probation = true;
        self.until = Some(now + span);
    }
}
