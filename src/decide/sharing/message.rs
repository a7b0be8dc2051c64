//! Messages between VMs and hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Key;
use super::Load;
use super::SHARDS;
use crate::decide::feedback::RateNotice;
use crate::decide::pace;
use crate::decide::quota;
use crate::decide::room::Claim;
use crate::decide::room::Grant;
use crate::id;
use crate::unit::Milliseconds;

/// Upper bound on the entries of each list; longer messages are dropped.
const MAX_ENTRIES: usize = 1000;

/// The same for paces, of which there are some for each slow upstream of a shard.
pub const MAX_PACES: usize = 256;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a VM to a host.
    #[serde(rename = "u")]
    Update(Update),
    /// A host's answer.
    #[serde(rename = "s")]
    Summary(Summary),
    /// From a host to a VM that waits for room.
    #[serde(rename = "o")]
    Offer(Offer),
    /// From a host to the hosts of other regions.
    #[serde(rename = "t")]
    Totals(quota::Totals),
}

/// A position in a host's log of prefix uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The host's start.
    #[serde(rename = "h")]
    pub host: u64,
    /// The next use to read.
    #[serde(rename = "n")]
    pub next: u64,
}

/// A prompt with a shared prefix was sent to an engine, which caches the prefix from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUse {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: Key,
    /// Identifies the prefix.
    #[serde(rename = "p")]
    pub part: u64,
    /// Its length in tokens.
    #[serde(rename = "t")]
    pub tokens: u64,
}

/// Estimated handling of a typical request in another region.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionEstimate {
    /// The region.
    #[serde(rename = "r")]
    pub region: id::Region,
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// Whether the estimate is for requests of the highest priority of the service.
    #[serde(rename = "u")]
    pub urgent: bool,
    /// Time to the first event.
    #[serde(rename = "w")]
    #[serde_as(as = "Milliseconds")]
    pub wait: Duration,
    /// Requests running on the upstream that it would be sent to.
    #[serde(rename = "n")]
    pub running: u32,
    /// The number of further requests that the region could place; `None` if it is unknown.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub room: Option<u32>,
    /// Age of the estimate.
    #[serde(rename = "a")]
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
}

/// A VM's load on the upstreams of a shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// Identifies the VM's start.
    #[serde(rename = "b")]
    pub start: u64,
    /// Sequence number within that start.
    #[serde(rename = "n")]
    pub number: u64,
    /// The VM's load by upstream; upstreams without load are omitted.
    #[serde(rename = "l")]
    pub loads: Vec<(Key, Load)>,
    /// The VM's counts for organisations of the shard.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quotas: Vec<(quota::CostClass, quota::Count)>,
    /// Prefix uses that the host has not confirmed.
    #[serde(rename = "u")]
    pub uses: Vec<PrefixUse>,
    /// The last known position in the host's log.
    #[serde(rename = "k")]
    pub known: Cursor,
    /// Estimates received from other regions since the last update of the shard
    /// [`REMOTES_SHARD`](super::REMOTES_SHARD).
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub remotes: Vec<RegionEstimate>,
    /// Rate limits that the VM found in responses of upstreams.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<(Key, RateNotice)>,
    /// Upstreams of which the VM knows by itself that they are draining.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<Key>,
    /// The VM's claims to room at upstreams. It has given up all that it does not use.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<(Key, Claim)>,
    /// Paces that the VM found in responses of upstreams and that differ from the usual one.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<pace::Notice>,
}

/// Room that has become free for a VM which waits for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// The sequence number of the VM's last update. After a later one the offer is void.
    #[serde(rename = "n")]
    pub number: u64,
    /// The room that the VM has.
    #[serde(rename = "c")]
    pub grants: Vec<(Key, Grant)>,
}

/// A host's answer to an update.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// The sequence number of the update.
    #[serde(rename = "n")]
    pub number: u64,
    /// Load summed over all other VMs; upstreams without load are omitted.
    #[serde(rename = "l")]
    pub loads: Vec<(Key, Load)>,
    /// Admission rates of limited organisations of the shard; `None` if the host doesn't know them
    /// yet.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<Vec<(quota::CostClass, quota::AdmissionRate)>>,
    /// Prefix uses since the position in the update.
    #[serde(rename = "u")]
    pub uses: Vec<PrefixUse>,
    /// The position after these uses.
    #[serde(rename = "k")]
    pub known: Cursor,
    /// Recent estimates of other regions.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub remotes: Vec<RegionEstimate>,
    /// The latest rate limits that other VMs found.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<(Key, RateNotice)>,
    /// Upstreams of which other VMs know that they are draining.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<Key>,
    /// The room that the VM's claims are granted; valid until its next update is sent.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<(Key, Grant)>,
    /// The latest paces that other VMs found.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<pace::Notice>,
}

impl Message {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed or has invalid contents.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message: Self = ciborium::from_reader(bytes).ok()?;
        let is_valid = match &message {
            Self::Offer(offer) => offer.shard < SHARDS && offer.grants.len() <= MAX_ENTRIES,
            Self::Totals(totals) => totals.shard < SHARDS && totals.is_valid(),
            Self::Update(update) => {
                Contents {
                    shard: update.shard,
                    loads: &update.loads,
                    uses: &update.uses,
                    remotes: &update.remotes,
                    limits: &update.limits,
                    draining: &update.draining,
                    paces: &update.paces,
                }
                .is_valid()
                    && update.has_valid_claims()
            }
            Self::Summary(summary) => {
                Contents {
                    shard: summary.shard,
                    loads: &summary.loads,
                    uses: &summary.uses,
                    remotes: &summary.remotes,
                    limits: &summary.limits,
                    draining: &summary.draining,
                    paces: &summary.paces,
                }
                .is_valid()
                    && summary.grants.len() <= MAX_ENTRIES
            }
        };
        is_valid.then_some(message)
    }
}

impl Update {
    fn has_valid_claims(&self) -> bool {
        let is_valid = |(key, claim): &(Key, Claim)| key.shard() == self.shard && claim.is_valid();
        self.claims.len() <= MAX_ENTRIES && self.claims.iter().all(is_valid)
    }
}

/// What updates and summaries have in common.
struct Contents<'a> {
    shard: u8,
    loads: &'a [(Key, Load)],
    uses: &'a [PrefixUse],
    remotes: &'a [RegionEstimate],
    limits: &'a [(Key, RateNotice)],
    draining: &'a [Key],
    paces: &'a [pace::Notice],
}

impl Contents<'_> {
    fn is_valid(&self) -> bool {
        let is_here = |key: &Key| key.shard() == self.shard;
        self.shard < SHARDS
            && self.loads.len() <= MAX_ENTRIES
            && self.uses.len() <= MAX_ENTRIES
            && self.remotes.len() <= MAX_ENTRIES
            && self.limits.len() <= MAX_ENTRIES
            && self.draining.len() <= MAX_ENTRIES
            && self.paces.len() <= MAX_PACES
            && self.loads.iter().all(|(key, load)| is_here(key) && load.is_valid())
            && self.uses.iter().all(|used| is_here(&used.engine))
            && self.limits.iter().all(|(key, notice)| is_here(key) && notice.is_valid())
            && self.draining.iter().all(is_here)
            && self.paces.iter().all(|notice| is_here(&notice.upstream))
    }
}
