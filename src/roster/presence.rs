//! What a VM of the system says of itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Stamp;
use super::Standing;
use super::heartbeat::digest;
use crate::id;
use crate::wire::Role;

/// What one process of the system says of itself. Its names are short on the wire, where most messages hold many of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Its VM.
    #[serde(rename = "v", alias = "vm")]
    pub vm: id::Vm,
    /// What it runs.
    #[serde(rename = "r", alias = "role")]
    pub role: Role,
    /// Orders this among its statements.
    #[serde(rename = "s", alias = "stamp")]
    pub stamp: Stamp,
    /// Tells apart two starts that have the same stamp because the clock was set back.
    #[serde(rename = "n", alias = "nonce")]
    pub nonce: u64,
    /// Where it stands.
    #[serde(rename = "g", alias = "region")]
    pub region: id::Region,
    /// Where it stands.
    #[serde(rename = "d", alias = "data_centre")]
    pub data_centre: id::DataCentre,
    /// Whether callers should come to it.
    #[serde(rename = "t", alias = "standing")]
    pub standing: Standing,
    /// Whether it can carry requests at present.
    #[serde(rename = "y", alias = "ready")]
    pub ready: bool,
    /// Where it takes callers' connections; none on a control VM.
    #[serde(rename = "c", alias = "callers")]
    pub callers: Option<SocketAddr>,
    /// Where it takes requests that other VMs pass on; none on a control VM.
    #[serde(rename = "f", alias = "forwards")]
    pub forwards: Option<SocketAddr>,
    /// Where it takes links from other VMs; none on an entry VM.
    #[serde(rename = "l", alias = "links")]
    pub links: Option<SocketAddr>,
}

impl Presence {
    /// Names the VM, its start and all that it says.
    pub fn digest(&self) -> u64 {
        let place = (&self.vm, self.role, &self.region, &self.data_centre);
        let reached = (self.callers, self.forwards, self.links);
        digest(&(place, self.stamp.born, self.nonce, self.standing, self.ready, reached))
    }

    /// Whether a later statement tells anything that matters to others.
    pub fn says_more_than(&self, last: &Self) -> bool {
        (self.stamp.born, self.nonce) != (last.stamp.born, last.nonce)
            || self.standing != last.standing
            || self.ready != last.ready
            || (self.callers, self.forwards, self.links)
                != (last.callers, last.forwards, last.links)
    }
}
