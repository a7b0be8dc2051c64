//! Parts of prompts on which answers were complete recently.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::Digest;

/// The time after which parts are dropped, between one and two windows.
const WINDOW: Duration = Duration::from_secs(60);

/// The most parts of a window. Further ones count as not answered.
const MAX_PARTS: usize = 8_192;

/// The parts of two windows.
#[derive(Debug, Default)]
pub struct Answered {
    current: HashSet<Digest>,
    previous: HashSet<Digest>,
    began: Option<Instant>,
}

impl Answered {
    /// Records a complete answer.
    pub fn record(&mut self, part: Digest, now: Instant) {
        self.turn(now);
        if self.current.len() < MAX_PARTS {
            self.current.insert(part);
        }
    }

    /// Whether an answer was complete recently.
    pub fn contains(&mut self, part: &Digest, now: Instant) -> bool {
        self.turn(now);
        self.current.contains(part) || self.previous.contains(part)
    }

    fn turn(&mut self, now: Instant) {
        let began = *self.began.get_or_insert(now);
        let age = now.saturating_duration_since(began);
        if age < WINDOW {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= WINDOW * 2 {
            self.previous.clear();
        }
        self.began = Some(now);
    }
}
