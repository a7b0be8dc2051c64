//! What a VM and a host say to each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Key;
use super::Load;
use super::SHARDS;
use crate::decide::quota;
use crate::id;

/// The entries of a message at most; a datagram of an absurd size is dropped unread.
const MOST: usize = 1000;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A VM tells a host.
    #[serde(rename = "u")]
    Update(Update),
    /// A host answers.
    #[serde(rename = "s")]
    Summary(Summary),
    /// A host tells those of other regions.
    #[serde(rename = "t")]
    Totals(quota::Totals),
}

/// Up to where a VM knows a host's list of uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The host's start.
    #[serde(rename = "h")]
    pub host: u64,
    /// The uses before this one are known.
    #[serde(rename = "n")]
    pub next: u64,
}

/// A prompt with that shared part was sent to an engine, which holds the part from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The engine.
    #[serde(rename = "e")]
    pub engine: Key,
    /// Names the part.
    #[serde(rename = "p")]
    pub part: u64,
    /// Its length in tokens.
    #[serde(rename = "t")]
    pub tokens: u64,
}

/// How a usual request would fare in another region.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remote {
    /// The region.
    #[serde(rename = "r")]
    pub region: id::Region,
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// Whether it holds for requests to the service that no other ones go before.
    #[serde(rename = "u")]
    pub urgent: bool,
    /// The time to the first event.
    #[serde(rename = "w")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
    /// The requests that run where it would go.
    #[serde(rename = "n")]
    pub running: u32,
    /// How long ago that was told.
    #[serde(rename = "a")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// All that a VM has at the upstreams of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// Tells one start of the VM from another.
    #[serde(rename = "b")]
    pub start: u64,
    /// Counts the updates of that start; a later one replaces an earlier one.
    #[serde(rename = "n")]
    pub number: u64,
    /// What it has; nothing where an upstream is not named.
    #[serde(rename = "l")]
    pub loads: Vec<(Key, Load)>,
    /// What organisations of the shard have asked it for.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quotas: Vec<(quota::Lane, quota::Count)>,
    /// Shared parts that it has used and the host has not confirmed.
    #[serde(rename = "u")]
    pub uses: Vec<Use>,
    /// The uses of others that it knows.
    #[serde(rename = "k")]
    pub known: Position,
    /// What other regions have told it since its last update of the shard [`REMOTES`](super::REMOTES).
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub remotes: Vec<Remote>,
}

/// A host's answer to an update: what all other VMs have.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// The number of the update that it answers.
    #[serde(rename = "n")]
    pub number: u64,
    /// The sums over all VMs but the asking one; nothing where an upstream is not named.
    #[serde(rename = "l")]
    pub loads: Vec<(Key, Load)>,
    /// The organisations of the shard that are limited; none where the host can't tell yet.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<Vec<(quota::Lane, quota::Part)>>,
    /// Uses that the asking VM did not know.
    #[serde(rename = "u")]
    pub uses: Vec<Use>,
    /// Up to where it knows them with these.
    #[serde(rename = "k")]
    pub known: Position,
    /// What other regions have told the VMs of this one lately.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub remotes: Vec<Remote>,
}

impl Message {
    /// The bytes of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        bytes
    }

    /// The message of a datagram; none where it is none, or says what can't be.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message: Self = ciborium::from_reader(bytes).ok()?;
        let (shard, loads, uses, remotes) = match &message {
            Self::Totals(totals) if totals.shard < SHARDS && totals.is_sound() => {
                return Some(message);
            }
            Self::Totals(_) => return None,
            Self::Update(update) => (update.shard, &update.loads, &update.uses, &update.remotes),
            Self::Summary(summary) => {
                (summary.shard, &summary.loads, &summary.uses, &summary.remotes)
            }
        };
        let is_sound = shard < SHARDS
            && loads.len() <= MOST
            && uses.len() <= MOST
            && remotes.len() <= MOST
            && loads.iter().all(|(key, load)| key.shard() == shard && load.is_sound())
            && uses.iter().all(|used| used.engine.shard() == shard);
        is_sound.then_some(message)
    }
}
