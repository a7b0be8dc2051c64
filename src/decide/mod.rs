//! Scheduling and load management decisions. These modules do no I/O; time and state are passed in.

pub mod admission;
pub mod engine;
pub mod feedback;
pub mod freshness;
mod history;
pub mod limit;
pub mod notice;
pub mod order;
pub mod pace;
pub mod place;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod retry;
pub mod room;
pub mod route;
pub mod sharing;
pub mod shortage;
pub mod spill;
pub mod turns;
