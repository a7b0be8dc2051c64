//! A straight line through measured points.

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size that was tried.
    pub size: f64,
    /// What it cost.
    pub cost: f64,
}

/// The line of least squares through some points.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// The points.
    pub points: Vec<Point>,
    /// The cost at size zero.
    pub base: f64,
    /// The cost of each unit of size.
    pub each: f64,
    /// The part of the points' variance that the line explains, at most 1; low where the cost hardly depends on the size.
    pub fit: f64,
}

impl Slope {
    /// The line through these points, of which there are at least two sizes.
    pub fn through(points: Vec<Point>) -> Self {
        let count = points.len().max(1) as f64;
        let size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let square = |value: f64| value * value;
        let spread: f64 = points.iter().map(|point| square(point.size - size)).sum();
        let varies: f64 = points.iter().map(|point| square(point.cost - cost)).sum();
        let joint: f64 = points.iter().map(|point| (point.size - size) * (point.cost - cost)).sum();
        let each = if spread > 0.0 { joint / spread } else { 0.0 };
        let fit = if varies > 0.0 { each * joint / varies } else { 1.0 };
        Self { points, base: cost - each * size, each, fit }
    }

    /// The cost at a size, by the line; never negative.
    pub fn at(&self, size: f64) -> f64 {
        (self.base + self.each * size).max(0.0)
    }
}

#[cfg(test)]
mod tests;
