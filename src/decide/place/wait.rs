//! Limit of the expected time to the first event.
//!
//! Load pattern: for some seconds, more requests arrive than the engines of all regions can prefill. If all are
//! accepted, all are late, and a late answer is worth little or nothing. Requests that would be late are rejected at
//! once with a retry time, those of low priority first.

use std::time::Duration;

/// The limit for urgent requests, relative to the objective. Above one, since estimates have an error of about a
/// fifth and would otherwise reject requests that meet it.
const URGENT_FACTOR: f64 = 1.25;

/// The limit for other requests, relative to the objective.
const DEFAULT_FACTOR: f64 = 1.0;

/// The limit in a standing shortage, relative to the objective. The slots are as busy with a shorter queue, and what is
/// admitted is answered in time in spite of the error of estimates.
const SHORTAGE_FACTOR: f64 = 0.75;

/// The limit in a standing shortage for a request that returns when its objective is nearly over. The queue stands at the
/// limit of the others, which it would push over it otherwise.
const LATE_FACTOR: f64 = 0.5;

/// Returns the maximum expected time to the first event for an objective.
pub fn limit(objective: Duration, urgent: bool) -> Duration {
    objective.mul_f64(if urgent { URGENT_FACTOR } else { DEFAULT_FACTOR })
}

/// Returns the same in a standing shortage.
pub fn shortage_limit(objective: Duration) -> Duration {
    objective.mul_f64(SHORTAGE_FACTOR)
}

/// Returns the same for a request whose caller's first attempt was so long ago. Its answer counts from then.
pub fn return_limit(objective: Duration, elapsed: Duration) -> Duration {
    let left = objective.saturating_sub(elapsed);
    shortage_limit(left).max(objective.mul_f64(LATE_FACTOR))
}
