//! The file system operations that the store needs, as a trait so that tests can inject faults.

use std::io;

/// The files of one folder.
///
/// A file's bytes are durable once [`sync`](Self::sync) returned; a created, renamed or removed
/// name is durable once [`sync_folder`](Self::sync_folder) returned.
pub trait Disk: Clone + Send + 'static {
    /// Lists the names of all files.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Reads a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, creating it if necessary.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Waits until a file's bytes are durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Waits until the folder's names are durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
