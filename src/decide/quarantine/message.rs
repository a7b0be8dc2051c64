//! Reports on crashes between VMs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::decide::quarantine::Digest;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;

/// A request that was running on an upstream when it crashed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub digest: Digest,
    /// The upstream.
    pub upstream: id::Upstream,
    /// The incarnation of the upstream that crashed.
    pub incarnation: Incarnation,
    /// How long the request had run there.
    #[serde_as(as = "Milliseconds")]
    pub ran: Duration,
    /// How long ago it crashed; an age, so that clocks of different VMs aren't compared.
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
}

/// An event in the life of one instance of an upstream: its crash, or a sign of life after a reported crash.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How long ago it happened.
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
}

/// A complete answer to a request that had been running on a crashed upstream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRecord {
    /// The request.
    pub digest: Digest,
    /// How long ago it was answered.
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
    /// Whether all that was known against the request until then is void.
    pub clears: bool,
}

/// A request that is quarantined.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord {
    /// The request.
    pub digest: Digest,
    /// The time left; zero for a request that may run again.
    #[serde_as(as = "Milliseconds")]
    pub time_left: Duration,
    /// How long ago it was quarantined.
    #[serde_as(as = "Milliseconds")]
    pub age: Duration,
    /// The number of upstreams that crashed while running it.
    pub crashes: u32,
}

/// What a VM knows of crashes. Merging is idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that were running on upstreams that crashed.
    #[serde(rename = "charges")]
    pub crashes: Vec<CrashRecord>,
    /// Requests of which all that is known is void as of now.
    pub cleared: Vec<Digest>,
    /// Crashes without the requests that were running.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub instances: Vec<InstanceRecord>,
    /// Instances that were heard from after their reported crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<InstanceRecord>,
    /// Answers to requests that had been running on crashed upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<AnswerRecord>,
    /// Quarantined requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<HoldRecord>,
}

impl Report {
    /// Adds all that another report says.
    pub fn extend(&mut self, other: Self) {
        self.crashes.extend(other.crashes);
        self.cleared.extend(other.cleared);
        self.instances.extend(other.instances);
        self.alive.extend(other.alive);
        self.answers.extend(other.answers);
        self.holds.extend(other.holds);
    }

    /// Whether the report is empty.
    pub fn is_empty(&self) -> bool {
        let Self { crashes, cleared, instances, alive, answers, holds } = self;
        crashes.is_empty()
            && cleared.is_empty()
            && instances.is_empty()
            && alive.is_empty()
            && answers.is_empty()
            && holds.is_empty()
    }
}
