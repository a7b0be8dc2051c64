//! Exponentially weighted moving average.

/// An exponentially weighted moving average. The first samples are averaged evenly, so that the
/// first one alone doesn't dominate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ewma {
    value: f64,
    samples: u32,
}

/// Minimum weight of a new sample. Small enough that three times the mean is a clear outlier with
/// exponential service times. About the last 19 values count: with exponential service times the
/// average strays from the mean by 23% (one standard deviation), while an upstream ten times as
/// slow passes three times the mean with its third answer.
const WEIGHT: f64 = 0.1;

impl Ewma {
    /// Adds a sample.
    pub fn add(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (value - self.value);
    }

    /// The average, or `None` without samples.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// The number of samples added.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
