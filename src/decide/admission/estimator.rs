//! Measured service time.

use std::time::Duration;

/// The part of a new sample in the average. Derived: 20 samples forget nine tenths of an old level.
const GAIN: f64 = 0.1;

/// A sample counts as at most so many times the average.
///
/// One briefing of a minute among lookups of a second would otherwise raise the average sevenfold and have
/// lookups refused that would have been in time; a real change still shows, as the average follows it up by
/// 70% with each sample.
const CLIP: f64 = 8.0;

/// The tail is the average and so many mean deviations.
///
/// Derived: for service times of a shifted exponential distribution, nine of ten requests end by then.
const DEVIATIONS: f64 = 2.0;

/// The service time of one kind of request, robust to a few very long ones.
#[derive(Debug, Clone, Copy)]
pub struct Estimator {
    seconds: f64,
    deviation: f64,
}

impl Estimator {
    /// Starts from a guess.
    pub fn new(guess: Duration) -> Self {
        Self { seconds: guess.as_secs_f64(), deviation: 0.0 }
    }

    /// Takes a measured service time in.
    pub fn observe(&mut self, service: Duration) {
        let sample = service.as_secs_f64().min(self.seconds * CLIP);
        self.deviation += GAIN * ((sample - self.seconds).abs() - self.deviation);
        self.seconds += GAIN * (sample - self.seconds);
    }

    /// The expected service time.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// The time within which all but a few end.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.seconds + DEVIATIONS * self.deviation)
    }
}
