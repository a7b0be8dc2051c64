//! Errors of the store.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::id;
use crate::unit::Index;

/// An error when opening or writing a store.
#[derive(Debug, Error)]
pub enum Error {
    /// The folder can't be created or locked.
    #[error("folder {path}: {source}", path = path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Another process has locked the folder.
    #[error("folder {path}: locked by another process", path = path.display())]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// A read, write or sync failed.
    #[error("{name}: {source}")]
    File {
        /// The file.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The content of a file is corrupt.
    #[error(
        "{name}, byte {offset}: {corruption}; restore the folder, or remove it entirely to rejoin the group"
    )]
    Corrupt {
        /// The file.
        name: String,
        /// The offset in the file.
        offset: u64,
        /// The kind of corruption.
        corruption: Corruption,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown.
    #[error("an earlier write failed; the store accepts no writes until a restart")]
    Poisoned,
}

/// Kinds of corruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Corruption {
    /// A checksum doesn't match, and the frame is not a torn tail of the log.
    #[error("invalid frame or checksum")]
    Checksum,
    /// The file was written in a format unknown to this version.
    #[error("unknown format {0}")]
    Format(u8),
    /// The checksum matches, but the content can't be decoded.
    #[error("content can't be decoded")]
    Encoding,
    /// The file belongs to another replica.
    #[error("file belongs to replica {0}")]
    WrongReplica(id::Replica),
    /// A required file is missing.
    #[error("file is missing")]
    Missing,
    /// Entries are missing before this one.
    #[error("entries before index {0} are missing")]
    Gap(Index),
    /// The log starts after a snapshot that doesn't exist.
    #[error("the snapshot at index {0} that the log follows is missing")]
    SnapshotMissing(Index),
}

impl Error {
    pub(super) fn corrupt(name: &str, offset: usize, corruption: Corruption) -> Self {
        Self::Corrupt { name: name.to_string(), offset: offset as u64, corruption }
    }

    pub(super) fn file(name: &str) -> impl Fn(io::Error) -> Self + '_ {
        |source| Self::File { name: name.to_string(), source }
    }
}
