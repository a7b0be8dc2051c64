//! Hedging: a second attempt of a slow, short and repeatable request on another upstream.
//!
//! A single upstream may stall for seconds while others are idle. A request slower than the 95th percentile is sent to
//! a second upstream. The budget of 5% keeps hedging from doubling the load when all requests are slow.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::budget::Budget;
use super::budget::BudgetConfig;
use super::budget::Budgets;
use super::quantile::Quantile;
use crate::catalogue::Class;
use crate::catalogue::Repeat;
use crate::id;

/// The quantile of latencies after which a request is hedged.
pub const LATENCY_QUANTILE: f64 = 0.95;

/// The budget for second attempts: the fraction of requests that is slower than [`LATENCY_QUANTILE`] in normal operation.
pub const HEDGE_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.05,
    lifetime: super::EARNED_LIFETIME,
    capacity: 5.0,
    refill_interval: Duration::from_secs(60),
};

/// Decides when to make a second attempt.
#[derive(Debug)]
pub struct Hedge {
    latencies: HashMap<id::Model, Quantile>,
    budgets: Budgets<id::Model>,
}

impl Hedge {
    /// Creates a hedge without latencies.
    pub fn new(now: Instant) -> Self {
        Self { latencies: HashMap::new(), budgets: Budgets::new(Budget::full(HEDGE_BUDGET, now)) }
    }

    /// Records a first attempt; returns the time after which to call [`Self::try_start`], if the request may be hedged.
    pub fn after(
        &mut self,
        model: &id::Model,
        class: Class,
        repeat: Repeat,
        now: Instant,
    ) -> Option<Duration> {
        let short = matches!(class, Class::Alert | Class::Short);
        if !short || repeat != Repeat::Allowed {
            return None;
        }
        self.budgets.budget(model, now).deposit(now);
        self.latencies.get(model)?.get()
    }

    /// Whether a second attempt may be made, and charges it if so. It must go to another upstream with a free slot.
    pub fn try_start(&mut self, model: &id::Model, now: Instant) -> bool {
        self.budgets.budget(model, now).try_withdraw(now).is_ok()
    }

    /// Records the latency of a short request, from its first attempt.
    pub fn answered(&mut self, model: &id::Model, latency: Duration) {
        match self.latencies.get_mut(model) {
            Some(quantile) => quantile.add(latency),
            None => drop(self.latencies.insert(model.clone(), Quantile::new(LATENCY_QUANTILE))),
        }
    }
}
