//! The control daemon of a fleet that finds itself: it holds a replica of the routing group, knows who is there, and
//! tells callers where to connect.
//!
//! What must survive (the document in force, evacuated data centres) goes through the group. Who is there does not:
//! each control VM keeps a [`crate::roster::Table`] of what it hears, and passes on to the others what it heard itself.
//! So a region that is cut off goes on with the upstreams and VMs that it still hears.

pub mod copy;
pub mod daemon;
pub mod flood;
pub mod links;
pub mod lookup;
pub mod metrics;
mod operate;
pub mod plan;
pub mod prove;
pub mod service;

pub use daemon::Adapter;
pub use daemon::Daemon;
pub use service::Service;
