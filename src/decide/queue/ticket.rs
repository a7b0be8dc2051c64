//! Scheduling data of a waiting request.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Class;
use crate::id;
use crate::unit::Bytes;

/// A waiting request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The request's ID.
    pub request: id::Request,
    /// The owner.
    pub owner: id::Owner,
    /// The class of work.
    pub class: Class,
    /// The owner's weight in fair queueing.
    pub weight: u32,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// How long the request is expected to occupy a slot.
    pub service: Duration,
    /// A high percentile of the service time of such requests.
    pub tail: Duration,
    /// The memory that the request holds while it waits.
    pub size: Bytes,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Ticket {
    /// The latest start time at which the request very probably meets its deadline.
    ///
    /// A request whose total time is shorter than the tail must start on arrival.
    pub fn latest_start(&self) -> Instant {
        self.deadline.checked_sub(self.tail).map_or(self.arrived, |latest| latest.max(self.arrived))
    }

    /// Whether a request started now is expected to miss the deadline.
    pub fn is_too_late(&self, now: Instant) -> bool {
        now + self.service > self.deadline
    }

    /// The priority to request from the engine.
    pub fn priority(&self) -> Priority {
        Priority::of(self.class)
    }
}

/// An engine's scheduling priority; a lower number runs first and may preempt a higher one.
///
/// Engines batch continuously, so without priorities a long prompt slows an alert in the same batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(u8);

impl Priority {
    /// The priority of a class of work.
    pub const fn of(class: Class) -> Self {
        match class {
            Class::Alert => Self(0),
            Class::Short => Self(1),
            Class::Long => Self(2),
            Class::Batch => Self(3),
        }
    }

    /// The priority as a number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
