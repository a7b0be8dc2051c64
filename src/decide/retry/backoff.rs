//! Exponential backoff between attempts.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the first delay: about the time to restart a process or reconnect.
const INITIAL_BOUND: Duration = Duration::from_millis(50);

/// Upper bound of any delay.
const MAX_BOUND: Duration = Duration::from_secs(5);

/// The delay before the next attempt after `made` ones: uniformly random between zero and a bound that doubles each
/// time. Full jitter spreads the retries of requests that failed at the same time.
pub fn delay(made: u32, rng: &mut impl Rng) -> Duration {
    let bound = INITIAL_BOUND.saturating_mul(1 << made.saturating_sub(1).min(16)).min(MAX_BOUND);
    bound.mul_f64(rng.random::<f64>())
}
