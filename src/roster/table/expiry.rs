//! Subjects by the time at which they must be checked for expiry, so that a check costs what is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::time::Instant;

use crate::roster::change_log::Subject;

/// The scheduled checks.
#[derive(Debug, Default)]
pub struct Expiry {
    due: BinaryHeap<Reverse<(Instant, Subject)>>,
}

impl Expiry {
    /// Schedules a check.
    pub fn push(&mut self, due: Instant, subject: Subject) {
        self.due.push(Reverse((due, subject)));
    }

    /// Removes the next check that is due before `now`.
    pub fn pop(&mut self, now: Instant) -> Option<(Instant, Subject)> {
        let Reverse((due, _)) = self.due.peek()?;
        if *due >= now {
            return None;
        }
        self.due.pop().map(|Reverse(check)| check)
    }
}
