//! What a VM knows of the caches of all engines of its region.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Chain;
use super::Change;
use super::INDEX_TTL;
use super::MAX_ENGINES;
use super::MAX_PARTS;
use crate::decide::sharing::Key;
use crate::unit::Tokens;

/// How long a part counts as held after a prompt with it was sent, unless the engine's events say more: by then its event
/// has arrived, been told to the host and passed on.
const USE_TTL: Duration = Duration::from_millis(1_500);

/// The shared parts that are remembered at most, and for how long they are.
const MAX_SHARED: usize = 8_192;
const SHARED_TTL: Duration = Duration::from_secs(120);

/// The recent uses that are remembered for one engine.
const MAX_USES: usize = 32;

/// What an engine holds of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The tokens of the prompt that it need not read.
    pub tokens: Tokens,
    /// The tokens of all shared parts that it holds.
    pub total: Tokens,
}

#[derive(Debug)]
struct Engine {
    epoch: u32,
    position: u64,
    parts: HashMap<u64, u32>,
    total: u64,
    is_doubted: bool,
    heard: Instant,
    /// The last parts of prompts that were sent to it.
    uses: VecDeque<(u64, Instant)>,
}

/// What is known of the engines' caches. Empty, and without cost, unless it is enabled.
#[derive(Debug, Default)]
pub struct View {
    is_enabled: bool,
    engines: HashMap<Key, Engine>,
    /// Parts that prompts have shared, with the last use.
    shared: HashMap<u64, Instant>,
}

impl View {
    /// Starts to record what is told.
    pub const fn enable(&mut self) {
        self.is_enabled = true;
    }

    /// Returns what an engine holds of a prompt; `None` if that is not known or in doubt.
    pub fn longest(&self, engine: Key, chain: &Chain, now: Instant) -> Option<Held> {
        let last = chain.parts().last()?.0;
        let engine = self.engines.get(&engine).filter(|engine| engine.is_known(now))?;
        let total = Tokens::new(engine.total);
        if engine.is_recent(last, now) {
            return Some(Held { tokens: chain.tokens(), total });
        }
        let kept = |part: u64| Tokens::new(engine.parts.get(&part).copied().unwrap_or(0).into());
        Some(Held { tokens: chain.longest(kept), total })
    }

    /// Returns the number of engines whose caches are known.
    pub fn known_count(&self, now: Instant) -> usize {
        self.engines.values().filter(|engine| engine.is_known(now)).count()
    }

    /// Returns whether prompts have shared a part.
    pub fn is_shared(&self, part: u64) -> bool {
        self.shared.contains_key(&part)
    }

    /// Records that prompts share a part.
    pub fn record_shared(&mut self, part: u64, now: Instant) {
        if !self.is_enabled {
            return;
        }
        if self.shared.len() >= MAX_SHARED && !self.shared.contains_key(&part) {
            self.shared.retain(|_, at| now.saturating_duration_since(*at) < SHARED_TTL);
            if self.shared.len() >= MAX_SHARED {
                return;
            }
        }
        self.shared.insert(part, now);
    }

    /// Records that a prompt whose shared parts end with this one was sent to an engine.
    pub fn record_use(&mut self, engine: Key, part: u64, now: Instant) {
        self.record_shared(part, now);
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        engine.uses.retain(|(of, at)| *of != part && is_within(*at, USE_TTL, now));
        if engine.uses.len() >= MAX_USES {
            engine.uses.pop_front();
        }
        engine.uses.push_back((part, now));
    }

    /// Applies a change that the VM which asks an engine has told.
    pub fn apply(&mut self, change: &Change, now: Instant) {
        if !self.is_enabled {
            return;
        }
        if !self.engines.contains_key(&change.engine) && self.engines.len() >= MAX_ENGINES {
            self.engines.retain(|_, engine| is_within(engine.heard, INDEX_TTL, now));
            if self.engines.len() >= MAX_ENGINES {
                return;
            }
        }
        let engine = self.engines.entry(change.engine).or_insert_with(|| Engine {
            epoch: change.epoch,
            position: 0,
            parts: HashMap::new(),
            total: 0,
            is_doubted: true,
            heard: now,
            uses: VecDeque::new(),
        });
        engine.apply(change, now);
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_kept: impl Fn(Key) -> bool) {
        self.engines.retain(|key, _| is_kept(*key));
    }
}

impl Engine {
    fn is_known(&self, now: Instant) -> bool {
        !self.is_doubted && is_within(self.heard, INDEX_TTL, now)
    }

    fn is_recent(&self, part: u64, now: Instant) -> bool {
        self.uses.iter().any(|(of, at)| *of == part && is_within(*at, USE_TTL, now))
    }

    fn apply(&mut self, change: &Change, now: Instant) {
        let is_same_epoch = self.epoch == change.epoch;
        if is_same_epoch && change.position <= self.position {
            return;
        }
        let is_next = is_same_epoch && change.position == self.position + 1;
        self.position = change.position;
        self.epoch = change.epoch;
        if change.is_whole {
            self.parts.clear();
            self.is_doubted = false;
        } else if change.is_doubted || !is_next {
            self.is_doubted = true;
        }
        self.heard = now;
        for part in &change.removed {
            self.parts.remove(part);
        }
        self.parts.extend(change.added.iter().copied());
        if self.parts.len() > MAX_PARTS {
            self.parts.clear();
            self.is_doubted = true;
        }
        self.total = self.parts.values().map(|tokens| u64::from(*tokens)).sum();
    }
}

fn is_within(at: Instant, time: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < time
}
