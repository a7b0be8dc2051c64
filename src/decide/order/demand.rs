//! Smoothed demand for slots by workload.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::workload::Workload;

/// Time constant of the moving average; a load takes minutes, so shorter peaks can't be answered by one.
const TIME_CONSTANT: Duration = Duration::from_secs(60);

/// How long a workload without requests still counts as in use.
pub const IN_USE_WINDOW: Duration = Duration::from_secs(3600);

/// Demand for workloads, in slots.
#[derive(Debug, Default)]
pub struct Demand {
    averages: BTreeMap<Workload, Average>,
}

#[derive(Debug)]
struct Average {
    slots: f64,
    updated: Instant,
    last_used: Instant,
}

impl Demand {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many slots are in use or waited for, in the whole region.
    pub fn observe(&mut self, workload: &Workload, slots: f64, now: Instant) {
        let first = || Average { slots, updated: now, last_used: now };
        let average = self.averages.entry(workload.clone()).or_insert_with(first);
        let elapsed = now.saturating_duration_since(average.updated).as_secs_f64();
        let weight = 1.0 - (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        average.slots += weight * (slots - average.slots);
        average.updated = now;
        if slots > 0.0 {
            average.last_used = now;
        }
    }

    /// The average number of slots that a workload needs.
    pub fn slots(&self, workload: &Workload) -> f64 {
        self.averages.get(workload).map_or(0.0, |average| average.slots)
    }

    /// Whether a workload had requests within [`IN_USE_WINDOW`].
    pub fn is_in_use(&self, workload: &Workload, now: Instant) -> bool {
        let last_used = self.averages.get(workload).map(|average| average.last_used);
        last_used.is_some_and(|at| now.saturating_duration_since(at) < IN_USE_WINDOW)
    }

    /// All workloads observed so far.
    pub fn workloads(&self) -> impl Iterator<Item = &Workload> {
        self.averages.keys()
    }
}
