//! masticstream is a multi-region inference gateway: every process between callers and upstreams.
//!
//! A request enters at an entry VM, is decided on ([`decide`]), runs on an upstream and is answered once.

pub mod capacity;
pub mod catalogue;
pub mod cli;
pub mod clock;
pub mod consensus;
pub mod control;
pub mod cutoff;
pub mod decide;
pub mod directory;
pub mod dump;
pub mod entry;
#[cfg(test)]
mod fuzz;
pub mod gateway;
#[cfg(test)]
mod golden;
pub mod group;
pub mod http;
pub mod id;
pub mod ledger;
pub mod load;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod panics;
pub mod roster;
pub mod routing;
pub mod settings;
pub mod signal;
pub mod store;
pub mod supervisor;
pub mod sync;
pub mod unit;
pub mod upstream;
pub mod wire;
