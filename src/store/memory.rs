//! In-memory storage for VMs without a disk.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::Disk;

/// Files in memory. They are lost with the process, so each start gets a new identity.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<BTreeMap<String, Vec<u8>>>>);

impl Memory {
    fn files(&self) -> MutexGuard<'_, BTreeMap<String, Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk for Memory {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files().keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files().get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files().entry(name.to_string()).or_default().extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, _name: &str) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files();
        let bytes = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.to_string(), bytes);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files().remove(name).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}
