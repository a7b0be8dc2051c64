//! Load of an upstream, as seen by the VMs that send to it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::unit::Milliseconds;

/// Limits for the validation of received loads.
const MAX_REQUESTS: u32 = 1_000_000;
const MAX_TOKENS: u64 = 1 << 40;

/// The load that a VM has on an upstream, or the sum over several VMs.
///
/// Serialised as a tuple, because it makes up most of each message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Of these, the requests without a first event.
    pub unread: u32,
    /// Prompt tokens of the requests without a first event.
    pub unread_tokens: u64,
    /// Tokens that running requests hold in the KV cache, excluding shared prefixes.
    pub memory: u64,
    /// Recent successful requests.
    pub answered: u32,
    /// Recent failed requests.
    pub failed: u32,
    /// VMs that recently could not connect to it and have stopped sending.
    pub unreachable: u32,
    /// Time since the last data received from it, the minimum over VMs; `None` if there was none
    /// recently.
    pub heard: Option<Duration>,
    /// How long a VM with requests there has received nothing, the maximum over VMs.
    pub quiet: Duration,
}

#[serde_as]
#[derive(Serialize, Deserialize)]
struct Packed(
    u32,
    u32,
    u64,
    u64,
    u32,
    u32,
    u32,
    #[serde_as(as = "Milliseconds")] Duration,
    #[serde_as(as = "Option<Milliseconds>")] Option<Duration>,
);

impl From<Packed> for Load {
    fn from(packed: Packed) -> Self {
        let Packed(running, unread, tokens, memory, answered, failed, unreachable, quiet, heard) =
            packed;
        Self {
            running,
            unread,
            unread_tokens: tokens,
            memory,
            answered,
            failed,
            unreachable,
            heard,
            quiet,
        }
    }
}

impl From<Load> for Packed {
    fn from(load: Load) -> Self {
        Self(
            load.running,
            load.unread,
            load.unread_tokens,
            load.memory,
            load.answered,
            load.failed,
            load.unreachable,
            load.quiet,
            load.heard,
        )
    }
}

impl Load {
    /// Whether it has nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == Self { heard: self.heard, ..Self::default() }
    }

    /// Whether it is plausible.
    pub const fn is_valid(&self) -> bool {
        self.running <= MAX_REQUESTS
            && self.unread <= self.running
            && self.unread_tokens <= MAX_TOKENS
            && self.memory <= MAX_TOKENS
            && self.answered <= MAX_REQUESTS
            && self.failed <= MAX_REQUESTS
            && self.unreachable <= MAX_REQUESTS
    }

    /// Adds another VM's load; commutative and associative.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            unread: self.unread.saturating_add(other.unread),
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
            memory: self.memory.saturating_add(other.memory),
            answered: self.answered.saturating_add(other.answered),
            failed: self.failed.saturating_add(other.failed),
            unreachable: self.unreachable.saturating_add(other.unreachable),
            heard: self.heard.into_iter().chain(other.heard).min(),
            quiet: self.quiet.max(other.quiet),
        }
    }

    /// The load after that time without new data.
    #[must_use]
    pub fn aged(self, age: Duration) -> Self {
        let quiet = if self.quiet.is_zero() { self.quiet } else { self.quiet.saturating_add(age) };
        Self { heard: self.heard.map(|heard| heard.saturating_add(age)), quiet, ..self }
    }
}
