//! One measured dependence of a cost on a size.

use std::fmt;

use super::Slope;

/// A cost by size: what was measured, in what unit, and which code it is the cost of.
#[derive(Debug, Clone, PartialEq)]
pub struct Measure {
    /// What was measured.
    pub what: &'static str,
    /// The unit of the cost.
    pub unit: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The code that has this cost.
    pub code: &'static str,
    /// The line.
    pub slope: Slope,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Slope { points, base, each, fit } = &self.slope;
        let sizes: Vec<String> = points.iter().map(|point| format!("{:.0}", point.size)).collect();
        let costs: Vec<String> = points.iter().map(|point| format!("{:.1}", point.cost)).collect();
        write!(
            f,
            "| {} | {} | {} ({}) | {} | {base:.1} + {each:.4} x | {fit:.3} | `{}` |",
            self.what,
            self.unit,
            self.size,
            sizes.join(", "),
            costs.join(", "),
            self.code
        )
    }
}
