//! Budgets for retries and other additional attempts.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;

/// A token bucket: each first attempt adds a fraction of a token, each additional attempt takes one.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    tokens: f64,
    last: Instant,
}

/// The parameters of a kind of budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// The fraction of a token that a first attempt adds.
    pub ratio: f64,
    /// The maximum number of tokens.
    pub capacity: f64,
    /// The time in which one token is added regardless of attempts, so that rare requests can be retried.
    pub refill_interval: Duration,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(config: &BudgetConfig, now: Instant) -> Self {
        Self { tokens: config.capacity, last: now }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, config: &BudgetConfig, now: Instant) {
        self.refill(config, now);
        self.tokens = (self.tokens + config.ratio).min(config.capacity);
    }

    /// Whether a token is available.
    pub fn has_token(&mut self, config: &BudgetConfig, now: Instant) -> bool {
        self.refill(config, now);
        self.tokens >= 1.0
    }

    /// Takes a token.
    pub fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    fn refill(&mut self, config: &BudgetConfig, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last).as_secs_f64();
        self.tokens =
            (self.tokens + elapsed / config.refill_interval.as_secs_f64()).min(config.capacity);
        self.last = now;
    }
}

/// Budgets by key. A missing budget counts as full, so full ones can be removed.
#[derive(Debug)]
pub struct Budgets<K> {
    config: BudgetConfig,
    budgets: HashMap<K, Budget>,
    sweep_at: usize,
}

/// Full budgets are removed only above this number of budgets; about 0.5 MB.
const MIN_SWEEP_SIZE: usize = 8192;

impl<K: Clone + Eq + Hash> Budgets<K> {
    /// Creates an empty set of budgets with these parameters.
    pub fn new(config: BudgetConfig) -> Self {
        Self { config, budgets: HashMap::new(), sweep_at: MIN_SWEEP_SIZE }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, key: &K, now: Instant) {
        // A missing budget is full.
        if let Some(budget) = self.budgets.get_mut(key) {
            budget.deposit(&self.config, now);
        }
    }

    /// Whether a token is available.
    pub fn has_token(&mut self, key: &K, now: Instant) -> bool {
        self.budgets.get_mut(key).is_none_or(|budget| budget.has_token(&self.config, now))
    }

    /// Takes a token.
    pub fn withdraw(&mut self, key: &K, now: Instant) {
        if !self.budgets.contains_key(key) {
            self.sweep(now);
            self.budgets.insert(key.clone(), Budget::new(&self.config, now));
        }
        if let Some(budget) = self.budgets.get_mut(key) {
            budget.withdraw();
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.budgets.len() < self.sweep_at {
            return;
        }
        let config = self.config;
        self.budgets.retain(|_, budget| {
            budget.refill(&config, now);
            budget.tokens < config.capacity
        });
        self.sweep_at = (self.budgets.len() * 2).max(MIN_SWEEP_SIZE);
    }
}
