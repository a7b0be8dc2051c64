//! Cost model: the total cost to all callers of running a request on an engine.
//!
//! **Load pattern.** At the peak of a region, streams fill its engines while engines elsewhere idle. Prefills
//! lengthen each decoding step of all streams.
//!
//! **Without it.** Requests go where they start first. An engine with 130 running requests may start one as soon as
//! an engine with four, but takes four times as long to complete it and slows down all others.
//!
//! **Unit.** Cost is measured as time in flight: that of the request until its end, plus the time that it adds to the
//! requests beside it. A request in flight is lost if its engine, its VM or a connection fails, so the expected loss
//! grows with this time. A lost answer is weighted as an equivalent time.

use std::time::Duration;

use super::service::Profile;

/// The cost of a lost answer, as time in flight.
pub const LOST_ANSWER: Duration = Duration::from_secs(20);

/// The cost of a rejected request at high utilization; its caller retries.
const MIN_REFUSAL: Duration = Duration::from_secs(4);

/// The utilization from which a rejection has its minimum cost. At lower utilization the cost rises, up to that of a
/// lost answer.
const BUSY_UTILIZATION: f64 = 0.5;

/// The cost in seconds of recomputing 1,000 prefix tokens, in addition to the prefill time: other prefixes are
/// evicted from the cache and recomputed later.
const EVICTION_PER_KILOTOKEN: f64 = 0.5;

/// The conditions under which a request would run on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Seconds to the first event, queued prefills included.
    pub first_event: f64,
    /// Tokens of the prompt that are to be prefilled.
    pub prefill: f64,
    /// Tokens of the prefix that are to be prefilled although another engine has them cached. They evict other
    /// prefixes.
    pub uncached: f64,
    /// The expected number of events of the answer.
    pub events: f64,
    /// The number of requests that run on the engine.
    pub running: f64,
    /// The ratio of the gaps between events to the gaps without prefills.
    pub slowdown: f64,
}

/// The estimated latency and cost of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Seconds to the first event.
    pub first_event: f64,
    /// Seconds to the last event.
    pub last_event: f64,
    /// The cost to all callers, in seconds in flight.
    pub cost: f64,
}

/// Returns the cost of a rejection, in seconds, at the given utilization of the engines.
///
/// Failure: at peak load, a rejection as expensive as a lost answer sends prompts to engines without their prefix.
/// The prefill delays other prompts, whose prefixes are then recomputed elsewhere in turn. With idle engines,
/// requests should not be rejected at all.
pub fn refusal(utilization: f64) -> f64 {
    let busy = (utilization / BUSY_UTILIZATION).clamp(0.0, 1.0);
    let (min, max) = (MIN_REFUSAL.as_secs_f64(), LOST_ANSWER.as_secs_f64());
    max + (min - max) * busy
}

impl Conditions {
    /// Estimates latency and cost. Includes the cost of a rejection if the first event would take longer than
    /// `max_wait`.
    ///
    /// Failure: many requests for one prefix overload the engine that caches it. Without the cost of a rejection, all
    /// further ones are rejected while other engines idle. The cost is not raised below the limit, since that would
    /// move prefixes away from engines that still meet it.
    pub fn estimate(&self, profile: &Profile, max_wait: Duration) -> Estimate {
        let speed = &profile.speed;
        let stream = profile.stream(self.events, self.running, self.slowdown);
        let last_event = self.first_event + stream;
        let lengthening = self.events * speed.gap_per_request() * self.slowdown;
        let others = self.running * (lengthening + speed.prefill(self.prefill));
        let eviction = self.uncached / 1000.0 * EVICTION_PER_KILOTOKEN;
        let is_refused = self.first_event > max_wait.as_secs_f64();
        let refusal = if is_refused { refusal(profile.utilization) } else { 0.0 };
        Estimate {
            first_event: self.first_event,
            last_event,
            cost: last_event + others + eviction + refusal,
        }
    }
}
