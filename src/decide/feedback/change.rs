//! Changes of restrictions, for the log.

use std::time::Duration;

use super::Source;
use crate::id;
use crate::unit::Rate;

/// What changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A rate limit over all VMs began.
    LimitBegan(Rate),
    /// A rate limit changed.
    LimitChanged(Rate),
    /// A rate limit ended.
    LimitEnded,
    /// The upstream states how many requests a second it can refuse.
    RefusalLimitBegan(Rate),
    /// That number changed.
    RefusalLimitChanged(Rate),
    /// It does not state it any more.
    RefusalLimitEnded,
    /// A rejection has shown how many requests the upstream holds at most.
    BoundBegan(u32),
    /// That number has changed much.
    BoundChanged(u32),
    /// It has not rejected any request for a while.
    BoundEnded,
    /// The upstream is draining.
    DrainBegan,
    /// The upstream that was draining has restarted or is gone.
    DrainEnded,
    /// The upstream wants no requests from this VM for that time.
    BackoffBegan(Duration),
    /// The upstream wants no requests for longer; the time left.
    BackoffExtended(Duration),
    /// That time is over, or the upstream has restarted.
    BackoffEnded,
    /// A header of a response could not be decoded and was ignored.
    HeaderIgnored {
        /// What the header would state.
        name: &'static str,
        /// The text, possibly shortened.
        value: String,
    },
}

/// A restriction of an upstream that began, changed or ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The upstream.
    pub upstream: id::Upstream,
    /// What changed.
    pub event: Event,
    /// How this VM knows of it.
    pub source: Source,
    /// The time since the upstream stated it.
    pub age: Duration,
}
