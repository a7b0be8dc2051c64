//! Work of a request, and statistics of the requests of a service.

use std::time::Duration;

use tokio::time::Instant;

use super::upstream::Report;
use crate::decide::engine::Engine;
use crate::decide::engine::Length;
use crate::decide::engine::Output;
use crate::decide::engine::Quantile;
use crate::decide::engine::Speed;
use crate::decide::room::Bound;
use crate::decide::route::Ewma;
use crate::unit::Rate;
use crate::unit::Tokens;

/// The prefix of a prompt that other requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Identifies the prefix.
    pub key: u64,
    /// The length of the prefix.
    pub tokens: Tokens,
}

/// The work of a request for an engine; empty for a plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// The shared prefix, if it is long enough to be worth caching.
    pub prefix: Option<Prefix>,
    /// The rest of the prompt.
    pub suffix: Tokens,
    /// The stated length of the answer.
    pub output: Output,
}

/// The time constant of the arrival rate.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// How long an upstream that has not answered yet is assumed to state what another of its service has stated.
const REFUSAL_LIMIT_TTL: Duration = Duration::from_secs(60);

/// An exponentially decaying count of arrivals.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    count: f64,
    last: Option<Instant>,
}

impl Arrivals {
    fn add(&mut self, now: Instant) {
        self.count = self.recent(now) + 1.0;
        self.last = Some(now);
    }

    /// Returns the number of arrivals within about [`RATE_WINDOW`].
    fn recent(&self, now: Instant) -> f64 {
        let age = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.count * (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }
}

/// Statistics of the requests of a service.
#[derive(Debug, Clone, Default)]
pub struct ServiceStats {
    service_time: Ewma,
    prefill: Ewma,
    arrivals: Arrivals,
    running: Ewma,
    waiting: Ewma,
    /// Whether any upstream has answered.
    pub has_answered: bool,
    /// How many requests an upstream has stated that it can refuse, and when.
    refusal_limit: Option<(Rate, Instant)>,
    /// The least requests beside which a plain upstream has rejected one recently.
    bound: Option<Bound>,
    /// The seconds that a request waited for room, divided by its place among those that waited.
    room_wait: Ewma,
    /// The latency of its engines.
    pub engine: Engine,
    /// The lengths of the answers.
    pub length: Length,
    /// The ratio of the gaps between events to the gaps without prefills.
    pub slowdown: Quantile,
}

/// Typical parameters of the engines of a service.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// The mean time of a request on an upstream.
    pub service_time: Duration,
    /// The latency.
    pub speed: Speed,
    /// The lengths of the answers.
    pub length: Length,
    /// The mean number of running requests.
    pub running: f64,
    /// The fraction of slots in use.
    pub utilization: f64,
    /// The ratio of the gaps between events to the gaps without prefills.
    pub slowdown: f64,
}

/// The service time before any measurement.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(200);

impl Profile {
    /// Returns the seconds from the first to the last event of a stream beside `running` others, with a slowdown that gaps have
    /// there.
    pub fn stream(&self, events: f64, running: f64, slowdown: f64) -> f64 {
        events * self.speed.gap(running + 1.0) * slowdown
    }
}

impl ServiceStats {
    /// Records a request with that many tokens to prefill.
    pub fn record_sent(&mut self, prefill: Tokens, now: Instant) {
        self.prefill.add(prefill.get() as f64);
        self.arrivals.add(now);
    }

    /// Records that an upstream stated how many requests it can refuse.
    pub const fn record_refusal_limit(&mut self, limit: Rate, now: Instant) {
        self.refusal_limit = Some((limit, now));
    }

    /// Returns how many requests its upstreams can refuse, as one of them stated recently, and when.
    pub fn refusal_limit(&self, now: Instant) -> Option<(Rate, Instant)> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFUSAL_LIMIT_TTL;
        self.refusal_limit.filter(|(_, at)| is_recent(*at))
    }

    /// Records that a plain upstream rejected a request beside so many others.
    pub fn record_rejection(&mut self, held: u32, now: Instant) {
        self.bound.get_or_insert_with(|| Bound::new(held, now)).record_rejection(held, now);
    }

    /// Returns the requests that each of its upstreams holds at most, as far as rejections have shown.
    pub const fn bound(&self) -> Option<Bound> {
        self.bound
    }

    /// Records how long a request waited for room behind so many others.
    pub fn record_room_wait(&mut self, waited: Duration, others: usize) {
        self.room_wait.add(waited.as_secs_f64() / (others + 1) as f64);
    }

    /// Returns the expected wait for room behind so many others; `None` if none has waited yet.
    pub fn room_wait(&self, others: usize) -> Option<Duration> {
        self.room_wait.get().map(|wait| Duration::from_secs_f64(wait * (others + 1) as f64))
    }

    /// Returns the number of requests per second from this VM.
    pub fn rate(&self, now: Instant) -> f64 {
        self.arrivals.recent(now) / RATE_WINDOW.as_secs_f64()
    }

    /// Records the duration of a request that was expected to take `rounds` service times, the wait for a slot
    /// included.
    ///
    /// Failure: the mean of a saturated service includes the wait for a slot, which is then multiplied by the rounds
    /// to wait. A wait of 0.3 s is estimated as 1.3 s, and all further requests are rejected.
    pub fn record_service_time(&mut self, elapsed: Duration, rounds: f64) {
        self.service_time.add(elapsed.as_secs_f64() / rounds.max(1.0));
    }

    /// Returns the mean service time.
    pub fn service_time(&self) -> Duration {
        self.service_time.get().map_or(DEFAULT_SERVICE_TIME, Duration::from_secs_f64)
    }

    /// Records a load report of one of the upstreams.
    pub fn record_report(&mut self, report: Report) {
        self.running.add(f64::from(report.running));
        self.waiting.add(f64::from(report.waiting));
    }

    /// Returns the mean numbers of running and waiting requests per upstream.
    pub fn mean_load(&self) -> Option<(f64, f64)> {
        Some((self.running.get()?, self.waiting.get()?))
    }

    /// Returns the typical parameters of engines with that many slots.
    pub fn profile(&self, slots: f64) -> Profile {
        let running = self.running.get().unwrap_or(0.0);
        let utilization = running / slots;
        let slowdown = self.slowdown.get().unwrap_or(1.0);
        let (service_time, speed) = (self.service_time(), self.engine.speed());
        Profile { service_time, speed, length: self.length, running, utilization, slowdown }
    }

    /// Returns the mean number of tokens to prefill per request.
    pub fn mean_prefill(&self) -> f64 {
        self.prefill.get().unwrap_or(0.0)
    }
}
