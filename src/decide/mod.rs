//! Scheduling and load management decisions. These modules do no I/O; time and state are passed in.

pub mod admission;
pub mod engine;
pub mod feedback;
pub mod freshness;
pub mod held;
mod history;
pub mod limit;
pub mod order;
pub mod place;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod retry;
pub mod room;
pub mod route;
pub mod sharing;
pub mod spill;
pub mod turns;
