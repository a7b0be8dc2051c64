//! Index of the upstreams whose KV cache holds a prompt prefix.
//!
//! Engines report cache changes in events that arrive late and with gaps. A gap makes the entries
//! of that upstream stale: the engine may have evicted them. A wrong entry costs at most a
//! recomputed prefix, so stale entries are used if no upstream with current entries holds the
//! prefix.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::unit::Incarnation;

/// Upper bound on indexed prefixes, about 6 MB; the oldest are evicted first.
const MAX_PREFIXES: usize = 65_536;

/// Upper bound on holders per prefix. Two are picked from, and a hot prefix spreads by load and not
/// by this bound.
const MAX_HOLDERS: usize = 8;

/// Longest list of prefixes looked up.
const MAX_DEPTH: usize = 64;

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Consecutive number within the incarnation.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// The kind of a cache change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// These prefixes were added.
    Stored(Vec<u64>),
    /// These prefixes were evicted.
    Removed(Vec<u64>),
    /// The cache holds exactly these prefixes; clears staleness.
    Reset(Vec<u64>),
}

/// Index of prefixes over all upstreams, which have the same indices as in [`super::Router`].
#[derive(Debug, Default)]
pub struct Index {
    holders: HashMap<u64, Vec<u32>>,
    insertion_order: VecDeque<u64>,
    last_events: HashMap<u32, (Incarnation, u64)>,
    stale: HashSet<u32>,
}

impl Index {
    /// Applies an event. Late and repeated events are ignored.
    pub fn apply(&mut self, upstream: u32, event: &CacheEvent) {
        let next = (event.incarnation, event.sequence);
        match self.last_events.get(&upstream).copied() {
            Some(last) if next <= last => return,
            Some((incarnation, _)) if event.incarnation > incarnation => {
                self.remove_upstream(upstream);
            }
            Some((_, last)) if event.sequence > last + 1 => {
                self.stale.insert(upstream);
            }
            _ => {}
        }
        self.last_events.insert(upstream, next);
        match &event.change {
            CacheChange::Stored(prefixes) => self.store(upstream, prefixes),
            CacheChange::Removed(prefixes) => {
                prefixes.iter().for_each(|&p| self.remove(upstream, p));
            }
            CacheChange::Reset(prefixes) => {
                self.clear(upstream);
                self.stale.remove(&upstream);
                self.store(upstream, prefixes);
            }
        }
    }

    /// Removes all entries of an upstream.
    pub fn remove_upstream(&mut self, upstream: u32) {
        self.clear(upstream);
        self.stale.remove(&upstream);
        self.last_events.remove(&upstream);
    }

    /// Whether events of the upstream were lost since its last reset.
    pub fn is_stale(&self, upstream: u32) -> bool {
        self.stale.contains(&upstream)
    }

    /// The holders of the longest indexed prefix; `prefixes` is sorted shortest first. Stale
    /// holders are returned only if there are no others.
    pub fn holders(&self, prefixes: &[u64]) -> Vec<u32> {
        let longest =
            prefixes.iter().take(MAX_DEPTH).rev().find_map(|prefix| self.holders.get(prefix));
        let Some(known) = longest else { return Vec::new() };
        let fresh: Vec<u32> = known.iter().copied().filter(|&u| !self.is_stale(u)).collect();
        if fresh.is_empty() { known.clone() } else { fresh }
    }

    fn store(&mut self, upstream: u32, prefixes: &[u64]) {
        for &prefix in prefixes {
            let holders = self.holders.entry(prefix).or_insert_with(|| {
                self.insertion_order.push_back(prefix);
                Vec::with_capacity(1)
            });
            if !holders.contains(&upstream) && holders.len() < MAX_HOLDERS {
                holders.push(upstream);
            }
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            let oldest = self.insertion_order.pop_front();
            oldest.and_then(|prefix| self.holders.remove(&prefix));
        }
    }

    fn remove(&mut self, upstream: u32, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.retain(|&holder| holder != upstream);
    }

    fn clear(&mut self, upstream: u32) {
        for holders in self.holders.values_mut() {
            holders.retain(|&holder| holder != upstream);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
        self.insertion_order.retain(|prefix| self.holders.contains_key(prefix));
    }
}
