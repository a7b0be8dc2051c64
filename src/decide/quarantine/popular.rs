//! Counts how often requests were answered recently, in bounded memory.

use std::time::Duration;

use tokio::time::Instant;

/// The time after which counts are dropped, between one and two windows.
const WINDOW: Duration = Duration::from_secs(30);

/// Counters of each row. Two requests that share all their counters are counted together.
const COUNTERS: usize = 4_096;
const ROWS: usize = 2;

/// A count-min sketch of two windows.
#[derive(Debug)]
pub struct Popular {
    current: Vec<u16>,
    previous: Vec<u16>,
    began: Option<Instant>,
}

impl Default for Popular {
    fn default() -> Self {
        let empty = vec![0; ROWS * COUNTERS];
        Self { current: empty.clone(), previous: empty, began: None }
    }
}

impl Popular {
    /// Counts an answer to a request with that hash.
    pub fn record_answer(&mut self, hash: u64, now: Instant) {
        self.turn(now);
        for index in indices(hash) {
            self.current[index] = self.current[index].saturating_add(1);
        }
    }

    /// How often a request was answered recently, or more often.
    pub fn answers(&mut self, hash: u64, now: Instant) -> u32 {
        self.turn(now);
        let count = |index: usize| u32::from(self.current[index]) + u32::from(self.previous[index]);
        indices(hash).into_iter().map(count).min().unwrap_or(0)
    }

    fn turn(&mut self, now: Instant) {
        let began = *self.began.get_or_insert(now);
        let age = now.saturating_duration_since(began);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        if age >= WINDOW * 2 {
            self.previous.fill(0);
        }
        self.began = Some(now);
    }
}

fn indices(hash: u64) -> [usize; ROWS] {
    let (low, high) = (hash as u32 as usize, (hash >> 32) as usize);
    [low % COUNTERS, COUNTERS + high % COUNTERS]
}
