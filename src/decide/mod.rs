//! Decisions under load. No module here touches the network: time and state are passed in.

pub mod admission;
pub mod limit;
pub mod quarantine;
pub mod queue;
