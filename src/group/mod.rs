//! Running one replica of a group: its protocol, its files and its state machine, as one task.
//!
//! [`Group`] is the handle that daemons hold; [`Driver`] is the task. Commands that wait share one entry and one
//! sync (group commit), and files are written on a blocking thread, so that heartbeats never wait for a disk.

mod batch;
mod carry;
mod config;
mod driver;
mod errors;
mod fetch;
mod fetches;
mod files;
mod machine;
mod message;
mod meter;
mod refusals;
mod request;
mod serve;
mod snapshot;
mod status;

pub use config::Config;
pub use driver::Driver;
pub use errors::Error;
pub use errors::Stopped;
pub use fetches::Fetched;
pub use fetches::Fetches;
pub use fetches::Stage;
pub use machine::Machine;
pub use message::Chunk;
pub use message::Message;
pub use meter::Reading;
pub use refusals::Refusals;
pub use request::Group;
pub use status::SlowWrites;
pub use status::Status;

#[cfg(test)]
pub(crate) mod tests;
