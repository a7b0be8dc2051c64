//! Persistent state of one replica: a segmented log and the latest snapshot, in one folder.
//!
//! Writes are acknowledged only after the file, and for a new name its folder, was synced. A log
//! tail torn by a crash is truncated; any other corruption is reported with its location and never
//! repaired. After a failed write or sync the store accepts nothing more, because the page cache
//! may differ from the disk.

pub mod cache;
mod disk;
mod errors;
mod folder;
mod frame;
mod identity;
mod log;
mod memory;
mod record;
mod replay;
mod scan;
mod segment;
mod snapshots;
mod storage;

pub use cache::Cache;
pub use disk::Disk;
pub use errors::Corruption;
pub use errors::Error;
pub use folder::Folder;
pub use log::Log;
pub use memory::Memory;
pub use snapshots::Snapshots;
pub use storage::Storage;

#[cfg(test)]
pub(crate) mod tests;
