//! Admission control: whether a request may enter the queue.
//!
//! The wait is predicted from the queue, the slots and measured service times. A request that would miss its deadline is
//! refused at once, before it uses memory or a slot. Its caller is told when to come back: return times of refused
//! callers are spread behind the backlog at the rate at which they can be served, so that a burst doesn't repeat.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::catalogue::Class;
use crate::decide::queue;
use crate::decide::queue::Capacity;
use crate::decide::queue::Queue;
use crate::decide::queue::Ticket;
use crate::id;
use crate::unit::Slots;

mod estimator;
mod retry_schedule;

pub use estimator::Estimator;

use retry_schedule::MAX_RETRY_AFTER;
use retry_schedule::RetrySchedule;

/// The shortest time after which a refused caller may come back: a round trip between regions.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// When a refused caller may come back while no upstream is available: the time a new one takes to announce itself.
///
/// A return time behind the backlog could keep alerts away for minutes after the outage.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Maximum jitter, as a fraction of the time until the caller returns.
const JITTER: f64 = 0.25;

/// The maximum predicted wait as a fraction of a request's slack, in the order of [`Class::ALL`].
///
/// Predictions are uncertain: with the whole slack, many short requests admitted under overload would expire in the
/// queue (see docs/design/decisions.md).
const MAX_WAIT_FRACTIONS: [f64; Class::COUNT] = [1.0, 0.2, 0.5, 0.9];

/// The backlog that is always allowed, in requests, is this factor times the square root of the slots.
///
/// Arrivals fluctuate by about the square root of their number. With few slots a fraction of the slack alone would
/// refuse requests at ordinary fluctuations.
const MIN_BACKLOG_FACTOR: f64 = 3.0;

/// The fraction of the capacity that is planned for returning callers; the rest is left for new ones
/// (see docs/design/decisions.md).
const RETURNING_FRACTION: f64 = 0.5;

/// Service times assumed before any measurement, in the order of [`Class::ALL`].
const INITIAL_SERVICE_TIMES: [Duration; Class::COUNT] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(20),
    Duration::from_secs(30),
];

/// The decision on a request that has just arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may be pushed to the queue.
    Accept,
    /// The request is refused at once; it did not run.
    Refuse {
        /// The reason.
        reason: Reason,
        /// When the caller should come back, including jitter.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The queue can't take it.
    Queue(queue::Refusal),
    /// The predicted wait is too long for its deadline.
    Overload,
}

/// Decides which requests are admitted, and schedules the return of callers that are refused.
#[derive(Debug)]
pub struct Admission {
    rng: SmallRng,
    classes: [Estimator; Class::COUNT],
    entries: HashMap<id::Entry, Estimator>,
    retry_schedules: [RetrySchedule; Class::COUNT],
    shares: [u64; Class::COUNT],
}

impl Admission {
    /// Creates an admission control without measurements.
    pub fn new(rng: SmallRng) -> Self {
        let classes = INITIAL_SERVICE_TIMES.map(Estimator::new);
        Self {
            rng,
            classes,
            entries: HashMap::new(),
            retry_schedules: Default::default(),
            shares: [1; Class::COUNT],
        }
    }

    /// Records how long a request of this entry occupied its slot.
    pub fn observe(&mut self, entry: &id::Entry, class: Class, service: Duration) {
        self.classes[class.index()].observe(service);
        if let Some(estimator) = self.entries.get_mut(entry) {
            estimator.observe(service);
            return;
        }
        self.entries.insert(entry.clone(), Estimator::new(service));
    }

    /// Whether any request of this entry has been measured.
    pub fn has_measured(&self, entry: &id::Entry) -> bool {
        self.entries.contains_key(entry)
    }

    /// The service time of this entry, or of its class if the entry hasn't been measured.
    pub fn estimate(&self, entry: &id::Entry, class: Class) -> &Estimator {
        self.entries.get(entry).unwrap_or(&self.classes[class.index()])
    }

    /// Decides whether a request may enter the queue.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        queue: &Queue,
        capacity: &Capacity,
        now: Instant,
    ) -> Decision {
        let share = queue.share(ticket.class, capacity, now);
        if capacity.slots() > Slots::ZERO {
            self.shares[ticket.class.index()] = share;
        }
        let wait = queue.predicted_wait(ticket, capacity, now);
        let reason = match queue.check(ticket, now) {
            Err(refusal) => Reason::Queue(refusal),
            Ok(()) if wait > max_wait(ticket, share, now) => Reason::Overload,
            Ok(()) => return Decision::Accept,
        };
        let retry_after = self.schedule(ticket, wait, capacity, now);
        Decision::Refuse { reason, retry_after }
    }

    /// When the caller of a request that expired in the queue should come back.
    pub fn retry_after(
        &mut self,
        ticket: &Ticket,
        queue: &Queue,
        capacity: &Capacity,
        now: Instant,
    ) -> Duration {
        let wait = queue.predicted_wait(ticket, capacity, now);
        self.schedule(ticket, wait, capacity, now)
    }

    /// Schedules a refused caller's return after the backlog, and after earlier refused callers of the same owner.
    fn schedule(
        &mut self,
        ticket: &Ticket,
        wait: Duration,
        capacity: &Capacity,
        now: Instant,
    ) -> Duration {
        let wait = if capacity.slots() == Slots::ZERO {
            OUTAGE_RETRY_AFTER
        } else {
            wait.saturating_sub(slack(ticket, now))
        };
        let earliest = now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let interval =
            ticket.service.div_f64(RETURNING_FRACTION * self.shares[ticket.class.index()] as f64);
        let at = self.retry_schedules[ticket.class.index()].schedule(
            &ticket.owner,
            earliest,
            interval,
            now,
        );
        let retry_after = at.saturating_duration_since(now);
        retry_after.mul_f64(self.rng.random_range(1.0..1.0 + JITTER))
    }
}

/// The maximum predicted wait of a request that is admitted.
fn max_wait(ticket: &Ticket, share: u64, now: Instant) -> Duration {
    let slack = slack(ticket, now);
    let min_backlog = ticket.service.mul_f64(MIN_BACKLOG_FACTOR / (share as f64).sqrt());
    slack.mul_f64(MAX_WAIT_FRACTIONS[ticket.class.index()]).max(min_backlog).min(slack)
}

/// The time until the request's latest start.
fn slack(ticket: &Ticket, now: Instant) -> Duration {
    ticket.latest_start().saturating_duration_since(now)
}

#[cfg(test)]
mod tests;
