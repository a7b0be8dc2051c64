//! A streaming estimate of a latency quantile, in constant space.

use std::time::Duration;

/// Relative change of the estimate for each value. The estimate settles after some hundred values, to within about
/// 10%.
const STEP: f64 = 0.05;

/// The number of values before the estimate is used.
const MIN_VALUES: u32 = 50;

/// Estimates a quantile by stochastic approximation: values above the estimate raise it and values below lower it, in
/// the proportion that balances at the quantile.
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    quantile: f64,
    estimate: f64,
    values: u32,
}

impl Quantile {
    /// Creates an estimate of this quantile, between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self { quantile, estimate: 0.0, values: 0 }
    }

    /// Adds a value.
    pub fn add(&mut self, value: Duration) {
        let value = value.as_secs_f64();
        self.values = self.values.saturating_add(1);
        if self.values == 1 {
            self.estimate = value;
        } else if value > self.estimate {
            self.estimate *= 1.0 + STEP * self.quantile;
        } else {
            self.estimate *= 1.0 - STEP * (1.0 - self.quantile);
        }
    }

    /// The estimate, or `None` with too few values.
    pub fn get(&self) -> Option<Duration> {
        (self.values >= MIN_VALUES).then(|| Duration::from_secs_f64(self.estimate))
    }
}
