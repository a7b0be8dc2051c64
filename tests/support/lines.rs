//! The log lines of one daemon, kept in memory.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::o;

/// What a daemon has logged.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// A logger of all levels that writes here.
    pub fn logger(&self) -> Logger {
        let lines = slog_term::PlainSyncDecorator::new(self.clone());
        Logger::root(slog_term::FullFormat::new(lines).build().fuse(), o!())
    }

    /// All lines so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("whole")).into_owned()
    }
}

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("whole").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
