//! How callers ask again: they are programs, and never give up.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// How callers behave when they get no answer.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// The share of refusals after which the caller waits as long as it was told to.
    pub obedient: f64,
    /// How long a caller waits by itself, give or take half of it.
    pub pause: Duration,
}

impl Default for Manner {
    fn default() -> Self {
        Self { obedient: 0.9, pause: Duration::from_secs(1) }
    }
}

impl Manner {
    /// When the caller asks again after a refusal, or after its own timeout where nothing was told.
    pub fn pause(&self, told: Option<Duration>, rng: &mut SmallRng) -> Duration {
        match told {
            Some(told) if rng.random_bool(self.obedient) => told,
            _ => self.pause.mul_f64(rng.random_range(0.5..1.5)),
        }
    }
}
