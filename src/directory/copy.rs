//! The routing state as it was last in force here, kept beside the replica.
//!
//! Load pattern: all processes end at the same moment and come back. Which entries of a replica's log are committed is
//! known only once a leader is elected, a second or two later; until then every request would be refused, although the
//! last document in force is on every disk. What is kept here was committed, so it is safe to serve by; a newer state
//! replaces it as soon as there is a leader.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use slog::Logger;
use slog::info;
use slog::warn;
use thiserror::Error;

use crate::routing::state::Replicated;

const NAME: &str = "routing.copy";
const NEW: &str = "routing.copy.new";
/// The checksum that comes before the content, in bytes.
const CHECKSUM: usize = 4;

/// Why there is no copy to serve by.
#[derive(Debug, Error)]
enum Error {
    /// The file can't be read or written.
    #[error("{0}")]
    File(#[from] io::Error),
    /// A loss of power left a part of it.
    #[error("it is damaged")]
    Damaged,
}

/// The place of the copy.
#[derive(Debug, Clone)]
pub struct Copy {
    folder: PathBuf,
}

impl Copy {
    /// A copy in that folder.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.to_path_buf() }
    }

    /// The state that was kept; none where there is none or it can't be read.
    pub fn load(&self, log: &Logger) -> Option<Replicated> {
        match self.read() {
            Ok(state) => Some(state),
            Err(Error::File(error)) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                info!(log, "routing.copy_unusable"; "why" => %error);
                None
            }
        }
    }

    /// Keeps a state. A failure is logged and costs nothing but a slower start.
    pub fn save(&self, state: &Replicated, log: &Logger) {
        if let Err(error) = self.write(state) {
            warn!(log, "routing.copy_not_written"; "why" => %error);
        }
    }

    fn read(&self) -> Result<Replicated, Error> {
        let bytes = fs::read(self.folder.join(NAME))?;
        let (checksum, content) = bytes.split_at_checked(CHECKSUM).ok_or(Error::Damaged)?;
        if checksum != crc32fast::hash(content).to_le_bytes() {
            return Err(Error::Damaged);
        }
        ciborium::from_reader(content).map_err(|_| Error::Damaged)
    }

    /// Writes the whole file under another name first, so that a crash leaves the old one or the new one.
    fn write(&self, state: &Replicated) -> Result<(), Error> {
        let mut content = Vec::new();
        ciborium::into_writer(state, &mut content)
            .map_err(|error| io::Error::other(error.to_string()))?;
        fs::create_dir_all(&self.folder)?;
        let new = self.folder.join(NEW);
        let mut file = File::create(&new)?;
        file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
        file.write_all(&content)?;
        file.sync_data()?;
        fs::rename(&new, self.folder.join(NAME))?;
        // A loss of power may undo a rename whose folder was not synced, and with it the whole copy.
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
