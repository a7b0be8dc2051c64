//! The entry daemon: takes requests, decides, runs them on upstreams and answers each once.

pub mod abandon;
pub mod charged;
pub mod claim;
pub mod daemon;
pub mod digest;
pub mod dispatch;
pub mod fleet;
pub mod hub;
pub mod job;
pub mod loads;
pub mod peers;
pub mod quota;
pub mod run;
pub mod running;
pub mod stage;
pub mod transcript;

pub use daemon::Daemon;
pub use dispatch::Dispatch;
pub use dispatch::Grant;
pub use fleet::Fleet;
pub use hub::Hub;
pub use job::Job;
