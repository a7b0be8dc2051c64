//! Decisions under load. No module here touches the network: time and state are passed in.

pub mod admission;
pub mod queue;
pub mod retry;
pub mod route;
