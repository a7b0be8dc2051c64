//! A mutex for state that all of a process depends on.

use std::sync;
use std::sync::MutexGuard;

use crate::panics;

/// A mutex that ends the process if a thread panicked while it held the lock.
///
/// Guards against a process that counts as running but fails every request: each later use of the state would panic
/// too.
#[derive(Debug, Default)]
pub struct Mutex<T>(sync::Mutex<T>);

impl<T> Mutex<T> {
    /// Creates an unlocked mutex.
    pub const fn new(value: T) -> Self {
        Self(sync::Mutex::new(value))
    }

    /// Locks the mutex.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0
            .lock()
            .unwrap_or_else(|_| panics::end_process("a thread panicked while it held a lock"))
    }
}

#[cfg(test)]
mod tests;
