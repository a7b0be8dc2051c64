//! Estimate of an engine's prefix cache, from the prompts sent to it.

use std::collections::HashMap;

use tokio::time::Instant;

use super::service::Prefix;
use crate::unit::Tokens;

/// The estimated fraction of an engine's memory that caches prefixes; running requests use the rest.
const PREFIX_FRACTION: f64 = 0.6;

/// Prefixes with their last use. Evicts the least recently used one first, as engines do.
#[derive(Debug, Default)]
pub struct Cache {
    prefixes: HashMap<u64, (Tokens, Instant)>,
    total: Tokens,
}

impl Cache {
    /// Returns whether the prefix is probably still cached.
    pub fn contains(&self, prefix: &Prefix) -> bool {
        self.prefixes.contains_key(&prefix.key)
    }

    /// Records a use of the prefix, and evicts others if the cache of an engine with that memory is full.
    pub fn record_use(&mut self, prefix: Prefix, memory: Tokens, now: Instant) {
        let last = self.prefixes.insert(prefix.key, (prefix.tokens, now));
        self.total += prefix.tokens;
        if let Some((tokens, _)) = last {
            self.total = self.total.saturating_sub(tokens);
        }
        let capacity = Tokens::new((memory.get() as f64 * PREFIX_FRACTION) as u64);
        while self.total > capacity && self.prefixes.len() > 1 {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.prefixes.iter().min_by_key(|(_, (_, last_use))| *last_use);
        let Some((&key, &(tokens, _))) = oldest else { return };
        self.prefixes.remove(&key);
        self.total = self.total.saturating_sub(tokens);
    }
}
