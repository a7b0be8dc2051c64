//! A limited cache of prompt prefixes, and the late events about it.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::answer;

/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 256;

/// Events that are kept for whoever asks.
const KEPT_EVENTS: usize = 1024;

/// A change of the cache, as others see it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Event {
    pub(crate) sequence: u64,
    /// `add` or `remove`.
    pub(crate) change: &'static str,
    pub(crate) prefix: String,
    #[serde(skip)]
    since: Option<Instant>,
}

/// A limited cache, least recently used out first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    size: usize,
    gap: u64,
    prefixes: VecDeque<String>,
    events: VecDeque<Event>,
    sequence: u64,
}

/// The digest of a prompt's prefix.
pub(crate) fn prefix(prompt: &str) -> String {
    let end = (0..=PREFIX_BYTES.min(prompt.len())).rev().find(|end| prompt.is_char_boundary(*end));
    answer::digest(&prompt[..end.unwrap_or(0)])
}

impl Cache {
    pub(crate) fn new(size: usize, gap: u64) -> Self {
        Self { size, gap, ..Self::default() }
    }

    pub(crate) fn contains(&self, prefix: &str) -> bool {
        self.prefixes.iter().any(|known| known == prefix)
    }

    /// Share of the cache that is used.
    pub(crate) fn used(&self) -> f64 {
        self.prefixes.len() as f64 / self.size.max(1) as f64
    }

    /// Caches a prefix, and tells whether it was there already.
    pub(crate) fn touch(&mut self, prefix: &str, now: Instant) -> bool {
        let known = self.prefixes.iter().position(|known| known == prefix);
        if let Some(known) = known.and_then(|known| self.prefixes.remove(known)) {
            self.prefixes.push_back(known);
            return true;
        }
        self.prefixes.push_back(prefix.to_owned());
        self.note("add", prefix.to_owned(), now);
        if self.prefixes.len() > self.size
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.note("remove", oldest, now);
        }
        false
    }

    fn note(&mut self, change: &'static str, prefix: String, now: Instant) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        let (sequence, since) = (self.sequence, Some(now));
        self.events.push_back(Event { sequence, change, prefix, since });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after a number that are old enough to be seen.
    pub(crate) fn events(&self, after: u64, lag: Duration, now: Instant) -> Vec<Event> {
        let old = |event: &&Event| event.since.is_none_or(|since| now >= since + lag);
        self.events.iter().filter(|event| event.sequence > after).filter(old).cloned().collect()
    }
}
