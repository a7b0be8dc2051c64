//! HTTP towards neighbours, by hyper. What names a neighbour's path, header or field stands here alone, one file
//! a neighbour, so that a neighbour's change is a change of one file.

pub mod answer;
pub mod body;
pub mod caller;
pub mod client;
pub mod control;
pub mod engine;
pub mod forward;
mod intake;
pub mod memory;
pub mod operator;
pub mod refusal;
pub mod server;
pub mod socket;
pub mod target;
pub mod upstream;

pub use crate::decide::retry::Ran;
pub use body::Body;
pub use refusal::Reason;
pub use refusal::Refusal;
