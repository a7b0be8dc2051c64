//! What a VM tells the others of the engines that it asks.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Change;
use super::Index;
use super::MIN_PART_TOKENS;
use crate::decide::sharing::Key;

/// How often the whole state is told, for VMs that have missed a change or have just started.
const WHOLE_INTERVAL: Duration = Duration::from_secs(15);

/// How often something is told of an engine without changes; see [`INDEX_TTL`](super::INDEX_TTL).
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// How long the host may take to confirm an update before its changes count as lost.
const CONFIRMATION_TIME: Duration = Duration::from_millis(120);

/// The bytes of changes in an update at most; what exceeds them is told in the next one.
const MAX_UPDATE_BYTES: usize = 2_000;

#[derive(Debug, Default)]
struct Told {
    epoch: u32,
    position: u64,
    parts: HashMap<u64, u32>,
    is_doubted: bool,
    /// The number and time of an update that is not confirmed.
    pending: Option<(u64, Instant)>,
    whole_at: Option<Instant>,
    at: Option<Instant>,
}

/// What has been told of each engine.
#[derive(Debug)]
pub struct Publisher {
    /// Identifies this start of the VM.
    start: u64,
    told: HashMap<Key, Told>,
}

impl Publisher {
    /// Creates a publisher; `start` identifies this start of the VM.
    pub fn new(start: u64) -> Self {
        Self { start, told: HashMap::new() }
    }

    /// Returns what the update with that number is to tell of these engines. Parts that no prompt has shared yet are left
    /// out: most are specific to one request, and nobody asks for them again.
    pub fn publish<'a>(
        &mut self,
        number: u64,
        engines: impl Iterator<Item = (Key, &'a Index)>,
        is_shared: impl Fn(u64) -> bool,
        now: Instant,
    ) -> Vec<Change> {
        let (mut changes, mut bytes) = (Vec::new(), 0);
        for (key, index) in engines {
            if bytes >= MAX_UPDATE_BYTES {
                break;
            }
            let start = self.start;
            let told = self.told.entry(key).or_default();
            if let Some(change) = told.publish((key, start, number), index, &is_shared, now) {
                bytes += change.bytes();
                changes.push(change);
            }
        }
        changes
    }

    /// Records that the host has received an update.
    pub fn confirm(&mut self, shard: u8, number: u64) {
        for (_, told) in self.told.iter_mut().filter(|(key, _)| key.shard() == shard) {
            told.pending = told.pending.filter(|(pending, _)| *pending > number);
        }
    }

    /// Forgets an engine that this VM no longer asks.
    pub fn forget(&mut self, engine: Key) {
        self.told.remove(&engine);
    }
}

impl Told {
    fn publish(
        &mut self,
        (engine, start, number): (Key, u64, u64),
        index: &Index,
        is_shared: &impl Fn(u64) -> bool,
        now: Instant,
    ) -> Option<Change> {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let unconfirmed = since(self.pending.map(|(_, at)| at));
        if unconfirmed.is_some_and(|age| age < CONFIRMATION_TIME) {
            return None;
        }
        let Some(epoch) = index.epoch().filter(|_| !index.is_doubted()) else {
            let was_told = self.at.is_some() && !self.is_doubted;
            return was_told.then(|| self.tell_doubt((engine, number), now));
        };
        let epoch = xxh3_64_with_seed(&epoch.to_le_bytes(), start) as u32;
        let is_told = |part: u64, tokens: u64| tokens >= MIN_PART_TOKENS.get() && is_shared(part);
        let parts: HashMap<u64, u32> = index
            .held()
            .filter(|(part, tokens)| is_told(*part, tokens.get()))
            .map(|(part, tokens)| (part, u32::try_from(tokens.get()).unwrap_or(u32::MAX)))
            .collect();
        let is_whole = unconfirmed.is_some()
            || self.is_doubted
            || epoch != self.epoch
            || since(self.whole_at).is_none_or(|age| age >= WHOLE_INTERVAL);
        let before = if is_whole { HashMap::new() } else { std::mem::take(&mut self.parts) };
        let mut added: Vec<(u64, u32)> = parts
            .iter()
            .filter(|(part, tokens)| before.get(part) != Some(tokens))
            .map(|(part, tokens)| (*part, *tokens))
            .collect();
        let mut removed: Vec<u64> =
            before.keys().copied().filter(|part| !parts.contains_key(part)).collect();
        // In an order that does not depend on the hash function's seed.
        added.sort_unstable();
        removed.sort_unstable();
        self.parts = parts;
        let is_due = since(self.at).is_none_or(|age| age >= REPEAT_INTERVAL);
        if !is_whole && added.is_empty() && removed.is_empty() && !is_due {
            return None;
        }
        self.position = if epoch == self.epoch { self.position + 1 } else { 1 };
        (self.epoch, self.is_doubted) = (epoch, false);
        if is_whole {
            // Spreads the next ones over the interval: a VM's line does not allow those of all engines at once.
            let part = f64::from(engine.get()) / f64::from(u32::MAX);
            let spread = if self.whole_at.is_none() { part } else { 0.0 };
            self.whole_at = now.checked_sub(WHOLE_INTERVAL.mul_f64(spread)).or(Some(now));
        }
        (self.pending, self.at) = (Some((number, now)), Some(now));
        let (position, is_doubted) = (self.position, false);
        Some(Change { engine, epoch, position, is_whole, is_doubted, added, removed })
    }

    fn tell_doubt(&mut self, (engine, number): (Key, u64), now: Instant) -> Change {
        self.position += 1;
        self.parts.clear();
        self.is_doubted = true;
        (self.pending, self.at) = (Some((number, now)), Some(now));
        let (epoch, position) = (self.epoch, self.position);
        let (added, removed) = (Vec::new(), Vec::new());
        Change { engine, epoch, position, is_whole: false, is_doubted: true, added, removed }
    }
}
