//! Which shared parts this VM has had an engine read, as a guess at what its memory holds.

use std::collections::HashMap;

use tokio::time::Instant;

use super::model::Shared;
use crate::unit::Tokens;

/// The part of an engine's memory that is taken to hold shared parts. The rest is running requests'.
const PART: f64 = 0.6;

/// Shared parts by their last use; the least recently used ones are taken to be gone first, as engines do it.
#[derive(Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, (Tokens, Instant)>,
    total: Tokens,
}

impl Cache {
    /// Whether the part was used there and has probably not yielded since.
    pub fn holds(&self, shared: &Shared) -> bool {
        self.parts.contains_key(&shared.key)
    }

    /// The part is used there.
    pub fn used(&mut self, shared: Shared, memory: Tokens, now: Instant) {
        let last = self.parts.insert(shared.key, (shared.tokens, now));
        self.total += shared.tokens;
        if let Some((tokens, _)) = last {
            self.total = self.total.saturating_sub(tokens);
        }
        let room = Tokens::new((memory.get() as f64 * PART) as u64);
        while self.total > room && self.parts.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used);
        let Some((&key, &(tokens, _))) = oldest else { return };
        self.parts.remove(&key);
        self.total = self.total.saturating_sub(tokens);
    }
}
