//! What VMs have at one upstream, and what they saw of it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// No VM has more requests at an upstream, nor more tokens in each of them, than this. Numbers beyond are bad input.
const MOST_REQUESTS: u32 = 1_000_000;
const MOST_TOKENS: u64 = 1 << 40;

/// What one VM has at an upstream, or the sum of several.
///
/// Serialised as a list without names: it is most of each message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Load {
    /// Requests that have not ended.
    pub running: u32,
    /// Of these, those whose first event hasn't come.
    pub unread: u32,
    /// The tokens that those have to read.
    pub unread_tokens: u64,
    /// The tokens that the running ones keep in memory, shared parts aside.
    pub memory: u64,
    /// Requests that ended well lately.
    pub answered: u32,
    /// Requests that failed lately.
    pub failed: u32,
    /// VMs that could not connect to it lately and leave it alone.
    pub unreachable: u32,
    /// How long ago anything came from it; the shortest of several VMs. None where nothing came lately.
    pub heard: Option<Duration>,
    /// How long a VM with requests there has seen nothing of it; the longest of several VMs.
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
    #[serde_as(as = "DurationMilliSeconds<u64>")] Duration,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")] Option<Duration>,
);

impl From<Packed> for Load {
    fn from(packed: Packed) -> Self {
        let Packed(running, unread, tokens, memory, answered, failed, away, quiet, heard) = packed;
        Self {
            running,
            unread,
            unread_tokens: tokens,
            memory,
            answered,
            failed,
            unreachable: away,
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
    /// Whether it tells anything.
    pub fn is_empty(&self) -> bool {
        *self == Self { heard: self.heard, ..Self::default() }
    }

    /// Whether it can be what VMs have at an upstream.
    pub const fn is_sound(&self) -> bool {
        self.running <= MOST_REQUESTS
            && self.unread <= self.running
            && self.unread_tokens <= MOST_TOKENS
            && self.memory <= MOST_TOKENS
            && self.answered <= MOST_REQUESTS
            && self.failed <= MOST_REQUESTS
            && self.unreachable <= MOST_REQUESTS
    }

    /// Both together, in any order.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
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

    /// The same after that time, in which nothing more was told.
    #[must_use]
    pub fn aged(self, age: Duration) -> Self {
        let quiet = if self.quiet.is_zero() { self.quiet } else { self.quiet.saturating_add(age) };
        Self { heard: self.heard.map(|heard| heard.saturating_add(age)), quiet, ..self }
    }
}
