//! Estimates service times from measurements.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.1;

/// Samples are clipped to this multiple of the average, so that a single outlier doesn't cause refusals. One request
/// of a minute among requests of a second would otherwise raise the average sevenfold. A real change still shows,
/// since the average may follow it by 70% with each sample.
const MAX_SAMPLE_FACTOR: f64 = 8.0;

/// The tail is the average plus this many mean deviations: about the 90th percentile of a shifted exponential
/// distribution.
const TAIL_DEVIATIONS: f64 = 2.0;

/// Estimates the service time of one kind of request, robust to outliers.
#[derive(Debug, Clone, Copy)]
pub struct Estimator {
    seconds: f64,
    deviation: f64,
}

impl Estimator {
    /// Creates an estimator with an initial value.
    pub fn new(initial: Duration) -> Self {
        Self { seconds: initial.as_secs_f64(), deviation: 0.0 }
    }

    /// Records a measured service time.
    pub fn observe(&mut self, service: Duration) {
        let sample = service.as_secs_f64().min(self.seconds * MAX_SAMPLE_FACTOR);
        self.deviation += SMOOTHING * ((sample - self.seconds).abs() - self.deviation);
        self.seconds += SMOOTHING * (sample - self.seconds);
    }

    /// The expected service time.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// A high percentile of the service time.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.seconds + TAIL_DEVIATIONS * self.deviation)
    }
}
