//! Room at upstreams that crash if they have to refuse many requests.
//!
//! **Load pattern.** An upstream states how many requests a second it can refuse. Its slots fill up, few requests may wait
//! there, and forty VMs that see it with a fifth of a second's delay go on to send what it had room for.
//!
//! **Without it.** Each upstream refuses a burst and crashes. It returns empty, all VMs turn to it, and it crashes again.
//! If the VMs slow down to the stated rate of refusals instead, they leave most of its slots unused.
//!
//! **Decision.** No request is sent for which there may be no room. VMs of a region have at most as many requests at such
//! an upstream as it has slots. The host of its [shard](super::sharing) counts them: a VM [claims](Claim) what it has
//! there and wants besides, and the host [grants](Grant) how many it may have. With each claim a VM gives up what it does
//! not use, so that a claim or grant that is lost leaves room unused at worst. VMs claim at once while requests wait for
//! room, and otherwise with their regular updates. An upstream that has just started is taken for one if others of its
//! service are.
//!
//! VMs of a slice, which do not know the others, count an equal part of the slots. Without a host, each VM keeps to its own
//! part, and beyond it takes [turns](super::turns) at half of the stated refusals. A VM that has just started does not know of
//! any limit: until it has had an answer, it keeps to its part, or to one request where it has none.

mod allowance;
mod bound;
mod claim;
mod holding;
mod waiters;

pub use allowance::Allowance;
pub use bound::Bound;
pub use claim::Claim;
pub use claim::Grant;
pub use holding::Holding;
pub use waiters::Position;
pub use waiters::Waiters;

#[cfg(test)]
mod tests;
