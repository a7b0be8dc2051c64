//! One versioned fact.

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::key::Key;
use super::stamp::Stamp;
use super::stamp::Version;
use crate::id;
use crate::unit::Incarnation;

/// What is known of the VM or upstream that a fact is about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It is there.
    #[default]
    #[serde(rename = "p")]
    Present,
    /// A VM that doesn't answer probes, or an upstream whose lease ran out. Any newer write refutes it.
    #[serde(rename = "s")]
    Suspected,
    /// It left or was declared gone. Only a new incarnation comes back.
    #[serde(rename = "g")]
    Gone,
}

impl State {
    fn is_present(&self) -> bool {
        *self == Self::Present
    }
}

/// One versioned fact; the payload means nothing to the membership.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What the fact is about.
    #[serde(rename = "k")]
    pub key: Key,
    /// The start count of what it is about.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The write within the incarnation.
    #[serde(rename = "n")]
    pub version: Version,
    /// What is known of it.
    #[serde(rename = "s", default, skip_serializing_if = "State::is_present")]
    pub state: State,
    /// The random number of the process that wrote the fact: it tells a restarted VM from its
    /// predecessor, whose leases it doesn't hold.
    #[serde(rename = "b")]
    pub birth: u32,
    /// The VM that answers for the fact, where the key doesn't say so.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<id::Vm>,
    /// The content, encoded by whoever wrote it.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    #[serde_as(as = "Bytes")]
    pub payload: Vec<u8>,
}

impl Fact {
    /// Its place in the order of all writes to the key.
    pub fn stamp(&self) -> Stamp {
        let holder = self.holder.as_ref().map_or("", id::Vm::as_str);
        let seed = xxh3_64_with_seed(holder.as_bytes(), u64::from(self.birth));
        Stamp {
            incarnation: self.incarnation,
            gone: self.state == State::Gone,
            version: self.version,
            suspected: self.state == State::Suspected,
            content: xxh3_64_with_seed(&self.payload, seed) as u32,
        }
    }

    /// The same fact in another state; nothing of the payload is left once it is gone.
    #[must_use]
    pub fn with_state(mut self, state: State) -> Self {
        self.state = state;
        if state == State::Gone {
            self.payload = Vec::new();
            self.holder = None;
        }
        self
    }

    /// The VM that answers for the fact.
    pub fn answerable(&self) -> Option<&id::Vm> {
        match &self.key {
            Key::Vm(vm) | Key::Catalogue(vm) => Some(vm),
            Key::Upstream(_) | Key::Region(_) => self.holder.as_ref(),
        }
    }

    /// About how many bytes the fact takes in a message.
    pub(super) fn size(&self) -> usize {
        const FIXED: usize = 24;
        let holder = self.holder.as_ref().map_or(0, |vm| vm.as_str().len() + 4);
        FIXED + self.key.size() + holder + self.payload.len()
    }
}
