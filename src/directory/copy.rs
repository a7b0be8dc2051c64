//! What a control VM knew last, kept beside the replica: the routing state in force, and the upstreams.
//!
//! Load pattern: all processes end at the same moment and come back. Which entries of a replica's log are committed is
//! known only once a leader is elected, a second or two later, and upstreams check in once a second or so; until then every
//! request would be refused, although the last document in force and all upstreams stand on every disk. The document that is
//! kept was committed, so it is safe to serve by. An upstream that has gone meanwhile can't run a request by mistake: each one
//! names the upstream that is meant. What is newer replaces what was kept.

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

/// The file of the routing state.
pub const ROUTING: &str = "routing.copy";
/// The file of the upstreams.
pub const ROSTER: &str = "roster.copy";
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

/// The place of a copy of a `T`.
#[derive(Debug, Clone)]
pub struct Copy<T> {
    folder: PathBuf,
    name: &'static str,
    content: PhantomData<fn() -> T>,
}

impl<T: Serialize + DeserializeOwned> Copy<T> {
    /// A copy in that folder, under that name.
    pub fn new(folder: &Path, name: &'static str) -> Self {
        Self { folder: folder.to_path_buf(), name, content: PhantomData }
    }

    /// What was kept; none where there is none or it can't be read.
    pub fn load(&self, log: &Logger) -> Option<T> {
        match self.read() {
            Ok(content) => Some(content),
            Err(Error::File(error)) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                info!(log, "copy.unusable"; "file" => self.name, "why" => %error);
                None
            }
        }
    }

    /// Keeps it. A failure is logged and costs nothing but a slower start.
    pub fn save(&self, content: &T, log: &Logger) {
        if let Err(error) = self.write(content) {
            warn!(log, "copy.not_written"; "file" => self.name, "why" => %error);
        }
    }

    fn read(&self) -> Result<T, Error> {
        let bytes = fs::read(self.folder.join(self.name))?;
        let (checksum, content) = bytes.split_at_checked(CHECKSUM).ok_or(Error::Damaged)?;
        if checksum != crc32fast::hash(content).to_le_bytes() {
            return Err(Error::Damaged);
        }
        ciborium::from_reader(content).map_err(|_| Error::Damaged)
    }

    /// Writes the whole file under another name first, so that a crash leaves the old one or the new one.
    fn write(&self, kept: &T) -> Result<(), Error> {
        let mut content = Vec::new();
        ciborium::into_writer(kept, &mut content)
            .map_err(|error| io::Error::other(error.to_string()))?;
        fs::create_dir_all(&self.folder)?;
        let new = self.folder.join(format!("{}.new", self.name));
        let mut file = File::create(&new)?;
        file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
        file.write_all(&content)?;
        file.sync_data()?;
        fs::rename(&new, self.folder.join(self.name))?;
        // A loss of power may undo a rename whose folder was not synced, and with it the whole copy.
        File::open(&self.folder)?.sync_all()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
