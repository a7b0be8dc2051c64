//! What the queue knows of a waiting request.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Class;
use crate::id;
use crate::unit::Bytes;

/// A waiting request: no body, only what the order of service depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The request itself.
    pub request: id::Request,
    /// Whose request it is.
    pub owner: id::Owner,
    /// The class of work.
    pub class: Class,
    /// The owner's share against other owners' shares.
    pub weight: u32,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// How long the request is expected to occupy a slot.
    pub service: Duration,
    /// The time within which all but a few such requests end.
    pub tail: Duration,
    /// The memory that the request holds while it waits.
    pub size: Bytes,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Ticket {
    /// The last instant at which a start is all but sure to meet the deadline.
    ///
    /// A request that has waited starts no later: one in three would end too late, and take the slot from requests
    /// that have time. One whose whole time is shorter than the tail starts at once or not at all.
    pub fn latest_start(&self) -> Instant {
        self.deadline.checked_sub(self.tail).map_or(self.arrived, |latest| latest.max(self.arrived))
    }

    /// Whether a start at `now` would end after the deadline.
    pub fn is_too_late(&self, now: Instant) -> bool {
        now + self.service > self.deadline
    }

    /// The priority that the engine is asked to give to this request.
    pub fn priority(&self) -> Priority {
        Priority::of(self.class)
    }
}

/// An engine's scheduling priority; a lower number runs first and may preempt a higher one.
///
/// Engines batch continuously: without it a long prompt that is already running slows an alert that
/// shares its batch, and no order of dispatch can mend that.
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

    /// The bare number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
