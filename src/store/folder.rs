//! A folder on disk, locked by one process at a time.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use super::Disk;
use super::Error;

const LOCK: &str = "lock";

/// A locked folder. Clones share the lock, which is released when the last of them is dropped or
/// the process ends.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: Arc<File>,
    /// The most recently written file, kept open to avoid reopening it for each write.
    open: Option<(String, File)>,
}

impl Folder {
    /// Creates the folder if necessary and locks it.
    ///
    /// Without the lock, two processes started on one folder would append to one log and vote under
    /// one identity. The lock belongs to the open file, so the system releases it even after a
    /// kill.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let describe = |source| Error::Folder { path: path.to_path_buf(), source };
        fs::create_dir_all(path).map_err(describe)?;
        let lock =
            OpenOptions::new().create(true).append(true).open(path.join(LOCK)).map_err(describe)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_path_buf(), lock: Arc::new(lock), open: None }),
            Err(TryLockError::WouldBlock) => Err(Error::Locked { path: path.to_path_buf() }),
            Err(TryLockError::Error(source)) => Err(describe(source)),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let kept = self.open.take().filter(|(open, _)| open == name);
        let open = match kept {
            Some(open) => open,
            None => {
                let file =
                    OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
                (name.to_string(), file)
            }
        };
        Ok(&mut self.open.insert(open).1)
    }
}

impl Clone for Folder {
    fn clone(&self) -> Self {
        Self { path: self.path.clone(), lock: Arc::clone(&self.lock), open: None }
    }
}

impl Disk for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
