//! The control daemon: holds a replica of the routing group, tracks membership and answers
//! directory lookups.
//!
//! Durable state (the document in force and evacuated data centres) is replicated by the group.
//! Membership is not: each control VM keeps a [`crate::roster::Table`] and broadcasts the
//! statements that it received directly. A region that is cut off therefore keeps working with the
//! upstreams and VMs that it can still reach.

mod batching;
pub mod broadcast;
pub mod daemon;
pub mod links;
pub mod lookup;
pub mod metrics;
mod operate;
pub mod plan;
pub mod prove;
pub mod service;
pub mod tasks;
mod wakeups;

pub use daemon::Adapter;
pub use daemon::Daemon;
pub use service::Service;
