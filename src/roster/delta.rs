//! Changes of a control VM's table.

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Presence;
use crate::id;
use crate::wire::Role;

/// A record and whether its subject has stopped renewing it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed<T> {
    /// The latest record, with remaining durations as of now.
    #[serde(rename = "said")]
    pub record: T,
    /// The subject has not renewed the record within its timeout.
    pub silent: bool,
}

/// The records that changed after a revision, or the full table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The receiver's revision after it applies this delta.
    pub revision: u64,
    /// The delta holds the full table and replaces the receiver's copy.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The changed upstreams.
    pub upstreams: Vec<Observed<Announcement>>,
    /// The changed VMs.
    pub vms: Vec<Observed<Presence>>,
}

impl Delta {
    /// Removes the entry VMs of other regions and the upstreams of data centres that are not local.
    #[must_use]
    pub fn for_region(
        mut self,
        region: &id::Region,
        is_local: impl Fn(&id::DataCentre) -> bool,
    ) -> Self {
        self.vms.retain(|observed| {
            observed.record.role != Role::Entry || observed.record.region == *region
        });
        self.upstreams.retain(|observed| is_local(&observed.record.data_centre));
        self
    }
}
