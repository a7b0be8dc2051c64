//! How much an owner may ask for through one entry, true for the whole system.
//!
//! **Load pattern.** One owner, or one entry of an owner, asks for many times its part, through whichever VMs it likes.
//!
//! **Without it.** With the whole limit on each VM an owner gets as many times its limit as there are VMs; with an even
//! part on each, an owner whose callers all use one VM gets an eighth of what it is due.
//!
//! **Decision.** One VM, chosen by rendezvous hash, is the entry's [`Home`]. The others lease an [`Allowance`] from it,
//! in proportion to what they need, spend it without asking, and ask for more before it runs out. While the
//! home can't be reached a VM falls back to a floor that is never leased out, and after some seconds to its even part. The
//! sum stays within the limit, but for VMs that are parted from a living home: these must go on serving, and
//! exceed it by their even parts at most.

use std::time::Duration;

mod allowance;
mod bucket;
mod home;
mod message;
mod rendezvous;

pub use allowance::Allowance;
pub use allowance::Charge;
pub use allowance::Refusal;
pub use home::Home;
pub use message::Demand;
pub use message::Grant;
pub use rendezvous::home;

/// How often a VM tells an entry's home what it needs.
///
/// Derived: the shift of an owner's callers from one VM to another is followed within two of them; at
/// 8,900 owners, of which a VM serves a few dozen at a time, it costs a VM a few kilobytes a second.
pub const RENEWAL: Duration = Duration::from_secs(1);

/// How long a grant is valid. Three renewals: two lost messages in a row change nothing.
pub const TTL: Duration = Duration::from_secs(3);

/// How far the clocks of two VMs may drift apart: a home holds a grant against the limit for so much longer than
/// its holder may use it. Derived: 500 parts per million, the usual bound, and room for coarse timers.
pub const DRIFT: Duration = Duration::from_millis(50);

/// How much of a rate may be spent at once, as the time that it takes to earn it.
pub const BURST: Duration = Duration::from_secs(2);

#[cfg(test)]
mod tests;
