//! Requests under a key that are in progress on this VM, so that a resend joins instead of running again.

use std::collections::HashMap;
use std::sync::Arc;

use crate::entry::transcript::Reader;
use crate::entry::transcript::Writer;
use crate::http::memory::Budget;
use crate::id;
use crate::ledger::Digest;
use crate::sync::Mutex;

/// Whose key, and which.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Name {
    /// The owner.
    pub owner: id::Owner,
    /// The key.
    pub key: id::Key,
}

#[derive(Debug)]
struct Run {
    digest: Digest,
    writer: Arc<Writer>,
}

/// The requests under a key that are in progress.
#[derive(Debug)]
pub struct Running {
    memory: Budget,
    runs: Mutex<HashMap<Name, Run>>,
}

/// What became of a request that wants to run under a key.
#[derive(Debug)]
pub enum Entrance {
    /// It is the first: it runs.
    First(Arc<Writer>),
    /// The same request is in progress: its answer is read.
    Joined(Reader),
    /// Another request is in progress under the key.
    Mismatch,
}

impl Running {
    /// None yet; their answers take up memory of that budget.
    pub fn new(memory: Budget) -> Self {
        Self { memory, runs: Mutex::default() }
    }

    /// Enters a request; the first must be followed by [`Self::leave`].
    pub fn enter(&self, name: &Name, digest: Digest) -> Entrance {
        let mut runs = self.runs.lock();
        match runs.get(name) {
            Some(run) if run.digest == digest => Entrance::Joined(run.writer.reader()),
            Some(_) => Entrance::Mismatch,
            None => {
                let writer = Arc::new(Writer::new(self.memory.reservation()));
                runs.insert(name.clone(), Run { digest, writer: writer.clone() });
                Entrance::First(writer)
            }
        }
    }

    /// Joins a request that is in progress, where there is one.
    pub fn join(&self, name: &Name, digest: Digest) -> Option<Reader> {
        let runs = self.runs.lock();
        let run = runs.get(name).filter(|run| run.digest == digest)?;
        Some(run.writer.reader())
    }

    /// Removes a request that has ended.
    pub fn leave(&self, name: &Name) {
        self.runs.lock().remove(name);
    }

    /// How many are in progress.
    pub fn len(&self) -> usize {
        self.runs.lock().len()
    }

    /// Whether none is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
