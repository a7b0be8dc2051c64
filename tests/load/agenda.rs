//! Events in the order of their time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::time::Instant;

/// Events to come, the earliest first, and those of the same instant in the order in which they were added.
pub struct Agenda<E> {
    start: Instant,
    now: Instant,
    seq: u64,
    heap: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    events: Vec<Option<E>>,
    vacant: Vec<usize>,
}

impl<E> Agenda<E> {
    pub fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            seq: 0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            vacant: Vec::new(),
        }
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    /// The virtual time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    pub fn at(&mut self, instant: Instant, event: E) {
        let index = self.vacant.pop().unwrap_or(self.events.len());
        if index == self.events.len() {
            self.events.push(None);
        }
        self.events[index] = Some(event);
        self.seq += 1;
        self.heap.push(Reverse((instant.max(self.now), self.seq, index)));
    }

    pub fn after(&mut self, delay: Duration, event: E) {
        self.at(self.now + delay, event);
    }

    /// The next event; the clock moves to it.
    pub fn next(&mut self) -> Option<E> {
        let Reverse((instant, _, index)) = self.heap.pop()?;
        self.now = instant;
        self.vacant.push(index);
        self.events[index].take()
    }
}
