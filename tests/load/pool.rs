//! Fake upstreams: slots, each of which runs one request for its service time.

use std::time::Duration;

/// A change of an upstream at some time.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    pub at: Duration,
    pub upstream: usize,
    /// How many times longer requests take that start from now on; `None` takes the upstream away.
    pub slowness: Option<f64>,
}

/// The upstreams of one set, filled evenly.
#[derive(Clone, Debug)]
pub struct Pool {
    slots: usize,
    busy: Vec<usize>,
    slowness: Vec<Option<f64>>,
}

impl Pool {
    pub fn new(upstreams: usize, slots: usize) -> Self {
        Self { slots, busy: vec![0; upstreams], slowness: vec![Some(1.0); upstreams] }
    }

    /// The slots of upstreams that are there.
    pub fn slots(&self) -> usize {
        self.slots * self.slowness.iter().flatten().count()
    }

    pub fn turn(&mut self, turn: Turn) {
        self.slowness[turn.upstream] = turn.slowness;
    }

    /// Occupies a slot of the emptiest upstream; returns the upstream and how much slower it is.
    pub fn start(&mut self) -> Option<(usize, f64)> {
        let present = (0..self.busy.len()).filter(|&index| self.slowness[index].is_some());
        let index = present.min_by_key(|&index| self.busy[index])?;
        if self.busy[index] >= self.slots {
            return None;
        }
        self.busy[index] += 1;
        self.slowness[index].map(|slowness| (index, slowness))
    }

    pub fn finish(&mut self, upstream: usize) {
        self.busy[upstream] -= 1;
    }
}
