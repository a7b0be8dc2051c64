//! The number of this VM's running requests at one target (an upstream or a region) over the last seconds.
//!
//! Load reports of other VMs are delayed. The change of this VM's own requests since a report was made is known exactly
//! and corrects it.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// How long counts are kept; reports are about 5 s old.
const RETENTION: Duration = Duration::from_secs(15);

/// Changes within this time are merged into one entry, which limits a history to 150 entries.
const RESOLUTION: Duration = Duration::from_millis(100);

/// The current and recent numbers of this VM's requests at one target.
#[derive(Debug, Default)]
pub struct History {
    running: u32,
    past: VecDeque<(Instant, u32)>,
}

impl History {
    /// The number of requests running now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.set(self.running.saturating_add(1), now);
    }

    /// Records that a request finished.
    pub fn finished(&mut self, now: Instant) {
        self.set(self.running.saturating_sub(1), now);
    }

    /// The number of requests running at that moment, or 0 if it is before the oldest entry.
    pub fn at(&self, moment: Instant) -> u32 {
        let earlier = self.past.iter().rev().find(|(time, _)| *time <= moment);
        earlier.map_or(0, |&(_, running)| running)
    }

    fn set(&mut self, running: u32, now: Instant) {
        self.running = running;
        match self.past.back_mut() {
            Some((time, last)) if now.saturating_duration_since(*time) < RESOLUTION => {
                *last = running;
            }
            _ => self.past.push_back((now, running)),
        }
        // Keeps one entry older than the retention time: the count at its start.
        while self
            .past
            .get(1)
            .is_some_and(|(time, _)| now.saturating_duration_since(*time) > RETENTION)
        {
            self.past.pop_front();
        }
    }
}
