//! Robust linear regression over a stream of samples.

use super::Quantile;

/// Number of bins; each spans half an octave of x, so that forty reach one million.
const BINS: usize = 40;

/// Minimum number of samples of a bin that takes part in the regression.
const MIN_SAMPLES: u32 = 5;

/// Minimum ratio of the largest to the smallest x for a slope to be fitted.
const MIN_SPREAD: f64 = 2.0;

/// Number of samples between two fits.
const REFIT_INTERVAL: u32 = 16;

/// Bounds the factor by which the prior is scaled, in both directions.
const MAX_PRIOR_SCALE: f64 = 16.0;

/// A straight line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// The value at zero.
    pub intercept: f64,
    /// The increase per unit of x.
    pub slope: f64,
}

impl Line {
    /// Returns the value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line that does not fall to a stream of samples.
///
/// Samples are grouped in bins by x, and each bin estimates a quantile of its y. The slope is the median over all pairs of
/// bins (Theil-Sen), which tolerates outliers in up to a quarter of the bins.
#[derive(Debug, Clone)]
pub struct Regression {
    prior: Line,
    bins: [Bin; BINS],
    line: Line,
    added: u32,
}

#[derive(Debug, Clone, Copy)]
struct Bin {
    x: Quantile,
    y: Quantile,
}

impl Regression {
    /// Creates a regression through the given quantile of the samples; `prior` applies until there are enough of them.
    pub fn new(prior: Line, quantile: f64) -> Self {
        let bin = Bin { x: Quantile::median(), y: Quantile::new(quantile) };
        Self { prior, bins: [bin; BINS], line: prior, added: 0 }
    }

    /// Adds a sample; ignores samples that are negative or not finite.
    pub fn add(&mut self, x: f64, y: f64) {
        let is_valid = x.is_finite() && y.is_finite() && x >= 0.0 && y > 0.0;
        if !is_valid {
            return;
        }
        // Shifted by one, since quantiles only accept positive samples and x may be zero.
        let x = x + 1.0;
        let bin = &mut self.bins[((2.0 * x.log2()) as usize).min(BINS - 1)];
        bin.x.add(x);
        bin.y.add(y);
        self.added += 1;
        if self.added.is_multiple_of(REFIT_INTERVAL) || self.added < REFIT_INTERVAL {
            self.line = self.fit();
        }
    }

    /// Returns the fitted line.
    pub const fn line(&self) -> Line {
        self.line
    }

    fn fit(&self) -> Line {
        let full = self.bins.iter().filter(|bin| bin.y.samples() >= MIN_SAMPLES);
        let points: Vec<(f64, f64)> =
            full.filter_map(|bin| Some((bin.x.get()? - 1.0, bin.y.get()?))).collect();
        let (Some(first), Some(last)) = (points.first(), points.last()) else { return self.prior };
        if (last.0 + 1.0) / (first.0 + 1.0) < MIN_SPREAD {
            return self.scaled_prior(&points);
        }
        let pairs = points.iter().enumerate().flat_map(|(nth, one)| {
            points[nth + 1..].iter().map(move |other| (other.1 - one.1) / (other.0 - one.0))
        });
        let slope = median(pairs.filter(|slope| slope.is_finite()).collect()).max(0.0);
        let intercept = median(points.iter().map(|(x, y)| y - slope * x).collect()).max(0.0);
        Line { intercept, slope }
    }

    /// Returns the prior scaled to the level of the samples.
    fn scaled_prior(&self, points: &[(f64, f64)]) -> Line {
        let ratios = points.iter().map(|(x, y)| y / self.prior.at(*x)).collect();
        let ratio = median(ratios).clamp(1.0 / MAX_PRIOR_SCALE, MAX_PRIOR_SCALE);
        Line { intercept: self.prior.intercept * ratio, slope: self.prior.slope * ratio }
    }
}

/// Returns the median (the upper one of an even count), or zero for an empty list.
fn median(mut numbers: Vec<f64>) -> f64 {
    numbers.sort_unstable_by(f64::total_cmp);
    numbers.get(numbers.len() / 2).copied().unwrap_or(0.0)
}
