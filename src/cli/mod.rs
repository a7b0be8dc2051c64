//! The operators' command line, and what the daemons' command lines share.

pub mod arguments;
pub mod command;
pub mod errors;
pub mod explain;
pub mod operator;

pub use arguments::Daemon;
pub use command::Command;
pub use errors::Error;
