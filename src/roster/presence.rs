//! What a VM of the system says of itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Stamp;
use super::Standing;
use crate::id;
use crate::wire::Role;

/// What one process of the system says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Its VM.
    pub vm: id::Vm,
    /// What it runs.
    pub role: Role,
    /// Orders this among its statements.
    pub stamp: Stamp,
    /// Tells apart two starts that have the same stamp because the clock was set back.
    pub nonce: u64,
    /// Where it stands.
    pub region: id::Region,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Whether callers should come to it.
    pub standing: Standing,
    /// Whether it can carry requests at present.
    pub ready: bool,
    /// Where it takes callers' connections; none on a control VM.
    pub callers: Option<SocketAddr>,
    /// Where it takes requests that other VMs pass on; none on a control VM.
    pub forwards: Option<SocketAddr>,
    /// Where it takes links from other VMs; none on an entry VM.
    pub links: Option<SocketAddr>,
}

impl Presence {
    /// Whether a later statement tells anything that matters to others.
    pub fn says_more_than(&self, last: &Self) -> bool {
        (self.stamp.born, self.nonce) != (last.stamp.born, last.nonce)
            || self.standing != last.standing
            || self.ready != last.ready
            || (self.callers, self.forwards, self.links)
                != (last.callers, last.forwards, last.links)
    }
}
