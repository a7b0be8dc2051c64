//! What the entry VMs of a region tell each other of the upstreams that they all send to.
//!
//! **Load pattern.** Two hundred entry VMs stand before ninety engines. Each sees six requests a second, and each engine
//! once in several seconds, while an engine fills or empties within a tenth of that.
//!
//! **Without it.** An engine's load reaches a VM only with an answer of that engine to the same VM. Engines that run three
//! requests stand beside others with thirty; a shared part of prompts is read by seven engines, since each VM chooses
//! among loads that are not there; a plain upstream refuses what sixty VMs send it at once; and each VM loses requests
//! of its own to an engine that all others know to be gone.
//!
//! **Decision.** The upstreams are divided into [`SHARDS`]. Each shard has a host among the region's entry VMs, found by
//! rendezvous hashing ([`Hosts`]). Every VM tells it, several times a second, what it has at the shard's upstreams
//! ([`Update`]), and is answered with the sum of what the other VMs have there ([`Summary`]). Both hold whole states with a
//! number, so a message may be lost, repeated or overtaken. A host that is lost costs freshness: VMs go on by their own
//! view, and by the next host after [`hosts::MISSED`] updates without an answer. Two hosts at once each know a part, and
//! a VM never takes the word of both for the same upstream.
//!
//! Of the ways that were weighed (`docs/design/sharing.md`), gossip of digests is as old as two or three rounds, and leases
//! handed out ahead leave room idle.

mod aggregator;
pub mod hosts;
mod key;
mod load;
mod message;
mod remotes;

use std::time::Duration;

pub use aggregator::Aggregator;
pub use hosts::Hosts;
pub use key::Key;
pub use load::Load;
pub use message::Message;
pub use message::Position;
pub use message::Remote;
pub use message::Summary;
pub use message::Update;
pub use message::Use;

/// Groups of upstreams with a host each. More of them make more messages, fewer make longer ones: a host tells each VM of
/// all upstreams of its shard.
pub const SHARDS: u8 = 4;

/// The shard whose host is told of other regions as well.
pub const REMOTES: u8 = 0;

/// Each shard's host is told so often by a VM that has requests.
pub const ROUND: Duration = Duration::from_millis(160);

/// A VM's statement counts for so long at a host: three rounds may be lost.
pub const KEPT: Duration = Duration::from_millis(700);

/// A summary counts for so long at a VM that received it. It is as old as its host's statements by then, besides.
pub const FRESH: Duration = Duration::from_millis(700);

#[cfg(test)]
mod tests;
