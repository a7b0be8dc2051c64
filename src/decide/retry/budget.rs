//! Budgets for retries and other additional attempts.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;

/// Earned tokens are kept in this many steps of age.
const AGE_STEPS: u32 = 16;

/// Ten times a tenth of a token is one token, in spite of rounding.
const ROUNDING: f64 = 1e-9;

/// The parameters of a kind of budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// The fraction of a token that a request earns.
    pub ratio: f64,
    /// How long a token that requests have earned can be used.
    pub lifetime: Duration,
    /// The maximum number of tokens that are added regardless of requests.
    pub capacity: f64,
    /// The time in which one token is added regardless of requests, so that rare requests can be retried.
    pub refill_interval: Duration,
}

/// A token bucket: each request adds a fraction of a token, and time adds others.
///
/// In any span of time, no more tokens are withdrawn than the sum of those that the requests of that span and of the
/// lifetime before it have earned, of the capacity, and of those that are added in that span. If it starts empty, this
/// also holds for the sum of the budgets of processes that replace each other.
#[derive(Debug, Clone)]
pub struct Budget {
    config: BudgetConfig,
    /// Earned tokens, and when the first fraction of each was earned.
    earned: VecDeque<(Instant, f64)>,
    added: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates an empty budget.
    pub const fn new(config: BudgetConfig, now: Instant) -> Self {
        Self { config, earned: VecDeque::new(), added: 0.0, refilled_at: now }
    }

    /// Creates a budget with as many tokens as can be added regardless of requests.
    pub fn full(config: BudgetConfig, now: Instant) -> Self {
        Self { added: config.capacity, ..Self::new(config, now) }
    }

    /// The parameters.
    pub const fn config(&self) -> &BudgetConfig {
        &self.config
    }

    /// Changes the parameters. Added tokens beyond the new capacity are lost.
    pub fn set_config(&mut self, config: BudgetConfig, now: Instant) {
        self.refill(now);
        self.config = config;
    }

    /// Records a request.
    pub fn deposit(&mut self, now: Instant) {
        let BudgetConfig { ratio, lifetime, .. } = self.config;
        let age = |at: Instant| now.saturating_duration_since(at);
        match self.earned.back_mut() {
            Some((at, tokens)) if age(*at) < lifetime / AGE_STEPS => *tokens += ratio,
            _ => {
                self.refill(now);
                self.earned.push_back((now, ratio));
            }
        }
    }

    /// The tokens that can be withdrawn.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        let earned: f64 = self.earned.iter().map(|(_, tokens)| tokens).sum();
        earned + self.added + ROUNDING
    }

    /// Whether a token is available.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Takes a token, of which the oldest earned fractions come first.
    pub fn withdraw(&mut self) {
        let mut due = 1.0;
        while let Some((_, tokens)) = self.earned.front_mut() {
            if *tokens > due {
                *tokens -= due;
                return;
            }
            due -= *tokens;
            self.earned.pop_front();
        }
        self.added = (self.added - due).max(0.0);
    }

    /// Takes a token, or returns how long until there is one if no requests add to it.
    pub fn try_withdraw(&mut self, now: Instant) -> Result<(), Duration> {
        let missing = 1.0 - self.tokens(now);
        if missing > 0.0 {
            return Err(self.config.refill_interval.mul_f64(missing));
        }
        self.withdraw();
        Ok(())
    }

    /// Whether it is the same as one that has had no requests for long.
    fn is_idle(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.earned.is_empty() && self.added >= self.config.capacity
    }

    fn refill(&mut self, now: Instant) {
        let BudgetConfig { lifetime, capacity, refill_interval, .. } = self.config;
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if !refill_interval.is_zero() {
            self.added += elapsed.as_secs_f64() / refill_interval.as_secs_f64();
        }
        self.added = self.added.min(capacity);
        self.refilled_at = now;
        let is_old = |at: Instant| now.saturating_duration_since(at) >= lifetime;
        while self.earned.front().is_some_and(|(at, _)| is_old(*at)) {
            self.earned.pop_front();
        }
    }
}

/// Budgets by key, all of which exist from the start.
#[derive(Debug)]
pub struct Budgets<K> {
    /// The budget of a key that has not been used.
    unused: Budget,
    budgets: HashMap<K, Budget>,
    sweep_at: usize,
}

/// Idle budgets are removed only above this number of budgets; about 1 MB.
const MIN_SWEEP_SIZE: usize = 8192;

impl<K: Eq + Hash> Budgets<K> {
    /// Creates budgets that are all the same at first.
    pub fn new(unused: Budget) -> Self {
        Self { unused, budgets: HashMap::new(), sweep_at: MIN_SWEEP_SIZE }
    }

    /// Changes the parameters of all budgets. Added tokens beyond the new capacity are lost.
    pub fn set_config(&mut self, config: BudgetConfig, now: Instant) {
        self.unused.set_config(config, now);
        self.budgets.values_mut().for_each(|budget| budget.set_config(config, now));
    }

    /// The budget of a key, which is copied only for a budget that is new.
    pub fn budget<Q>(&mut self, key: &Q, now: Instant) -> &mut Budget
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ToOwned<Owned = K> + ?Sized,
    {
        if !self.budgets.contains_key(key) {
            self.sweep(now);
            self.budgets.insert(key.to_owned(), self.unused.clone());
        }
        self.budgets.get_mut(key).expect("it was just inserted where it was missing")
    }

    /// Removes idle budgets, if one that has not been used would be idle as well by now.
    fn sweep(&mut self, now: Instant) {
        if self.budgets.len() < self.sweep_at {
            return;
        }
        if self.unused.is_idle(now) {
            self.budgets.retain(|_, budget| !budget.is_idle(now));
        }
        self.sweep_at = (self.budgets.len() * 2).max(MIN_SWEEP_SIZE);
    }
}
