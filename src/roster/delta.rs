//! What changed in a control VM's table.

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Presence;
use crate::id;
use crate::wire::Role;

/// A fact and whether its subject has fallen silent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact<T> {
    /// What the subject said last, with spans of time as of now.
    pub said: T,
    /// Nothing was heard of it for long.
    pub silent: bool,
}

/// All that changed after a revision, or everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that the receiver has with this.
    pub revision: u64,
    /// What is not in here is unknown to the sender, and not merely unchanged.
    pub whole: bool,
    /// The upstreams.
    pub upstreams: Vec<Fact<Announcement>>,
    /// The VMs.
    pub vms: Vec<Fact<Presence>>,
}

impl Delta {
    /// The same without the entry VMs of other regions, and without upstreams in data centres that are not `here`.
    #[must_use]
    pub fn only_of(mut self, region: &id::Region, here: impl Fn(&id::DataCentre) -> bool) -> Self {
        self.vms.retain(|fact| fact.said.role != Role::Entry || fact.said.region == *region);
        self.upstreams.retain(|fact| here(&fact.said.data_centre));
        self
    }
}
