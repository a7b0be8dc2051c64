//! Host side: aggregates the updates of the region's VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use tokio::time::Instant;

use super::Cursor;
use super::Key;
use super::Load;
use super::PrefixUse;
use super::REMOTES_SHARD;
use super::SHARDS;
use super::Summary;
use super::UPDATE_TTL;
use super::Update;
use super::remotes::Remotes;
use crate::decide::feedback::RateNotice;
use crate::id;

/// Prefix uses retained for VMs that have not received them; covers some seconds at peak load.
const MAX_RETAINED_USES: usize = 512;

/// Upper bound on the prefix uses in a summary, which bounds the datagram sent to a VM that has
/// just started.
const MAX_USES_PER_SUMMARY: usize = 48;

#[derive(Debug)]
struct Received {
    update: Update,
    at: Instant,
}

/// The updates and prefix uses of a shard.
#[derive(Debug, Default)]
struct Shard {
    received: HashMap<id::Vm, Received>,
    uses: VecDeque<PrefixUse>,
    /// Sequence number of the first element of `uses`.
    first_number: u64,
}

/// The updates that a VM has received as a host.
#[derive(Debug)]
pub struct Aggregator {
    start: u64,
    shards: Vec<Shard>,
    remotes: Remotes,
}

impl Aggregator {
    /// Creates an aggregator; `start` identifies this start of the host.
    pub fn new(start: u64) -> Self {
        let shards = (0..SHARDS).map(|_| Shard::default()).collect();
        Self { start, shards, remotes: Remotes::default() }
    }

    /// Applies a VM's update and returns the summary of the other VMs. An update older than the
    /// last one of that VM is ignored and not answered.
    pub fn apply_update(
        &mut self,
        from: &id::Vm,
        mut update: Update,
        now: Instant,
    ) -> Option<Summary> {
        let start = self.start;
        let shard = self.shards.get_mut(usize::from(update.shard))?;
        shard
            .received
            .retain(|_, received| now.saturating_duration_since(received.at) < UPDATE_TTL);
        if shard.received.get(from).is_some_and(|received| received.update.supersedes(&update)) {
            return None;
        }
        for remote in update.remotes.drain(..) {
            self.remotes.update(remote, now);
        }
        let (number, index, known) = (update.number, update.shard, update.known);
        let (uses, known) = shard.uses_since(start, known);
        shard.add_uses(&update.uses);
        shard.received.insert(from.clone(), Received { update, at: now });
        let loads = shard.sum_excluding(from, now).into_iter().collect();
        let limits = shard.limits_excluding(from, now).into_iter().collect();
        let draining = shard.draining_excluding(from).into_iter().collect();
        let remotes = if index == REMOTES_SHARD { self.remotes.recent(now) } else { Vec::new() };
        let quotas = None;
        Some(Summary {
            shard: index,
            number,
            loads,
            quotas,
            uses,
            known,
            remotes,
            limits,
            draining,
        })
    }
}

impl Update {
    /// Whether it is `other` or a later update of the same start.
    const fn supersedes(&self, other: &Self) -> bool {
        self.start == other.start && self.number >= other.number
    }
}

impl Shard {
    /// Sums the load over all VMs except one.
    fn sum_excluding(&self, excluded: &id::Vm, now: Instant) -> BTreeMap<Key, Load> {
        let mut sums: BTreeMap<Key, Load> = BTreeMap::new();
        for (_, received) in self.received.iter().filter(|(vm, _)| *vm != excluded) {
            let age = now.saturating_duration_since(received.at);
            for (key, load) in &received.update.loads {
                let sum = sums.entry(*key).or_default();
                *sum = sum.merge(load.aged(age));
            }
        }
        sums
    }

    /// Returns the latest rate limits of all VMs except one.
    fn limits_excluding(&self, excluded: &id::Vm, now: Instant) -> BTreeMap<Key, RateNotice> {
        let mut latest: BTreeMap<Key, RateNotice> = BTreeMap::new();
        for (_, received) in self.received.iter().filter(|(vm, _)| *vm != excluded) {
            let age = now.saturating_duration_since(received.at);
            for (key, notice) in &received.update.limits {
                let notice = notice.aged(age);
                latest
                    .entry(*key)
                    .and_modify(|known| *known = known.merge(notice))
                    .or_insert(notice);
            }
        }
        latest
    }

    /// Returns the draining upstreams of all VMs except one.
    fn draining_excluding(&self, excluded: &id::Vm) -> BTreeSet<Key> {
        let others = self.received.iter().filter(|(vm, _)| *vm != excluded);
        others.flat_map(|(_, received)| received.update.draining.iter().copied()).collect()
    }

    fn add_uses(&mut self, uses: &[PrefixUse]) {
        self.uses.extend(uses);
        let over = self.uses.len().saturating_sub(MAX_RETAINED_USES);
        self.uses.drain(..over);
        self.first_number += over as u64;
    }

    /// The latest uses since a position, at most [`MAX_USES_PER_SUMMARY`], and the position after
    /// them.
    fn uses_since(&self, host: u64, known: Cursor) -> (Vec<PrefixUse>, Cursor) {
        let end = self.first_number + self.uses.len() as u64;
        let next = if known.host == host { known.next.min(end) } else { self.first_number };
        let from = next.max(self.first_number).max(end.saturating_sub(MAX_USES_PER_SUMMARY as u64));
        let uses = self.uses.iter().skip((from - self.first_number) as usize).copied().collect();
        (uses, Cursor { host, next: end })
    }
}
