//! Whether an upstream answers, by what its answers show.
//!
//! Load pattern: an upstream fails half of its requests at once, or resets them, while its health checks are good. It
//! is always the least loaded one, and draws the traffic into failing. Another crashes and refuses connections for some
//! seconds, and is back with an empty cache.
//!
//! An engine that fails is free at once, and so looks better than those that work: engines that answer each request with an
//! error would get most of the traffic. So what a failure costs is on the scale of [`super::cost`].

use std::time::Duration;

use tokio::time::Instant;

use super::cost;
use crate::decide::route::Ewma;

/// The price of a certain failure at a plain service, as a wait: what a caller loses who has to come back. A failing share
/// of a third thus outweighs a trip to another region and back. Some errors come from the request itself, whoever runs it.
const PLAIN_FAILURE: Duration = Duration::from_millis(500);

/// The record fades with this time: an upstream that is mended is back within seconds, with nobody watching.
const FADE: Duration = Duration::from_secs(4);

/// After a connection that did not come about, an upstream is left alone for so long; it doubles each time.
const FIRST: Duration = Duration::from_millis(300);

/// The longest that it is left alone.
const LONGEST: Duration = Duration::from_secs(3);

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Answered,
    /// The upstream refused it and did not run it.
    Refused,
    /// No connection came about, so nothing was sent.
    Unreachable,
    /// It broke off, or its answer was wrong or did not come.
    Failed,
    /// The upstream's own error.
    Error,
    /// The caller left, or another attempt was faster; it says nothing of the upstream.
    Abandoned,
}

/// From so many answers of all VMs on, their share of failures counts and not the own one: a VM that has had two answers of
/// an upstream would take one failure for half of all.
const ENOUGH: f64 = 8.0;

/// Failures and good answers of late, each fading with [`FADE`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    /// Requests that ended well.
    pub answered: f64,
    /// Requests that failed.
    pub failed: f64,
}

impl Evidence {
    fn aged(self, age: Duration) -> Self {
        let fresh = fresh(age);
        Self { answered: self.answered * fresh, failed: self.failed * fresh }
    }

    fn with(self, other: Self) -> Self {
        Self { answered: self.answered + other.answered, failed: self.failed + other.failed }
    }

    fn total(self) -> f64 {
        self.answered + self.failed
    }
}

/// What is left of a record after that time.
fn fresh(age: Duration) -> f64 {
    (-age.as_secs_f64() / FADE.as_secs_f64()).exp()
}

/// The record of one upstream.
#[derive(Debug, Default)]
pub struct Health {
    failing: Ewma,
    last: Option<Instant>,
    evidence: Evidence,
    unreachable: u32,
    away_until: Option<Instant>,
}

impl Health {
    /// Takes an outcome.
    pub fn take(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => self.note(0.0, now),
            Outcome::Failed | Outcome::Error => self.note(1.0, now),
            Outcome::Unreachable => {
                self.note(1.0, now);
                let pause = FIRST.saturating_mul(1 << self.unreachable.min(4)).min(LONGEST);
                self.unreachable += 1;
                self.away_until = Some(now + pause);
            }
            Outcome::Refused | Outcome::Abandoned => (),
        }
        if matches!(outcome, Outcome::Answered | Outcome::Refused | Outcome::Error) {
            self.unreachable = 0;
            self.away_until = None;
        }
    }

    /// Whether it is left alone now.
    pub fn is_away(&self, now: Instant) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }

    /// What this VM saw of late.
    pub fn evidence(&self, now: Instant) -> Evidence {
        self.evidence.aged(self.age(now))
    }

    /// What its failures cost, as a wait, beside what other VMs of the region saw of it.
    pub fn penalty(&self, is_engine: bool, others: Evidence, now: Instant) -> Duration {
        let all = self.evidence(now).with(others);
        let (share, weight) = if all.total() >= ENOUGH {
            (all.failed / all.total(), 1.0)
        } else {
            (self.failing.get().unwrap_or(0.0), fresh(self.age(now)))
        };
        // A single failure among ten answers is chance as a rule. If an engine were left alone for it, its part of the load
        // would fall on the others: at the peak, one of eight engines of a region stood idle for ten seconds.
        let failure = if is_engine { cost::LOST.mul_f64(share) } else { PLAIN_FAILURE };
        failure.mul_f64(share * weight)
    }

    fn age(&self, now: Instant) -> Duration {
        self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
    }

    fn note(&mut self, failure: f64, now: Instant) {
        let before = self.evidence(now);
        self.evidence = before.with(Evidence { answered: 1.0 - failure, failed: failure });
        self.failing.add(failure);
        self.last = Some(now);
    }
}
