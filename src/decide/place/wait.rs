//! How long a request may be expected to wait for its first event.
//!
//! Load pattern: more requests than the engines of all regions can read in, for seconds. If all are taken, all are late,
//! and an answer that comes late is worth a third of one in time, or nothing. What can't be in time is refused at once,
//! with a time to come back, and the rest is in time. The less urgent ones make room first.

use std::time::Duration;

/// The part of its objective that an urgent request may be expected to wait. Expectations err by a fifth or so: a bound
/// at the objective itself would refuse requests that are in time.
const URGENT: f64 = 1.25;

/// The same for the others.
const OTHERS: f64 = 1.0;

/// The longest wait for a request whose first event should come within the objective.
pub fn longest(objective: Duration, urgent: bool) -> Duration {
    objective.mul_f64(if urgent { URGENT } else { OTHERS })
}
