//! Load sharing between the entry VMs of a region.
//!
//! **Load pattern.** Two hundred entry VMs send to ninety engines. A VM handles six requests a
//! second and sends to each engine once in several seconds, while an engine's load changes within a
//! tenth of that.
//!
//! **Without it.** A VM learns an engine's load only from answers to its own requests. Some engines
//! run three requests and others thirty, shared prefixes are computed on several engines, plain
//! upstreams refuse bursts of many VMs, and each VM loses requests to an engine that others already
//! know to be down.
//!
//! **Decision.** Upstreams are divided into [`SHARDS`]. Each shard is hosted by one of the region's
//! entry VMs, selected by rendezvous hashing ([`Hosts`]). Every VM sends its own load on the
//! shard's upstreams to the host several times a second ([`Update`]), and receives the sum over the
//! other VMs ([`Summary`]). Messages carry complete, numbered states, so they may be lost, repeated
//! or reordered. If a host fails, VMs fall back to their own view and switch to the next host after
//! [`hosts::MAX_UNANSWERED`] updates without an answer. Two simultaneous hosts each know a part of
//! the load, and a VM accepts only one host's summary per shard.
//!
//! Alternatives are compared in `docs/design/sharing.md`.

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
pub use message::Cursor;
pub use message::MAX_PACES;
pub use message::Message;
pub use message::Offer;
pub use message::PrefixUse;
pub use message::RegionEstimate;
pub use message::Summary;
pub use message::Update;

/// Number of shards. More shards need more messages, and fewer need longer ones.
pub const SHARDS: u8 = 4;

/// The shard whose host also aggregates the estimates of other regions.
pub const REMOTES_SHARD: u8 = 0;

/// Interval between a VM's updates to the host of each shard.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(160);

/// How long a host counts a VM's last update; up to three may be lost.
pub const UPDATE_TTL: Duration = Duration::from_millis(700);

/// How long a VM uses a summary after it was received.
pub const SUMMARY_TTL: Duration = Duration::from_millis(700);

#[cfg(test)]
mod tests;
