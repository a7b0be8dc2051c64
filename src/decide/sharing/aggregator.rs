//! Host side: aggregates the updates of the region's VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Cursor;
use super::Key;
use super::Load;
use super::MAX_PACES;
use super::Offer;
use super::PrefixUse;
use super::REMOTES_SHARD;
use super::SHARDS;
use super::Summary;
use super::UPDATE_INTERVAL;
use super::UPDATE_TTL;
use super::Update;
use super::remotes::Remotes;
use crate::decide::feedback::RateNotice;
use crate::decide::pace;
use crate::decide::room::Claim;
use crate::decide::room::Grant;
use crate::decide::room::Holding;
use crate::id;

/// Prefix uses retained for VMs that have not received them; covers some seconds at peak load.
const MAX_RETAINED_USES: usize = 512;

/// Upper bound on the prefix uses in a summary, which bounds the datagram sent to a VM that has
/// just started.
const MAX_USES_PER_SUMMARY: usize = 48;

/// How long a host that has just begun grants no room. By then all VMs have told it what they have.
const GRANT_DELAY: Duration = UPDATE_INTERVAL.saturating_mul(2);

#[derive(Debug)]
struct Received {
    update: Update,
    at: Instant,
    /// What the VM has at upstreams.
    holdings: HashMap<Key, Holding>,
}

/// The updates and prefix uses of a shard.
#[derive(Debug, Default)]
struct Shard {
    received: HashMap<id::Vm, Received>,
    /// When the first update arrived after a time without any.
    began_at: Option<Instant>,
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
    /// Grants of room to VMs other than the last one that sent an update.
    offers: Vec<(id::Vm, Offer)>,
}

impl Aggregator {
    /// Creates an aggregator; `start` identifies this start of the host.
    pub fn new(start: u64) -> Self {
        let shards = (0..SHARDS).map(|_| Shard::default()).collect();
        Self { start, shards, remotes: Remotes::default(), offers: Vec::new() }
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
        if shard.received.is_empty() {
            shard.began_at = Some(now);
        }
        let grants = shard.grant(from, &update, now);
        let (number, index, known) = (update.number, update.shard, update.known);
        let (uses, known) = shard.uses_since(start, known);
        shard.add_uses(&update.uses);
        let before = shard.received.get(from).into_iter();
        let mut keys: BTreeSet<Key> =
            before.flat_map(|received| received.holdings.keys().copied()).collect();
        keys.extend(grants.keys());
        let holdings = grants.iter().map(|(key, (holding, _))| (*key, *holding)).collect();
        let grants = grants.into_iter().map(|(key, (_, grant))| (key, grant)).collect();
        shard.received.insert(from.clone(), Received { update, at: now, holdings });
        self.offers.extend(shard.offer(&keys, now));
        let loads = shard.sum_excluding(from, now).into_iter().collect();
        let limits = shard.limits_excluding(from, now).into_iter().collect();
        let draining = shard.draining_excluding(from).into_iter().collect();
        let paces = shard.paces_excluding(from, now).into_values().take(MAX_PACES).collect();
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
            grants,
            paces,
        })
    }

    /// Removes and returns what VMs that wait for room have been granted since the last call.
    pub fn take_offers(&mut self) -> Vec<(id::Vm, Offer)> {
        std::mem::take(&mut self.offers)
    }
}

impl Received {
    /// Returns what the VM has at an upstream.
    fn holding(&self, key: &Key) -> Option<Holding> {
        let unclaimed = || {
            let load = self.update.loads.iter().find(|(of, _)| of == key);
            load.map(|(_, load)| Holding::unclaimed(load.running))
        };
        self.holdings.get(key).copied().or_else(unclaimed)
    }
}

impl Shard {
    /// Grants room that has become free to VMs that wait for it.
    fn offer(&mut self, keys: &BTreeSet<Key>, now: Instant) -> Vec<(id::Vm, Offer)> {
        let mut offers: BTreeMap<id::Vm, BTreeMap<Key, Grant>> = BTreeMap::new();
        if !self.has_begun(now) {
            return Vec::new();
        }
        for key in keys {
            let all: Vec<Holding> =
                self.received.values().filter_map(|received| received.holding(key)).collect();
            let part = Holding::part(&all);
            for _ in 0..Holding::free(&all) {
                let Some((vm, grant)) = self.grant_one(key, part) else { break };
                offers.entry(vm).or_default().insert(*key, grant);
            }
        }
        let offer = |(vm, grants): (id::Vm, BTreeMap<Key, Grant>)| {
            let update = &self.received.get(&vm)?.update;
            let (shard, number) = (update.shard, update.number);
            Some((vm, Offer { shard, number, grants: grants.into_iter().collect() }))
        };
        offers.into_iter().filter_map(offer).collect()
    }

