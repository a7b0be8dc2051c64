//! Division of a large fleet into slices.
//!
//! An entry VM needs a few hundred candidates, not all upstreams of the fleet. The upstreams of each service and the VMs
//! of each region are divided into shards by a hash of their names, and an entry VM follows the shards that its own name
//! hashes to. The number of shards doubles with the fleet, so that the size of a slice does not grow. See
//! `docs/design/fleet.md`.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::id;

/// The place of a VM or an upstream among the shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position(u64);

impl Position {
    /// The position of a VM.
    pub fn of_vm(vm: &id::Vm) -> Self {
        Self(xxh3_64(vm.as_str().as_bytes()))
    }

    /// The position of an upstream.
    pub fn of_upstream(upstream: &id::Upstream) -> Self {
        Self(xxh3_64(upstream.as_str().as_bytes()))
    }

    /// The shard at a level.
    pub const fn shard(self, level: Level) -> usize {
        (self.0 & level.mask()) as usize
    }
}

/// The binary logarithm of a number of shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Level(u8);

impl Level {
    /// A single shard.
    pub const WHOLE: Self = Self(0);
    /// The most shards of a group.
    pub const MAX: Self = Self(16);

    /// Creates a level, at most [`MAX`](Self::MAX).
    pub const fn new(bits: u8) -> Self {
        if bits > Self::MAX.0 { Self::MAX } else { Self(bits) }
    }

    /// The binary logarithm of the number of shards.
    pub const fn bits(self) -> u8 {
        self.0
    }

    /// The number of shards.
    pub const fn shards(self) -> usize {
        1 << self.0
    }

    /// Whether two positions are in the same shard.
    pub const fn joins(self, one: Position, other: Position) -> bool {
        (one.0 ^ other.0) & self.mask() == 0
    }

    /// Whether a received level is within bounds.
    pub const fn is_valid(self) -> bool {
        self.0 <= Self::MAX.0
    }

    const fn mask(self) -> u64 {
        (1 << self.0) - 1
    }

    /// The highest level at which shards have at least `minimum` of the members.
    fn at_least(minimum: usize, members: usize) -> Self {
        let shards = members / minimum.max(1);
        Self::new(shards.checked_ilog2().unwrap_or(0) as u8)
    }
}

/// The minimum sizes of the shards of a kind of subject.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// The minimum size in a region of average size.
    pub average: usize,
    /// The minimum size in any region.
    pub region: usize,
}

impl Sizes {
    /// The level of a region with that many members that have not left, if `average` is the mean over all regions.
    ///
    /// All regions have the same level, so that their shards are as unequal as the regions are; only a region too small
    /// for it has a lower one. A level is kept until shards fall well below the minimum, so that members that come and go
    /// do not change it back and forth. Silent members count: if a region fails, its shards must not be merged and sent
    /// to all VMs.
    pub fn level(self, current: Level, average: usize, members: usize) -> Level {
        let level =
            Level::at_least(self.average, average).min(Level::at_least(self.region, members));
        let kept = Level::at_least(self.average * 3 / 4, average)
            .min(Level::at_least(self.region / 2, members));
        if level > current { level } else { current.min(kept) }
    }
}

/// The levels of all groups of subjects, which define the slice of each VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// The levels of entry VMs, by region.
    #[serde(rename = "v")]
    pub vms: BTreeMap<id::Region, Level>,
    /// The levels of upstreams, by region and service.
    #[serde(rename = "u")]
    pub upstreams: BTreeMap<id::Region, BTreeMap<String, Level>>,
}

impl Scope {
    /// The level of the entry VMs of a region.
    pub fn vm_level(&self, region: &id::Region) -> Level {
        self.vms.get(region).copied().unwrap_or_default()
    }

    /// The level of a service's upstreams in a region.
    pub fn upstream_level(&self, region: &id::Region, service: &str) -> Level {
        let services = self.upstreams.get(region);
        services.and_then(|services| services.get(service)).copied().unwrap_or_default()
    }

    /// Whether a received scope is within bounds.
    pub fn is_valid(&self) -> bool {
        let upstreams = self.upstreams.values().flat_map(BTreeMap::values);
        self.vms.values().chain(upstreams).all(|level| level.is_valid())
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (region, level) in &self.vms {
            write!(f, "{region}: VMs in {} shards; ", level.shards())?;
        }
        for (region, services) in &self.upstreams {
            for (service, level) in services {
                write!(f, "{region}: {service} in {} shards; ", level.shards())?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
