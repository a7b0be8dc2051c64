//! Global admission quotas of organisations.
//!
//! **Load pattern.** An organisation suddenly requests several times its allowance, through all VMs
//! of all regions or a few of them, while the others stay within theirs. Allowances count tokens,
//! and one request in twenty holds nearly all of them.
//!
//! **Without it.** Each VM sees a hundredth of the demand and can't detect the excess. The engines
//! fill with one organisation's prompts, and all others are refused.
//!
//! **Decision.** Each VM counts what every organisation requested and what was admitted
//! ([`Meter`]), and reports the counts to a host of its region along with its load
//! ([`sharing`](super::sharing)). The hosts exchange their totals between regions. A host keeps a
//! balance per organisation ([`Balances`]): the allowance earned less the units admitted. The
//! balance and the current demand determine the admission rate of each [`CostClass`], which all VMs
//! apply to each request. Admission rates need no quota per VM, so callers may move between VMs.
//! Requests of similar cost form a class, and classes share max-min fairly, so that short requests
//! don't wait for long ones that hold most of the tokens.
//!
//! The counts are some tenths of a second old. The balance includes everything admitted, so an
//! excess is compensated later; the burst of an allowance absorbs what is admitted before a sudden
//! rise is known.
//!
//! A VM that receives no answer from a host keeps its last admission rates for a while, and then
//! admits a fixed multiple of an equal share.

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

/// How long a VM reports an idle organisation.
pub const ACTIVE: Duration = Duration::from_secs(2);

/// Fraction of the tolerated excess that is granted; the rest covers requests admitted before a
/// rise is known.
const GRANTED_FRACTION: f64 = 0.5;

/// Compact identifier of an organisation in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// The key of an organisation.
    pub fn new(organisation: &id::Owner) -> Self {
        Self(xxh3_64(organisation.as_str().as_bytes()))
    }

    /// The shard whose host counts it.
    pub const fn shard(self) -> u8 {
        (self.0 % SHARDS as u64) as u8
    }
}

/// The requests of an organisation of similar cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Key, u8)", into = "(Key, u8)")]
pub struct CostClass {
    /// The organisation.
    pub organisation: Key,
    /// The logarithm of the cost to the base [`CLASS_COST_RATIO`].
    size: u8,
}

/// Maximum ratio of the costs in a class.
const CLASS_COST_RATIO: u64 = 8;

impl CostClass {
    /// The class of requests of that cost.
    pub fn new(organisation: Key, cost: u64) -> Self {
        Self { organisation, size: cost.max(1).ilog(CLASS_COST_RATIO) as u8 }
    }

    /// The shard whose host counts it.
    pub const fn shard(self) -> u8 {
        self.organisation.shard()
    }
}

impl From<(Key, u8)> for CostClass {
    fn from((organisation, size): (Key, u8)) -> Self {
        Self { organisation, size }
    }
}

impl From<CostClass> for (Key, u8) {
    fn from(class: CostClass) -> Self {
        (class.organisation, class.size)
    }
}

/// Excess over an allowance that the operator tolerates within a few seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Excess {
    /// As a fraction of the allowance.
    pub share: f64,
    /// In units, in addition.
    pub units: f64,
}

impl Excess {
    /// The allowance with the granted part of the excess added.
    fn grant_to(self, allowance: &Allowance) -> Allowance {
        let more = 1.0 + self.share * GRANTED_FRACTION;
        Allowance {
            rate: Rate::per_second(allowance.rate.get() * more),
            burst: allowance.burst * more + self.units * GRANTED_FRACTION,
            ..*allowance
        }
    }
}

/// Cumulative units since the start of the counter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Count {
    /// Units requested.
    pub requested: u64,
    /// Units admitted, less those refunded.
    pub admitted: u64,
}

impl From<(u64, u64)> for Count {
    fn from((requested, admitted): (u64, u64)) -> Self {
        Self { requested, admitted }
    }
}

impl From<Count> for (u64, u64) {
    fn from(count: Count) -> Self {
        (count.requested, count.admitted)
    }
}

/// The fraction of an organisation's requests to admit, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdmissionRate(u16);

impl AdmissionRate {
    /// Admits all requests.
    pub const WHOLE: Self = Self(1000);

    /// Creates a rate, clamped to the range from 0 to 1.
    pub fn new(rate: f64) -> Self {
        Self((rate.clamp(0.0, 1.0) * 1000.0) as u16)
    }

    /// The rate as a number from 0 to 1.
    pub fn get(self) -> f64 {
        f64::from(self.0.min(Self::WHOLE.0)) / 1000.0
    }
}

#[cfg(test)]
mod tests;