    /// Grants a place to the VM that has the least and waits, the longest since its update.
    fn grant_one(&mut self, key: &Key, part: u32) -> Option<(id::Vm, Grant)> {
        let mut waiting: Vec<_> = self
            .received
            .iter_mut()
            .filter_map(|(vm, received)| {
                let (at, holding) = (received.at, received.holdings.get_mut(key)?);
                holding.is_unmet().then_some((vm, at, holding))
            })
            .collect();
        let others_wait = waiting.len() > 1;
        let next =
            waiting.iter_mut().min_by_key(|(vm, at, holding)| (holding.allowance(), *at, *vm));
        next.map(|(vm, _, holding)| (vm.clone(), holding.grant_one(part, others_wait)))
    }

    fn has_begun(&self, now: Instant) -> bool {
        self.began_at.is_some_and(|at| now.saturating_duration_since(at) >= GRANT_DELAY)
    }
}

impl Update {
    /// Whether it is `other` or a later update of the same start.
    const fn supersedes(&self, other: &Self) -> bool {
        self.start == other.start && self.number >= other.number
    }
}

impl Shard {
    /// Iterates over the last updates of all VMs except one, with their ages.
    fn updates_excluding<'a>(
        &'a self,
        excluded: &'a id::Vm,
        now: Instant,
    ) -> impl Iterator<Item = (&'a Update, Duration)> {
        let others = self.received.iter().filter(move |(vm, _)| *vm != excluded);
        others.map(move |(_, received)| {
            (&received.update, now.saturating_duration_since(received.at))
        })
    }

    /// Sums the load over all VMs except one.
    fn sum_excluding(&self, excluded: &id::Vm, now: Instant) -> BTreeMap<Key, Load> {
        let updates = self.updates_excluding(excluded, now);
        let loads = updates.flat_map(|(update, age)| {
            update.loads.iter().map(move |(key, load)| (*key, load.aged(age)))
        });
        merge_by_key(loads, Load::merge)
    }

    /// Returns the latest rate limits of all VMs except one.
    fn limits_excluding(&self, excluded: &id::Vm, now: Instant) -> BTreeMap<Key, RateNotice> {
        let updates = self.updates_excluding(excluded, now);
        let limits = updates.flat_map(|(update, age)| {
            update.limits.iter().map(move |(key, notice)| (*key, notice.aged(age)))
        });
        merge_by_key(limits, RateNotice::merge)
    }

    /// Returns the latest paces that all VMs except one observed.
    fn paces_excluding(&self, excluded: &id::Vm, now: Instant) -> BTreeMap<Key, pace::Notice> {
        let updates = self.updates_excluding(excluded, now);
        let paces = updates
            .flat_map(|(update, age)| update.paces.iter().map(move |notice| notice.aged(age)))
            .filter(|notice| notice.age < pace::NOTICE_TTL)
            .map(|notice| (notice.upstream, notice));
        merge_by_key(paces, pace::Notice::merge)
    }

    /// Returns the draining upstreams of all VMs except one.
    fn draining_excluding(&self, excluded: &id::Vm) -> BTreeSet<Key> {
        let others = self.received.iter().filter(|(vm, _)| *vm != excluded);
        others.flat_map(|(_, received)| received.update.draining.iter().copied()).collect()
    }

    /// Grants a VM's claims to room, beside what the others have.
    fn grant(
        &self,
        from: &id::Vm,
        update: &Update,
        now: Instant,
    ) -> BTreeMap<Key, (Holding, Grant)> {
        let has_begun = self.has_begun(now);
        let grant = |(key, claim): &(Key, Claim)| {
            let others = self.received.iter().filter(|(vm, _)| *vm != from);
            let others: Vec<Holding> =
                others.filter_map(|(_, received)| received.holding(key)).collect();
            (*key, Holding::grant(claim, &others, has_begun))
        };
        update.claims.iter().map(grant).collect()
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

/// Merges what several VMs report of the same upstream.
fn merge_by_key<T: Copy>(
    reports: impl Iterator<Item = (Key, T)>,
    merge: impl Fn(T, T) -> T,
) -> BTreeMap<Key, T> {
    let mut merged: BTreeMap<Key, T> = BTreeMap::new();
    for (key, report) in reports {
        merged.entry(key).and_modify(|known| *known = merge(*known, report)).or_insert(report);
    }
    merged
}
