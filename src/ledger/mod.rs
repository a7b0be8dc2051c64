//! At-most-once records of a region: which key ran, where, and what came of it.
//!
//! A request that may not repeat is claimed here, by a committed [`Start`], before its first byte leaves for an
//! upstream. [`Ledger`] is the deterministic state machine that a region's ledger group runs.

mod answer;
mod answers;
mod command;
mod digest;
mod keys;
#[expect(clippy::module_inception, reason = "each file is named for the one type that it holds")]
mod ledger;
mod limits;
mod packed;
mod reply;
mod shard;

pub use answer::Answer;
pub use answer::Outcome;
pub use command::Command;
pub use command::Finish;
pub use command::Look;
pub use command::Start;
pub use command::Step;
pub use command::Withdraw;
pub use digest::BYTES as DIGEST_BYTES;
pub use digest::Digest;
pub use ledger::Ledger;
pub use limits::Limits;
pub use reply::Reply;
pub use shard::Shard;
