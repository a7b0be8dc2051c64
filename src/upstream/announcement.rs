//! What an upstream says of itself when it announces and renews.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;

/// An upstream's announcement; each renewal repeats it whole, with the next sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The upstream's name.
    pub id: id::Upstream,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: id::Region,
    /// The data centre it stands in.
    pub data_centre: id::DataCentre,
    /// What it is.
    pub kind: Kind,
    /// How many requests it runs at once.
    pub slots: Slots,
    /// The models that an engine has loaded, or the names that a service answers to.
    pub models: BTreeSet<id::Model>,
    /// The adapters that it has loaded.
    #[serde(default)]
    pub adapters: BTreeSet<id::Model>,
    /// The versions that it has loaded.
    #[serde(default)]
    pub versions: BTreeSet<id::Model>,
    /// Which part of a request it runs.
    #[serde(default)]
    pub role: Role,
    /// Its start count: a restarted upstream must announce a higher one.
    pub incarnation: Incarnation,
    /// Whether it refuses an order with a fencing number lower than the last.
    #[serde(default)]
    pub checks_fence: bool,
    /// The number of this renewal within the incarnation, rising by at least one each time.
    pub sequence: u64,
}

impl Announcement {
    /// The order of announcements of one upstream: a higher one is newer.
    pub fn recency(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }

    /// Whether the two differ in nothing but the renewal's number.
    pub fn is_renewal_of(&self, earlier: &Self) -> bool {
        self.id == earlier.id
            && self.address == earlier.address
            && self.region == earlier.region
            && self.data_centre == earlier.data_centre
            && self.kind == earlier.kind
            && self.slots == earlier.slots
            && self.models == earlier.models
            && self.adapters == earlier.adapters
            && self.versions == earlier.versions
            && self.role == earlier.role
            && self.incarnation == earlier.incarnation
            && self.checks_fence == earlier.checks_fence
    }
}

/// What an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Which part of a request an upstream runs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Whole requests; the usual role, and the only one of plain services.
    #[default]
    Mixed,
    /// The prompt alone; the KV cache is then exported.
    Prefill,
    /// The answer alone, from an imported KV cache.
    Decode,
}
