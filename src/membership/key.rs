//! What a fact is about.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// What a fact is about. The short names keep messages small.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A VM: its addresses, data centre, role and whether it is draining. Written by the VM itself.
    #[serde(rename = "v")]
    Vm(id::Vm),
    /// The catalogue version in force on a VM; apart from [`Key::Vm`] since it changes far more often.
    #[serde(rename = "c")]
    Catalogue(id::Vm),
    /// The announcement of an upstream, written by the VM that it announces itself to.
    #[serde(rename = "u")]
    Upstream(id::Upstream),
    /// The digest of a region: the only fact that leaves its region.
    #[serde(rename = "r")]
    Region(id::Region),
}

impl Key {
    fn parts(&self) -> (u64, &str) {
        match self {
            Self::Vm(vm) => (1, vm.as_str()),
            Self::Catalogue(vm) => (2, vm.as_str()),
            Self::Upstream(upstream) => (3, upstream.as_str()),
            Self::Region(region) => (4, region.as_str()),
        }
    }

    /// A hash that is the same in every process.
    pub(super) fn digest(&self) -> u64 {
        let (kind, name) = self.parts();
        xxh3_64_with_seed(name.as_bytes(), kind)
    }

    /// About how many bytes the key takes in a message.
    pub(super) fn size(&self) -> usize {
        self.parts().1.len() + 4
    }
}
