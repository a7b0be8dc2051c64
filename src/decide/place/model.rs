//! What a request asks of an upstream, and how long requests of a service take.

use std::time::Duration;

use tokio::time::Instant;

use super::tracked::Report;
use crate::decide::engine::Engine;
use crate::decide::engine::Length;
use crate::decide::engine::Output;
use crate::decide::engine::Quantile;
use crate::decide::engine::Speed;
use crate::decide::route::Ewma;
use crate::unit::Tokens;

/// The part of a prompt that other requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shared {
    /// Names it.
    pub key: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a request asks of an engine; nothing at all of a plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// The shared part that is worth looking for.
    pub shared: Option<Shared>,
    /// The rest of the prompt.
    pub own: Tokens,
    /// What it says of the length of its answer.
    pub output: Output,
}

/// The time over which a VM measures how many requests it gets.
const MEASURED: Duration = Duration::from_secs(2);

/// How often requests come.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    count: f64,
    last: Option<Instant>,
}

impl Arrivals {
    fn add(&mut self, now: Instant) {
        self.count = self.left(now) + 1.0;
        self.last = Some(now);
    }

    /// Arrivals in the last [`MEASURED`] or so.
    fn left(&self, now: Instant) -> f64 {
        let age = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.count * (-age.as_secs_f64() / MEASURED.as_secs_f64()).exp()
    }
}

/// What is known of a service's requests.
#[derive(Debug, Clone, Default)]
pub struct Model {
    served: Ewma,
    reads: Ewma,
    arrivals: Arrivals,
    running: Ewma,
    waiting: Ewma,
    /// How fast its engines are.
    pub engine: Engine,
    /// How long their answers are.
    pub length: Length,
    /// Their pauses against those in which nothing is read.
    pub slowness: Quantile,
}

/// What holds for all engines of a service, for one decision.
#[derive(Debug, Clone, Copy)]
pub struct Usual {
    /// How fast they are.
    pub speed: Speed,
    /// How long their answers are.
    pub length: Length,
    /// The requests that run in one of them.
    pub running: f64,
    /// The share of their slots that is taken.
    pub taken: f64,
    /// Their pauses against those in which nothing is read.
    pub slowness: f64,
}

/// A first guess of the time that a request occupies its place; measurements replace it soon.
const SERVED: Duration = Duration::from_millis(200);

impl Model {
    /// A request was sent that has so much to read.
    pub fn sent(&mut self, reads: Tokens, now: Instant) {
        self.reads.add(reads.get() as f64);
        self.arrivals.add(now);
    }

    /// The requests that this VM sends to the service in a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.arrivals.left(now) / MEASURED.as_secs_f64()
    }

    /// A request occupied its place for so long, where it had to wait until that many rounds of others had ended before
    /// it, its own round included.
    ///
    /// Failure: a service at its limit is measured with the wait for its slots, and that mean is then multiplied by the
    /// rounds to wait. Twenty waiting requests, which cost 0.3 s, are taken for 1.3 s, and all further ones are refused.
    pub fn served(&mut self, took: Duration, rounds: f64) {
        self.served.add(took.as_secs_f64() / rounds.max(1.0));
    }

    /// The mean time that a request occupies its place.
    pub fn service_time(&self) -> Duration {
        self.served.get().map_or(SERVED, Duration::from_secs_f64)
    }

    /// One of the upstreams told its load.
    pub fn reported(&mut self, report: Report) {
        self.running.add(f64::from(report.running));
        self.waiting.add(f64::from(report.waiting));
    }

    /// The requests that run, and those that wait, in an upstream of the service as a rule.
    pub fn usual_load(&self) -> Option<(f64, f64)> {
        Some((self.running.get()?, self.waiting.get()?))
    }

    /// What holds for all engines of the service, which have so many slots each.
    pub fn usual(&self, slots: f64) -> Usual {
        let running = self.running.get().unwrap_or(0.0);
        let taken = running / slots;
        let slowness = self.slowness.get().unwrap_or(1.0);
        Usual { speed: self.engine.speed(), length: self.length, running, taken, slowness }
    }

    /// The mean prompt that a request has to read, in tokens.
    pub fn mean_reads(&self) -> f64 {
        self.reads.get().unwrap_or(0.0)
    }
}
