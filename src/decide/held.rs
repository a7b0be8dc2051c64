//! Index of the prompt parts that each engine of the region has in its cache.
//!
//! **Load pattern.** Engines keep some twenty shared parts of prompts and evict them within seconds: the least recently
//! used go first, and running requests take memory from the cache.
//!
//! **Without it.** An estimate from the prompts that were sent assumes a fixed cache size. More than half of the prompt
//! tokens that are read were read before by the same engine or by another one of the region.
//!
//! **Decision.** One VM of the region, found by rendezvous hashing ([`asker`]), reads the events of an engine into an
//! [`Index`]. Its [`Publisher`] tells the other VMs the differences with epoch and position, and their [`View`] answers how
//! much of a prompt an engine holds. Whatever is incomplete is in doubt and not used; placement then falls back to its own
//! estimate. Alternatives are compared in `docs/design/held-prompts.md`.

mod asker;
mod chain;
mod change;
mod index;
mod publisher;
mod relay;
mod view;

use std::time::Duration;

use crate::unit::Tokens;

pub use asker::MAX_ASKED;
pub use asker::asked;
pub use asker::asker;
pub use chain::Chain;
pub use change::Change;
pub use change::Exchange;
pub use index::Applied;
pub use index::Event;
pub use index::Events;
pub use index::Index;
pub use index::Listing;
pub use publisher::Publisher;
pub use relay::Relay;
pub use view::Held;
pub use view::View;

/// Shorter parts are not told to other VMs: reading them again costs less than the usual differences between engines.
pub const MIN_PART_TOKENS: Tokens = Tokens::new(1_000);

/// The parts of one engine that are kept at most. An engine with 330,000 tokens of memory holds no more than as many parts
/// of 1,000 tokens.
const MAX_PARTS: usize = 512;

/// The engines that are kept at most.
const MAX_ENGINES: usize = 512;

/// How long an index is used after the last message about the engine. Two of three messages may be lost.
pub const INDEX_TTL: Duration = Duration::from_secs(6);

#[cfg(test)]
mod tests;
