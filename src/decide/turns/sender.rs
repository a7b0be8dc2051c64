//! The VMs that take turns, as one of them knows them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::route::rendezvous;
use crate::decide::sharing::Key;
use crate::id;

/// How long after its first roster a VM has no turns. Until then, all VMs that started before it have received its
/// presence, and it has received theirs: a poll of a control VM, a message between control VMs, and the next poll.
pub const SETTLING_TIME: Duration = Duration::from_secs(1);

/// This VM among the VMs that send to the upstreams of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Sender {
    own: id::Vm,
    /// The other known VMs.
    others: Arc<[id::Vm]>,
    /// The number of known VMs with smaller names.
    rank: u64,
    /// The turns are divided among shards of VMs, of which only this VM's own is known.
    shard: u64,
    shard_bits: u8,
    /// The instant from which all VMs count turns.
    epoch: Instant,
    /// From when on this VM has turns.
    settled_at: Option<Instant>,
}

impl Sender {
    /// Creates a sender that knows the given VMs, with or without itself. `epoch` is the same instant for all VMs, such as
    /// the Unix epoch; a difference makes turns overlap.
    pub fn new<'a>(
        own: id::Vm,
        known: impl IntoIterator<Item = &'a id::Vm>,
        epoch: Instant,
    ) -> Self {
        let others: Arc<[id::Vm]> = known.into_iter().filter(|vm| **vm != own).cloned().collect();
        let rank = others.iter().filter(|vm| **vm < own).count() as u64;
        Self { own, others, rank, shard: 0, shard_bits: 0, epoch, settled_at: None }
    }

    /// Creates the only sender.
    pub fn alone(epoch: Instant) -> Self {
        let own = "alone".parse().expect("it is a valid name");
        Self::new(own, [], epoch)
    }

    /// Divides the turns among `2^bits` shards of VMs. The known VMs are those of the given one.
    #[must_use]
    pub fn with_shard(self, shard: u64, bits: u8) -> Self {
        Self { shard, shard_bits: bits, ..self }
    }

    /// Withholds turns until the VM knows the others.
    #[must_use]
    pub fn with_settled_at(self, settled_at: Instant) -> Self {
        Self { settled_at: Some(settled_at), ..self }
    }

    /// Returns the estimated number of VMs.
    pub fn count(&self) -> u32 {
        u32::try_from(self.others.len() + 1)
            .ok()
            .and_then(|count| count.checked_shl(u32::from(self.shard_bits)))
            .unwrap_or(u32::MAX)
    }

    /// Returns a random number that differs between VMs and upstreams.
    pub fn preference(&self, key: Key) -> u64 {
        rendezvous::weight(u64::from(key.get()), self.own.as_str())
    }

    /// Returns how many of an upstream's places fall to the known VMs, if each shard of VMs has an equal part.
    pub fn known_part(&self, key: Key, places: u32) -> u32 {
        let shards = 1_u64.checked_shl(u32::from(self.shard_bits)).unwrap_or(u64::MAX);
        part(key, u64::from(places), shards, self.shard)
    }

    /// Returns how many of an upstream's places fall to this VM, if each VM has an equal part.
    pub fn own_part(&self, key: Key, places: u32) -> u32 {
        let known = u64::from(self.known_part(key, places));
        part(key, known, self.others.len() as u64 + 1, self.rank)
    }

    /// Returns the same, where the places that are left over fall to other VMs in each period. As one period follows another,
    /// those of both have them until the requests of the one before have ended, after `overlap`.
    pub fn rotating_part(
        &self,
        key: Key,
        places: u32,
        (period, overlap): (Duration, Duration),
        now: Instant,
    ) -> u32 {
        let known = u64::from(self.known_part(key, places));
        let holders = self.others.len() as u64 + 1;
        let index = self.period_index(period, now);
        let part_in = |index| part_at(seed(key, index), known, holders, self.rank);
        match self.is_within(period, overlap, now) {
            true => part_in(index).min(part_in(index - 1)),
            false => part_in(index),
        }
    }

    /// Returns whether less than that time has passed since the current period began.
    pub fn is_within(&self, period: Duration, time: Duration, now: Instant) -> bool {
        self.since_epoch(now).rem_euclid(period.as_secs_f64()) < time.as_secs_f64()
    }

    /// Returns whether this VM is drawn for a chance at an upstream, which differs from one period to the next.
    pub fn is_drawn(&self, key: Key, chance: f64, period: Duration, now: Instant) -> bool {
        let seed = seed(key, self.period_index(period, now));
        (rendezvous::weight(seed, self.own.as_str()) as f64) < chance * u64::MAX as f64
    }

    /// Returns the number of the current period since the epoch.
    fn period_index(&self, period: Duration, now: Instant) -> i64 {
        (self.since_epoch(now) / period.as_secs_f64()).floor() as i64
    }

    /// Returns how long the VM has no turns.
    pub fn settles_in(&self, now: Instant) -> Duration {
        self.settled_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns whether a turn is assigned to this VM.
    pub(super) fn owns(&self, key: Key, index: i64) -> bool {
        let seed = seed(key, index);
        if seed & ((1 << self.shard_bits) - 1) != self.shard {
            return false;
        }
        let weight = |vm: &id::Vm| rendezvous::weight(seed, vm.as_str());
        let own = (weight(&self.own), &self.own);
        self.others.iter().all(|vm| (weight(vm), vm) < own)
    }

    /// Returns the seconds from the epoch, negative before it.
    pub(super) fn since_epoch(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
            - self.epoch.saturating_duration_since(at).as_secs_f64()
    }

    /// Returns the instant that many seconds after the epoch.
    pub(super) fn instant(&self, seconds: f64) -> Instant {
        let span = Duration::try_from_secs_f64(seconds.abs()).unwrap_or_default();
        let instant =
            if seconds < 0.0 { self.epoch.checked_sub(span) } else { self.epoch.checked_add(span) };
        instant.unwrap_or(self.epoch)
    }
}

/// Returns the seed of an upstream's turn, or of a period at it.
fn seed(key: Key, index: i64) -> u64 {
    xxh3_64_with_seed(&index.to_le_bytes(), u64::from(key.get()))
}

/// Returns an equal part of an upstream's places. Those that are left over fall to some of the holders, and to others at another
/// upstream.
fn part(key: Key, places: u64, holders: u64, rank: u64) -> u32 {
    let offset = xxh3_64_with_seed(&holders.to_le_bytes(), u64::from(key.get()));
    part_at(offset, places, holders, rank)
}

/// Returns the equal part of the holder with that rank, if the places that are left over fall to the holders from `offset` on.
fn part_at(offset: u64, places: u64, holders: u64, rank: u64) -> u32 {
    let position = (offset % holders + rank) % holders;
    (places / holders) as u32 + u32::from(position < places % holders)
}
