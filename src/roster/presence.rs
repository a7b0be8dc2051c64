//! Records of VMs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Stamp;
use super::Standing;
use super::heartbeat::digest;
use crate::id;
use crate::wire::Role;

/// The record that a control or entry process publishes. Field names are short on the wire because a message holds many
/// records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The VM that the process runs on.
    #[serde(rename = "v", alias = "vm")]
    pub vm: id::Vm,
    /// The role of the process.
    #[serde(rename = "r", alias = "role")]
    pub role: Role,
    /// Orders the process's records.
    #[serde(rename = "s", alias = "stamp")]
    pub stamp: Stamp,
    /// Distinguishes two starts with the same stamp, which occur when the clock is set back.
    #[serde(rename = "n", alias = "nonce")]
    pub nonce: u64,
    /// The region that it runs in.
    #[serde(rename = "g", alias = "region")]
    pub region: id::Region,
    /// The data centre that it runs in.
    #[serde(rename = "d", alias = "data_centre")]
    pub data_centre: id::DataCentre,
    /// Whether it accepts new callers.
    #[serde(rename = "t", alias = "standing")]
    pub standing: Standing,
    /// Whether it can serve requests now.
    #[serde(rename = "y", alias = "ready")]
    pub ready: bool,
    /// The address for callers; none on a control VM.
    #[serde(rename = "c", alias = "callers")]
    pub callers: Option<SocketAddr>,
    /// The address for requests forwarded by other VMs; none on a control VM.
    #[serde(rename = "f", alias = "forwards")]
    pub forwards: Option<SocketAddr>,
    /// The address for links from other VMs; none on an entry VM.
    #[serde(rename = "l", alias = "links")]
    pub links: Option<SocketAddr>,
    /// Whether an entry VM reaches none of the upstreams of its region, so that other VMs should not forward requests to it.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub without_reach: bool,
}

impl Presence {
    /// Hashes all fields but the sequence number.
    pub fn digest(&self) -> u64 {
        let identity = (&self.vm, self.role, &self.region, &self.data_centre);
        let addresses = (self.callers, self.forwards, self.links);
        let all = digest(&(
            identity,
            self.stamp.start_time_ms,
            self.nonce,
            self.standing,
            self.ready,
            addresses,
        ));
        // Without the field, the digest is that of a release that does not have it.
        if self.without_reach { digest(&(all, "without reach")) } else { all }
    }

    /// Whether other VMs need to know of this record, given the last one.
    pub fn has_changed_since(&self, last: &Self) -> bool {
        (self.stamp.start_time_ms, self.nonce) != (last.stamp.start_time_ms, last.nonce)
            || self.standing != last.standing
            || self.ready != last.ready
            || self.without_reach != last.without_reach
            || (self.callers, self.forwards, self.links)
                != (last.callers, last.forwards, last.links)
    }
}
