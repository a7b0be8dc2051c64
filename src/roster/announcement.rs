//! What an upstream says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Stamp;
use super::heartbeat::digest;
use crate::id;
use crate::unit::Slots;

/// Whether an upstream takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It takes requests.
    Ready,
    /// It ends soon: what runs may end, and nothing new goes there.
    Draining,
    /// It has left.
    Gone,
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
}

/// What an upstream says of itself. Its names are short on the wire, where most messages hold many of these.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its name.
    #[serde(rename = "i", alias = "id")]
    pub id: id::Upstream,
    /// Orders this among its statements.
    #[serde(rename = "s", alias = "stamp")]
    pub stamp: Stamp,
    /// The service that it is a copy of.
    #[serde(rename = "v", alias = "service")]
    pub service: String,
    /// Where it takes connections.
    #[serde(rename = "a", alias = "address")]
    pub address: SocketAddr,
    /// Where it stands.
    #[serde(rename = "d", alias = "data_centre")]
    pub data_centre: id::DataCentre,
    /// The requests that it runs at once.
    #[serde(rename = "n", alias = "slots")]
    pub slots: Slots,
    /// Whether it takes requests.
    #[serde(rename = "t", alias = "standing")]
    pub standing: Standing,
    /// How much longer it is cold, as of now.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "c", alias = "cold_left")]
    pub cold_left: Duration,
    /// When it will be gone whatever it runs, as of now; none where it ends by itself.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "e", alias = "ends_in")]
    pub ends_in: Option<Duration>,
    /// What it holds.
    #[serde(rename = "m", alias = "models")]
    pub models: Vec<Model>,
}

/// How far apart two statements about a moment may lie and still mean the same moment.
const JITTER: Duration = Duration::from_millis(500);

impl Announcement {
    /// Whether it tells no span of time, which would be another one a moment later.
    pub fn is_settled(&self) -> bool {
        self.cold_left.is_zero() && self.ends_in.is_none()
    }

    /// Names the upstream, its start and all that it says but for spans of time.
    pub fn digest(&self) -> u64 {
        let said = (&self.service, self.address, &self.data_centre, self.slots);
        digest(&(&self.id, self.stamp.born, said, self.standing, &self.models))
    }

    /// Whether a later statement tells anything that matters to those who send requests.
    pub fn says_more_than(&self, last: &Self, since: Duration) -> bool {
        let cold = last.cold_left.saturating_sub(since);
        let ends = last.ends_in.map(|ends| ends.saturating_sub(since));
        let ends_changed = match (self.ends_in, ends) {
            (Some(now), Some(before)) => now.abs_diff(before) > JITTER,
            (now, before) => now.is_some() != before.is_some(),
        };
        self.stamp.born != last.stamp.born
            || self.service != last.service
            || self.address != last.address
            || self.data_centre != last.data_centre
            || self.slots != last.slots
            || self.standing != last.standing
            || self.models != last.models
            || self.cold_left.abs_diff(cold) > JITTER
            || ends_changed
    }
}
