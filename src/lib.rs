//! masticstream is a multi-region inference gateway: every process between callers and upstreams.
//!
//! A request enters at an entry VM, is decided on ([`decide`]), runs on an upstream and is answered once.

pub mod catalogue;
pub mod consensus;
pub mod decide;
#[cfg(test)]
mod fuzz;
pub mod group;
pub mod id;
pub mod ledger;
pub mod store;
pub mod unit;
