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

/// Returns the maximum expected time to the first event for an objective.
pub fn limit(objective: Duration, urgent: bool) -> Duration {
    objective.mul_f64(if urgent { URGENT_FACTOR } else { DEFAULT_FACTOR })
}
