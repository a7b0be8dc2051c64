//! The control daemon: replicas of the catalogue and of the region's ledger.

pub mod daemon;

pub use daemon::Daemon;
