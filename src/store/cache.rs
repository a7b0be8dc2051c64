//! Local caches of a control VM, stored beside the replica.
//!
//! After a restart of all processes, committed log entries are unknown until a leader is elected,
//! and upstreams check in only about once a second. The cache allows requests to be served in the
//! meantime. This is safe: the cached document was committed, and each request names its intended
//! upstream, so that an upstream that has taken over an address rejects it. Newer data replaces the
//! cached data.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::marker::PhantomData;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use slog::info;
use slog::warn;
use thiserror::Error;

/// File name of the routing state.
pub const ROUTING_FILE: &str = "routing.copy";
/// File name of the upstreams.
pub const ROSTER_FILE: &str = "roster.copy";
/// File name of the report on crashes.
pub const CRASHES_FILE: &str = "crashes.copy";
/// File name of the VMs of replicas.
pub const ROUTES_FILE: &str = "routes.copy";
/// Length of the checksum that precedes the content.
const CHECKSUM_BYTES: usize = 4;

/// Reasons why a cache file can't be used.
#[derive(Debug, Error)]
enum Error {
    /// The file can't be read or written.
    #[error("{0}")]
    File(#[from] io::Error),
    /// The file is truncated, or its checksum or encoding is invalid.
    #[error("the file is corrupt")]
    Corrupt,
}

/// A cache file that holds a `T`.
#[derive(Debug, Clone)]
pub struct Cache<T> {
    folder: PathBuf,
    name: &'static str,
    marker: PhantomData<fn() -> T>,
}

impl<T: Serialize + DeserializeOwned> Cache<T> {
    /// Creates a cache with the given folder and file name.
    pub fn new(folder: &Path, name: &'static str) -> Self {
        Self { folder: folder.to_path_buf(), name, marker: PhantomData }
    }

    /// Loads the value; none if the file is missing or unusable.
    pub fn load(&self, log: &Logger) -> Option<T> {
        match self.read() {
            Ok(value) => Some(value),
            Err(Error::File(error)) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                info!(log, "copy.unusable"; "file" => self.name, "why" => %error);
                None
            }
        }
    }

    /// Saves the value. Failures are only logged, since the cache merely shortens the start.
    pub fn save(&self, value: &T, log: &Logger) {
        if let Err(error) = self.write(value) {
            warn!(log, "copy.not_written"; "file" => self.name, "why" => %error);
        }
    }

    fn read(&self) -> Result<T, Error> {
        let bytes = fs::read(self.folder.join(self.name))?;
        let (checksum, content) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(Error::Corrupt)?;
        if checksum != crc32fast::hash(content).to_le_bytes() {
            return Err(Error::Corrupt);
        }
        ciborium::from_reader(content).map_err(|_| Error::Corrupt)
    }

    /// Writes to a temporary file and renames it, so that a crash leaves either the old or the new
    /// file.
    fn write(&self, value: &T) -> Result<(), Error> {
        let mut content = Vec::new();
        ciborium::into_writer(value, &mut content)
            .map_err(|error| io::Error::other(error.to_string()))?;
        fs::create_dir_all(&self.folder)?;
        let temporary = self.folder.join(format!("{}.new", self.name));
        let mut file = File::create(&temporary)?;
        file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
        file.write_all(&content)?;
        file.sync_data()?;
        fs::rename(&temporary, self.folder.join(self.name))?;
        // Without syncing the folder, a power failure could undo the rename.
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
