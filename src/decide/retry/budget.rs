//! Budgets for retries and other additional attempts.

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
    /// Earned tokens, and when the first fraction of each was earned.
    earned: VecDeque<(Instant, f64)>,
    added: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates an empty budget.
    pub const fn new(now: Instant) -> Self {
        Self { earned: VecDeque::new(), added: 0.0, refilled_at: now }
    }

    /// The same with that many tokens besides those that requests earn.
    #[must_use]
    pub fn with_tokens(self, tokens: f64) -> Self {
        Self { added: tokens, ..self }
    }

    /// Records a request.
    pub fn deposit(&mut self, config: &BudgetConfig, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        match self.earned.back_mut() {
            Some((at, tokens)) if age(*at) < config.lifetime / AGE_STEPS => *tokens += config.ratio,
            _ => {
                self.refill(config, now);
                self.earned.push_back((now, config.ratio));
            }
        }
    }

    /// The tokens that can be withdrawn.
    pub fn tokens(&mut self, config: &BudgetConfig, now: Instant) -> f64 {
        self.refill(config, now);
        let earned: f64 = self.earned.iter().map(|(_, tokens)| tokens).sum();
        earned + self.added + ROUNDING
    }

    /// Whether a token is available.
    pub fn has_token(&mut self, config: &BudgetConfig, now: Instant) -> bool {
        self.tokens(config, now) >= 1.0
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

    /// Takes a token if there is one.
    pub fn try_withdraw(&mut self, config: &BudgetConfig, now: Instant) -> bool {
        let has_token = self.has_token(config, now);
        if has_token {
            self.withdraw();
        }
        has_token
    }

    /// How long until there is a token, if no requests add to it.
    pub fn next_token_in(&mut self, config: &BudgetConfig, now: Instant) -> Duration {
        let missing = 1.0 - self.tokens(config, now);
        if missing <= 0.0 { Duration::ZERO } else { config.refill_interval.mul_f64(missing) }
    }

    /// Whether it is the same as one that has had no requests for long.
    fn is_idle(&mut self, config: &BudgetConfig, now: Instant) -> bool {
        self.refill(config, now);
        self.earned.is_empty() && self.added >= config.capacity
    }

    fn refill(&mut self, config: &BudgetConfig, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if !config.refill_interval.is_zero() {
            self.added += elapsed.as_secs_f64() / config.refill_interval.as_secs_f64();
        }
        self.added = self.added.min(config.capacity);
        self.refilled_at = now;
        let is_old = |at: Instant| now.saturating_duration_since(at) >= config.lifetime;
        while self.earned.front().is_some_and(|(at, _)| is_old(*at)) {
            self.earned.pop_front();
        }
    }
}

/// Budgets by key, all of which exist from the start.
#[derive(Debug)]
pub struct Budgets<K> {
    config: BudgetConfig,
    created_at: Instant,
    /// The tokens of each budget at its start.
    initial: f64,
    budgets: HashMap<K, Budget>,
    sweep_at: usize,
}

/// Idle budgets are removed only above this number of budgets; about 0.5 MB.
const MIN_SWEEP_SIZE: usize = 8192;

impl<K: Clone + Eq + Hash> Budgets<K> {
    /// Creates empty budgets with these parameters.
    pub fn new(config: BudgetConfig, now: Instant) -> Self {
        let budgets = HashMap::new();
        Self { config, created_at: now, initial: 0.0, budgets, sweep_at: MIN_SWEEP_SIZE }
    }

    /// Creates full budgets with these parameters.
    pub fn full(config: BudgetConfig, now: Instant) -> Self {
        Self { initial: config.capacity, ..Self::new(config, now) }
    }

    /// The parameters.
    pub const fn config(&self) -> &BudgetConfig {
        &self.config
    }

    /// Changes the parameters. Tokens beyond the new capacity are lost.
    pub fn set_config(&mut self, config: BudgetConfig, now: Instant) {
        let before = std::mem::replace(&mut self.config, config);
        self.budgets.values_mut().for_each(|budget| budget.refill(&before, now));
    }

    /// Records a request.
    pub fn deposit(&mut self, key: &K, now: Instant) {
        let config = self.config;
        self.budget(key, now).deposit(&config, now);
    }

    /// The tokens that can be withdrawn.
    pub fn tokens(&mut self, key: &K, now: Instant) -> f64 {
        let config = self.config;
        self.budget(key, now).tokens(&config, now)
    }

    /// Whether a token is available.
    pub fn has_token(&mut self, key: &K, now: Instant) -> bool {
        let config = self.config;
        self.budget(key, now).has_token(&config, now)
    }

    /// Takes a token.
    pub fn withdraw(&mut self, key: &K, now: Instant) {
        self.budget(key, now).withdraw();
    }

    /// Takes a token, or returns how long until there is one.
    pub fn try_withdraw(&mut self, key: &K, now: Instant) -> Result<(), Duration> {
        let config = self.config;
        let budget = self.budget(key, now);
        match budget.try_withdraw(&config, now) {
            true => Ok(()),
            false => Err(budget.next_token_in(&config, now)),
        }
    }

    fn budget(&mut self, key: &K, now: Instant) -> &mut Budget {
        if !self.budgets.contains_key(key) {
            self.sweep(now);
        }
        self.budgets
            .entry(key.clone())
            .or_insert_with(|| Budget::new(self.created_at).with_tokens(self.initial))
    }

    fn sweep(&mut self, now: Instant) {
        if self.budgets.len() < self.sweep_at {
            return;
        }
        let config = self.config;
        // An idle budget is as one created at the start, whose tokens have been added since.
        let is_full = {
            let mut created = Budget::new(self.created_at).with_tokens(self.initial);
            created.is_idle(&config, now)
        };
        if is_full {
            self.budgets.retain(|_, budget| !budget.is_idle(&config, now));
        }
        self.sweep_at = (self.budgets.len() * 2).max(MIN_SWEEP_SIZE);
    }
}
