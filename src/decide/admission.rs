//! Whether a request may wait at all.
//!
//! **Load pattern.** Far more requests than slots, sent by programs that ask again until they are answered.
//!
//! **Without it.** The queue grows until everything in it is answered late; callers time out and send again, so
//! the slots run work that nobody waits for, and goodput falls to nothing although every slot is busy.
//!
//! **Decision.** The wait is predicted from what is queued, the slots and measured service times. What can't meet its
//! deadline is refused at once, before it holds memory, and told when to come back: refused callers are given
//! places one after the other behind the backlog, so that a storm returns at the rate at which it can be served.

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

mod bookings;
mod estimator;

pub use estimator::Estimator;

use bookings::Bookings;
use bookings::MAX_RETRY;

/// The shortest time that a refused caller is told to stay away. Derived: a trip between regions and back.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// How long a refused caller stays away while no upstream is there: the time in which a new one announces itself.
///
/// Nobody knows when that will be. Places behind a backlog would keep alerts away for minutes after it.
const OUTAGE_RETRY: Duration = Duration::from_secs(3);

/// The part of the time away that jitter adds: callers refused in the same instant don't return in the same instant.
const JITTER: f64 = 0.25;

/// The part of a request's slack that its predicted wait may take, in the order of [`Class::ALL`].
///
/// Measured (docs/design/decisions.md): with all of it, a third of the lookups that are let in under overload are given
/// up on later, and 1.9 of 24 slots run what ends too late; with a fifth it is one in seventy and 0.3 slots, and the
/// median answer takes half the time.
const SLACK_PARTS: [f64; Class::COUNT] = [1.0, 0.2, 0.5, 0.9];

/// So many requests for each root of the slots may wait in any case.
///
/// Arrivals vary by the root of what is served meanwhile: on two slots a fifth of the slack is one waiting request,
/// and lookups that would be in time are refused at every other excursion.
const EXCURSION: f64 = 3.0;

/// The part of the capacity that is promised to callers that were refused; new ones need the rest.
///
/// Measured (docs/design/decisions.md): with all of it, 79% of the lookups beside a burst are in time, with a half 89%,
/// and the burst itself takes an eighth longer; with less the burst takes longer still and lookups gain little.
const PROMISED: f64 = 0.5;

/// The first guesses of service times, in the order of [`Class::ALL`]; measurements replace them soon.
const GUESSES: [Duration; Class::COUNT] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(20),
    Duration::from_secs(30),
];

/// What becomes of a request that has just arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be pushed to the queue.
    Accept,
    /// It is answered at once; it ran nowhere.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller should come back, jitter included.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The queue's bounds don't allow it, or its deadline can't be met even by a start at once.
    Queue(queue::Refusal),
    /// It would wait past its deadline.
    Overload,
}

/// Decides which requests may wait, and remembers what it told those that may not.
#[derive(Debug)]
pub struct Admission {
    rng: SmallRng,
    classes: [Estimator; Class::COUNT],
    entries: HashMap<id::Entry, Estimator>,
    bookings: [Bookings; Class::COUNT],
    shares: [u64; Class::COUNT],
}

impl Admission {
    /// Nothing measured yet.
    pub fn new(rng: SmallRng) -> Self {
        let classes = GUESSES.map(Estimator::new);
        Self {
            rng,
            classes,
            entries: HashMap::new(),
            bookings: Default::default(),
            shares: [1; Class::COUNT],
        }
    }

    /// Takes in how long a request of this entry occupied its slot.
    pub fn observe(&mut self, entry: &id::Entry, class: Class, service: Duration) {
        self.classes[class.index()].observe(service);
        if let Some(estimator) = self.entries.get_mut(entry) {
            estimator.observe(service);
            return;
        }
        self.entries.insert(entry.clone(), Estimator::new(service));
    }

    /// Whether any request of this entry was measured.
    pub fn has_measured(&self, entry: &id::Entry) -> bool {
        self.entries.contains_key(entry)
    }

    /// How long requests of this entry occupy a slot.
    pub fn estimate(&self, entry: &id::Entry, class: Class) -> &Estimator {
        self.entries.get(entry).unwrap_or(&self.classes[class.index()])
    }

    /// Whether this request may wait.
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
            Ok(()) if wait > patience(ticket, share, now) => Reason::Overload,
            Ok(()) => return Decision::Accept,
        };
        let retry_after = self.book(ticket, wait, capacity, now);
        Decision::Refuse { reason, retry_after }
    }

    /// When the caller of a request that the queue gave up on should come back.
    pub fn retry_after(
        &mut self,
        ticket: &Ticket,
        queue: &Queue,
        capacity: &Capacity,
        now: Instant,
    ) -> Duration {
        let wait = queue.predicted_wait(ticket, capacity, now);
        self.book(ticket, wait, capacity, now)
    }

    /// Gives a refused caller a place behind the backlog and behind those of its owner that were refused before.
    fn book(
        &mut self,
        ticket: &Ticket,
        wait: Duration,
        capacity: &Capacity,
        now: Instant,
    ) -> Duration {
        let wait = if capacity.slots() == Slots::ZERO {
            OUTAGE_RETRY
        } else {
            wait.saturating_sub(slack(ticket, now))
        };
        let earliest = now + wait.clamp(MIN_RETRY, MAX_RETRY);
        let pace = ticket.service.div_f64(PROMISED * self.shares[ticket.class.index()] as f64);
        let turn = self.bookings[ticket.class.index()].book(&ticket.owner, earliest, pace, now);
        let away = turn.saturating_duration_since(now);
        away.mul_f64(self.rng.random_range(1.0..1.0 + JITTER))
    }
}

/// How long a request may wait by prediction.
fn patience(ticket: &Ticket, share: u64, now: Instant) -> Duration {
    let slack = slack(ticket, now);
    let excursion = ticket.service.mul_f64(EXCURSION / (share as f64).sqrt());
    slack.mul_f64(SLACK_PARTS[ticket.class.index()]).max(excursion).min(slack)
}

/// How long a request can wait.
fn slack(ticket: &Ticket, now: Instant) -> Duration {
    ticket.latest_start().saturating_duration_since(now)
}

#[cfg(test)]
mod tests;
