//! Records of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Stamp;
use super::heartbeat::digest;
use crate::id;
use crate::unit::Milliseconds;
use crate::unit::Slots;

/// Whether an upstream or VM accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Accepts requests.
    Ready,
    /// Shutting down: running requests may finish, new ones are sent elsewhere.
    Draining,
    /// Has left.
    Gone,
}

/// A model that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
}

/// The record that an upstream publishes. Field names are short on the wire because a message holds many records.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The upstream's name.
    #[serde(rename = "i", alias = "id")]
    pub id: id::Upstream,
    /// Orders the upstream's records.
    #[serde(rename = "s", alias = "stamp")]
    pub stamp: Stamp,
    /// The service that it is a replica of.
    #[serde(rename = "v", alias = "service")]
    pub service: String,
    /// Where it accepts connections.
    #[serde(rename = "a", alias = "address")]
    pub address: SocketAddr,
    /// The data centre that it runs in.
    #[serde(rename = "d", alias = "data_centre")]
    pub data_centre: id::DataCentre,
    /// The requests that it can run concurrently.
    #[serde(rename = "n", alias = "slots")]
    pub slots: Slots,
    /// Whether it accepts requests.
    #[serde(rename = "t", alias = "standing")]
    pub standing: Standing,
    /// The remaining warm-up time.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "c", alias = "cold_left")]
    pub cold_left: Duration,
    /// The time until it is terminated, if a deadline is set.
    #[serde_as(as = "Option<Milliseconds>")]
    #[serde(rename = "e", alias = "ends_in")]
    pub ends_in: Option<Duration>,
    /// The models that it has loaded.
    #[serde(rename = "m", alias = "models")]
    pub models: Vec<Model>,
}

/// Two records whose deadlines differ by no more than this are taken to have the same deadline.
const JITTER_TOLERANCE: Duration = Duration::from_millis(500);

impl Announcement {
    /// Whether the record has no remaining durations, which change with every check-in.
    pub fn is_time_independent(&self) -> bool {
        self.cold_left.is_zero() && self.ends_in.is_none()
    }

    /// Hashes all fields but the sequence number and the remaining durations.
    pub fn digest(&self) -> u64 {
        let fields = (&self.service, self.address, &self.data_centre, self.slots);
        digest(&(&self.id, self.stamp.start_time_ms, fields, self.standing, &self.models))
    }

    /// Whether routing needs to know of this record, given the last one and the time since it.
    pub fn has_changed_since(&self, last: &Self, elapsed: Duration) -> bool {
        let cold = last.cold_left.saturating_sub(elapsed);
        let ends = last.ends_in.map(|ends| ends.saturating_sub(elapsed));
        let ends_changed = match (self.ends_in, ends) {
            (Some(now), Some(before)) => now.abs_diff(before) > JITTER_TOLERANCE,
            (now, before) => now.is_some() != before.is_some(),
        };
        self.stamp.start_time_ms != last.stamp.start_time_ms
            || self.service != last.service
            || self.address != last.address
            || self.data_centre != last.data_centre
            || self.slots != last.slots
            || self.standing != last.standing
            || self.models != last.models
            || self.cold_left.abs_diff(cold) > JITTER_TOLERANCE
            || ends_changed
    }
}
