//! Streaming quantile estimation.

/// Maximum relative step of the estimate per sample, for the first samples and after them. At the second rate, the estimate
/// follows a change within about fifty samples.
const INITIAL_RATE: f64 = 0.2;
const RATE: f64 = 0.03;

/// Number of samples that use the initial rate.
const INITIAL_SAMPLES: u32 = 10;

/// Estimates a quantile of positive samples. The step per sample is bounded, so outliers have no more influence than any
/// other sample.
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    /// The fraction of the samples below the estimate.
    fraction: f64,
    value: f64,
    samples: u32,
}

impl Quantile {
    /// Creates an estimator of the value that `fraction` of the samples lie below.
    pub const fn new(fraction: f64) -> Self {
        Self { fraction, value: 0.0, samples: 0 }
    }

    /// Creates an estimator of the median.
    pub const fn median() -> Self {
        Self::new(0.5)
    }

    /// Adds a sample; ignores samples that are not finite and positive.
    pub fn add(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        if self.samples == 0 {
            self.value = sample;
        } else {
            let rate = 2.0 * if self.samples < INITIAL_SAMPLES { INITIAL_RATE } else { RATE };
            let step = (sample / self.value).ln();
            self.value *= step.clamp(-rate * (1.0 - self.fraction), rate * self.fraction).exp();
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the estimate, or `None` without samples.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// Returns the number of samples.
    pub const fn samples(&self) -> u32 {
        self.samples
    }
}

impl Default for Quantile {
    fn default() -> Self {
        Self::median()
    }
}
