//! How much of what an organisation asks for is let through, true for all VMs together.
//!
//! **Load pattern.** One organisation asks for several times its allowance, through all VMs of all regions or through a few,
//! from one second to the next. The others ask for what is theirs. An allowance counts tokens: one request in twenty holds
//! nearly all of them.
//!
//! **Without it.** Each VM sees a hundredth of what is asked for and can't tell. The engines fill with one organisation's
//! prompts, and all others are refused.
//!
//! **Decision.** Each VM counts what every organisation asked for and what it let through ([`Meter`]), and tells it to a host
//! of its region with what it tells it already ([`sharing`](super::sharing)). The hosts of the regions exchange their sums. A
//! host keeps the balance of each organisation ([`Balances`]): what its allowance has earned less what was let through.
//! From the balance and from what is asked for now follows the part of each [`Lane`] that all VMs let through. A part that is
//! applied to each request needs no share a VM, so callers may move between VMs as they like. Requests of about one size are a
//! lane, and lanes share max-min fairly: short questions, which hold a tenth of the tokens, don't wait for long prompts that hold
//! the rest.
//!
//! What is known is some tenths of a second old. The balance counts all that was let through, so what was too much is
//! made up for; the burst of an allowance is room for what is let through before a sudden rise is known.
//!
//! A VM that hears no host goes on with the part that it heard last, and then takes a fixed multiple of an even share.

mod balances;
mod flow;
mod meter;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::sharing::SHARDS;
use crate::id;
use crate::routing::organisation::Allowance;
use crate::unit::Rate;

pub use balances::Balances;
pub use balances::Totals;
pub use meter::Meter;

/// An organisation that asked for nothing for so long is not told of, and then forgotten.
pub const ACTIVE: Duration = Duration::from_secs(2);

/// The part of the excess that is given away; the rest is for what is let through before it is known.
const GIVEN: f64 = 0.5;

/// A short name for an organisation in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// The key of that organisation.
    pub fn new(organisation: &id::Owner) -> Self {
        Self(xxh3_64(organisation.as_str().as_bytes()))
    }

    /// The shard whose host counts it.
    pub const fn shard(self) -> u8 {
        (self.0 % SHARDS as u64) as u8
    }
}

/// The requests of an organisation that cost about as much.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Key, u8)", into = "(Key, u8)")]
pub struct Lane {
    /// The organisation.
    pub organisation: Key,
    /// The logarithm of the cost to the base of [`LANE_COSTS`].
    size: u8,
}

/// The costs in a lane differ by this factor at most.
const LANE_COSTS: u64 = 8;

impl Lane {
    /// The lane of a request of that cost.
    pub fn new(organisation: Key, cost: u64) -> Self {
        Self { organisation, size: cost.max(1).ilog(LANE_COSTS) as u8 }
    }

    /// The shard whose host counts it.
    pub const fn shard(self) -> u8 {
        self.organisation.shard()
    }
}

impl From<(Key, u8)> for Lane {
    fn from((organisation, size): (Key, u8)) -> Self {
        Self { organisation, size }
    }
}

impl From<Lane> for (Key, u8) {
    fn from(lane: Lane) -> Self {
        (lane.organisation, lane.size)
    }
}

/// What the operator bears beyond an allowance in any span of some seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Excess {
    /// A part of the allowance.
    pub share: f64,
    /// Units besides.
    pub units: f64,
}

impl Excess {
    /// The allowance with the part of the excess that is given away.
    fn give(self, allowance: &Allowance) -> Allowance {
        let more = 1.0 + self.share * GIVEN;
        Allowance {
            rate: Rate::per_second(allowance.rate.get() * more),
            burst: allowance.burst * more + self.units * GIVEN,
            ..*allowance
        }
    }
}

/// Units since a start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Count {
    /// Asked for.
    pub asked: u64,
    /// Let through; what turned out not to run is taken off again.
    pub passed: u64,
}

impl From<(u64, u64)> for Count {
    fn from((asked, passed): (u64, u64)) -> Self {
        Self { asked, passed }
    }
}

impl From<Count> for (u64, u64) {
    fn from(count: Count) -> Self {
        (count.asked, count.passed)
    }
}

/// The part of an organisation's requests that is let through, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part(u16);

impl Part {
    /// All of them.
    pub const WHOLE: Self = Self(1000);

    /// That part; all where it is one or more.
    pub fn new(part: f64) -> Self {
        Self((part.clamp(0.0, 1.0) * 1000.0) as u16)
    }

    /// The part as a number from zero to one.
    pub fn get(self) -> f64 {
        f64::from(self.0.min(Self::WHOLE.0)) / 1000.0
    }
}

#[cfg(test)]
mod tests;
