//! Distributed rate limits per owner and entry.
//!
//! **Load pattern.** One owner, or one of its entries, sends many times its limit through any of
//! the VMs.
//!
//! **Without it.** If each VM enforces the whole limit, an owner gets it once per VM; if each
//! enforces an equal share, an owner whose callers all use one VM gets a fraction of its limit.
//!
//! **Decision.** One VM, selected by rendezvous hashing, is the entry's [`Coordinator`]. The others
//! lease an [`Allowance`] in proportion to their demand, spend it locally and renew it before it
//! expires. While the coordinator is unreachable, a VM falls back to a base share that is never
//! leased out, and after some seconds to its equal share. The sum stays within the limit, except
//! for VMs that are partitioned from a live coordinator: these keep serving and exceed it by at
//! most their equal shares.

use std::time::Duration;

mod allowance;
mod bucket;
mod coordinator;
mod message;
mod rendezvous;

pub use allowance::Allowance;
pub use allowance::Charge;
pub use allowance::Refusal;
pub use coordinator::Coordinator;
pub use message::Demand;
pub use message::Grant;
pub use rendezvous::coordinator;

/// Interval between a VM's demands to the coordinator. A shift of an owner's callers from one VM to
/// another is followed within two intervals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Validity of a grant: three renewals, so that two consecutive lost messages do no harm.
pub const GRANT_TTL: Duration = Duration::from_secs(3);

/// Bound on the clock drift between two VMs over a grant. The coordinator counts a grant as held
/// for this much longer than its holder may use it. It covers 500 parts per million, the usual
/// bound, and coarse timers.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(50);

/// Bucket size, as the time needed to fill it.
pub const BURST_TIME: Duration = Duration::from_secs(2);

#[cfg(test)]
mod tests;
