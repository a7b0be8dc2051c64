//! Passive health checks: detects failing upstreams from the outcomes of requests.
//!
//! Load pattern: an upstream fails half of its requests although its active health checks succeed. Since failures
//! free its slots at once, it is always the least loaded one and attracts traffic. Another upstream crashes, refuses
//! connections for some seconds and returns with an empty cache.
//!
//! The penalty for failures uses the scale of [`super::cost`], so that it outweighs the apparent idleness.

use std::time::Duration;

use tokio::time::Instant;

use super::cost;
use crate::decide::route::Ewma;

/// The penalty for a certain failure of a plain service: the time a caller loses by a retry. A failure rate of one
/// third outweighs the round trip to another region. Some errors are caused by the request itself.
const PLAIN_FAILURE: Duration = Duration::from_millis(500);

/// The time constant of the exponential decay of outcomes; a recovered upstream gets traffic again within seconds.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// The initial backoff after a failed connection attempt; doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(300);

/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// The outcome of a request on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete.
    Answered,
    /// The upstream rejected the request without running it.
    Refused,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The answer was interrupted or invalid.
    Failed,
    /// No answer began before the request was given up. The upstream may still run it.
    Unanswered,
    /// The upstream returned an error.
    Error,
    /// The caller disconnected or another attempt was faster; not counted for or against the upstream.
    Abandoned,
}

/// The minimum number of outcomes over all VMs for their failure rate to be used. Below it, a single failure would
/// weigh too much.
const MIN_OUTCOMES: f64 = 8.0;

/// Recent outcomes, decayed by [`DECAY_TIME`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Successful requests.
    pub answered: f64,
    /// Failed requests.
    pub failed: f64,
}

impl OutcomeCounts {
    fn decayed(self, age: Duration) -> Self {
        let factor = decay(age);
        Self { answered: self.answered * factor, failed: self.failed * factor }
    }

    fn plus(self, other: Self) -> Self {
        Self { answered: self.answered + other.answered, failed: self.failed + other.failed }
    }

    fn total(self) -> f64 {
        self.answered + self.failed
    }
}

/// Returns the decay factor for an age.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// The outcome history of one upstream.
#[derive(Debug, Default)]
pub struct Health {
    failure_rate: Ewma,
    last: Option<Instant>,
    counts: OutcomeCounts,
    unreachable: u32,
    backoff_until: Option<Instant>,
}

impl Health {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => self.record_result(0.0, now),
            Outcome::Failed | Outcome::Unanswered | Outcome::Error => {
                self.record_result(1.0, now);
            }
            Outcome::Unreachable => {
                self.record_result(1.0, now);
                let backoff =
                    MIN_BACKOFF.saturating_mul(1 << self.unreachable.min(4)).min(MAX_BACKOFF);
                self.unreachable += 1;
                self.backoff_until = Some(now + backoff);
            }
            Outcome::Refused | Outcome::Abandoned => (),
        }
        if matches!(outcome, Outcome::Answered | Outcome::Refused | Outcome::Error) {
            self.unreachable = 0;
            self.backoff_until = None;
        }
    }

    /// Forgets failures that were not the upstream's.
    pub fn forget_unreachable(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the upstream is in backoff after failed connection attempts.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the outcomes that this VM observed recently.
    pub fn counts(&self, now: Instant) -> OutcomeCounts {
        self.counts.decayed(self.age(now))
    }

    /// Returns the penalty for failures, as a wait, given the outcomes that the region's other VMs observed.
    pub fn penalty(&self, is_engine: bool, others: OutcomeCounts, now: Instant) -> Duration {
        let all = self.counts(now).plus(others);
        let (rate, weight) = if all.total() >= MIN_OUTCOMES {
            (all.failed / all.total(), 1.0)
        } else {
            (self.failure_rate.get().unwrap_or(0.0), decay(self.age(now)))
        };
        // The penalty of engines is quadratic in the failure rate, since a single failure among ten answers is mostly
        // chance. An engine that is avoided for it shifts its load to the others, which overloads them at the peak.
        let failure = if is_engine { cost::LOST_ANSWER.mul_f64(rate) } else { PLAIN_FAILURE };
        failure.mul_f64(rate * weight)
    }

    fn age(&self, now: Instant) -> Duration {
        self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
    }

    fn record_result(&mut self, failure: f64, now: Instant) {
        let before = self.counts(now);
        self.counts = before.plus(OutcomeCounts { answered: 1.0 - failure, failed: failure });
        self.failure_rate.add(failure);
        self.last = Some(now);
    }
}
