//! What VMs tell each other to share an upstream's slots.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;
use crate::unit::Slots;

/// A message about the slots of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// To the host VM: what is asked for.
    Ask(Ask),
    /// From the host VM: what is granted.
    Grant(Grant),
    /// From the host VM: ask again now, as you hold slots that others need, or some that you need have become free.
    AskAgain {
        /// The upstream.
        upstream: id::Upstream,
    },
}

impl Message {
    /// The upstream whose slots it is about.
    pub fn upstream(&self) -> &id::Upstream {
        match self {
            Self::Ask(ask) => &ask.upstream,
            Self::Grant(grant) => &grant.upstream,
            Self::AskAgain { upstream } => upstream,
        }
    }
}

/// A VM asks for slots, and tells what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The start of the asking VM.
    pub incarnation: Incarnation,
    /// The number of this ask within the VM's start.
    pub number: u64,
    /// The number of the ask whose grant is in force.
    pub applied: u64,
    /// The slots of the grant in force; zero when it has run out.
    pub held: Slots,
    /// The slots in use.
    pub running: Slots,
    /// The slots that it could use now.
    pub wanted: Slots,
    /// The slots that it would hold beyond that, so that its next requests start at once.
    pub spare: Slots,
}

/// The host VM's answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The number of the ask that this answers; an answer to an older ask than the last one applied is dropped.
    pub number: u64,
    /// The slots that it may use.
    pub slots: Slots,
    /// How long, from the moment that the ask was sent.
    #[serde_as(as = "Milliseconds")]
    pub lease: Duration,
    /// The slots that it may use after the lease, when the host VM can't be reached.
    pub fallback: Slots,
}
