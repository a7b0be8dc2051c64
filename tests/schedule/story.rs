//! What happened, line by line.

use std::sync::Mutex;

use tokio::time::Instant;

/// The lines of one seed.
#[derive(Debug)]
pub struct Story {
    begun: Instant,
    lines: Mutex<Vec<(String, String)>>,
}

impl Story {
    /// An empty one.
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Mutex::default() }
    }

    /// Notes something about a request, or about the site.
    pub fn note(&self, about: &str, what: &str) {
        let line = format!("{:>6} ms {about}: {what}", self.begun.elapsed().as_millis());
        self.lines.lock().expect("no panic").push((about.to_owned(), line));
    }

    /// All lines.
    pub fn all(&self) -> String {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().map(|(_, line)| line.as_str()).collect::<Vec<_>>().join("\n")
    }

    /// The lines about a request and about the site.
    pub fn about(&self, name: &str) -> String {
        let lines = self.lines.lock().expect("no panic");
        let told = lines.iter().filter(|(about, _)| about == name || about == "site");
        told.map(|(_, line)| line.as_str()).collect::<Vec<_>>().join("\n")
    }
}
