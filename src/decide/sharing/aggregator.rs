//! A host: what the VMs of the region have told it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use tokio::time::Instant;

use super::KEPT;
use super::Key;
use super::Load;
use super::Position;
use super::REMOTES;
use super::SHARDS;
use super::Summary;
use super::Update;
use super::Use;
use super::remotes::Remotes;
use crate::id;

/// Uses that are kept for VMs that have not heard of them: some seconds of a region's peak.
const USES: usize = 512;

/// Uses in one summary at most, so that a VM that has just started gets no datagram of many kilobytes.
const USES_AT_ONCE: usize = 48;

#[derive(Debug)]
struct Told {
    update: Update,
    at: Instant,
}

/// The statements and uses of one shard.
#[derive(Debug, Default)]
struct Shard {
    told: HashMap<id::Vm, Told>,
    uses: VecDeque<Use>,
    /// The number of the first one in `uses`.
    first: u64,
}

/// What a VM has been told as a host.
#[derive(Debug)]
pub struct Aggregator {
    start: u64,
    shards: Vec<Shard>,
    remotes: Remotes,
}

impl Aggregator {
    /// A host that has heard nothing yet; `start` tells it from its starts before.
    pub fn new(start: u64) -> Self {
        let shards = (0..SHARDS).map(|_| Shard::default()).collect();
        Self { start, shards, remotes: Remotes::default() }
    }

    /// Takes a VM's statement, and answers with what the others have. An update that was overtaken by a later one changes
    /// nothing, and is not answered.
    pub fn take(&mut self, from: &id::Vm, mut update: Update, now: Instant) -> Option<Summary> {
        let start = self.start;
        let shard = self.shards.get_mut(usize::from(update.shard))?;
        shard.told.retain(|_, told| now.saturating_duration_since(told.at) < KEPT);
        if shard.told.get(from).is_some_and(|told| told.update.is_after(&update)) {
            return None;
        }
        for remote in update.remotes.drain(..) {
            self.remotes.take(remote, now);
        }
        let (number, index, known) = (update.number, update.shard, update.known);
        let (uses, known) = shard.unknown(start, known);
        shard.used(&update.uses);
        shard.told.insert(from.clone(), Told { update, at: now });
        let loads = shard.others(from, now).into_iter().collect();
        let remotes = if index == REMOTES { self.remotes.told(now) } else { Vec::new() };
        let quotas = None;
        Some(Summary { shard: index, number, loads, quotas, uses, known, remotes })
    }
}

impl Update {
    /// Whether it is the later one of two of the same start.
    const fn is_after(&self, other: &Self) -> bool {
        self.start == other.start && self.number >= other.number
    }
}

impl Shard {
    /// The sums over all VMs but one.
    fn others(&self, but: &id::Vm, now: Instant) -> BTreeMap<Key, Load> {
        let mut sums: BTreeMap<Key, Load> = BTreeMap::new();
        for (_, told) in self.told.iter().filter(|(vm, _)| *vm != but) {
            let age = now.saturating_duration_since(told.at);
            for (key, load) in &told.update.loads {
                let sum = sums.entry(*key).or_default();
                *sum = sum.with(load.aged(age));
            }
        }
        sums
    }

    fn used(&mut self, uses: &[Use]) {
        self.uses.extend(uses);
        let over = self.uses.len().saturating_sub(USES);
        self.uses.drain(..over);
        self.first += over as u64;
    }

    /// The uses that a VM doesn't know, the newest ones where there are too many, and up to where it knows them then.
    fn unknown(&self, host: u64, known: Position) -> (Vec<Use>, Position) {
        let end = self.first + self.uses.len() as u64;
        let next = if known.host == host { known.next.min(end) } else { self.first };
        let from = next.max(self.first).max(end.saturating_sub(USES_AT_ONCE as u64));
        let uses = self.uses.iter().skip((from - self.first) as usize).copied().collect();
        (uses, Position { host, next: end })
    }
}
