//! The log of what ran.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It still runs.
    Running,
    /// The whole answer was handed over.
    Completed,
    /// It was cancelled, or broke off.
    Cut,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt's id, as the request named it.
    pub attempt: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// The prompt's digest.
    pub prompt: String,
    /// The scheduling priority.
    pub priority: u8,
    /// How it ended.
    pub outcome: Outcome,
}

/// All runs since the start, also over crashes.
#[derive(Debug, Default)]
pub(crate) struct Log(Mutex<Vec<Run>>);

impl Log {
    pub(crate) fn begin(self: &Arc<Self>, run: Run) -> Guard {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        Guard { log: Arc::clone(self), index: runs.len() - 1 }
    }

    pub(crate) fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn end(&self, index: usize, outcome: Outcome) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if runs[index].outcome == Outcome::Running {
            runs[index].outcome = outcome;
        }
    }
}

/// A run that is cut unless it is completed: whoever goes away drops it.
#[derive(Debug)]
pub(crate) struct Guard {
    log: Arc<Log>,
    index: usize,
}

impl Guard {
    pub(crate) fn complete(&self) {
        self.log.end(self.index, Outcome::Completed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.log.end(self.index, Outcome::Cut);
    }
}
