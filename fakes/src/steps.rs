//! A model engine that batches continuously, in virtual time and without a network.
//!
//! Requests are admitted while there are slots and memory; a step makes one token of each that generates and reads up to a
//! chunk of prompts. A step takes longer the more generate and the more is read. Shared parts stay in memory until others
//! need it, the least recently used one first; where running requests need more than there is, the newest of the least
//! urgent is thrown out and read again.

use std::collections::HashMap;

/// How an engine works. Times are in seconds, sizes in tokens.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Requests that run at once.
    pub slots: usize,
    /// What running requests and shared parts may take together.
    pub memory: u64,
    /// A step in which nothing runs.
    pub base: f64,
    /// What a step takes more for each request that generates.
    pub per_request: f64,
    /// What it takes more for each token that is read.
    pub per_token: f64,
    /// The tokens that are read in a step at most.
    pub chunk: u64,
    /// Tokens that an event of a stream holds.
    pub event: u32,
}

/// A request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Names it.
    pub id: u64,
    /// The part of its prompt that others have too: its name and its length.
    pub shared: Option<(u64, u64)>,
    /// The rest of the prompt.
    pub own: u64,
    /// The tokens that it generates.
    pub output: u32,
    /// Its rank; 0 goes first.
    pub rank: u8,
}

/// What its caller sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shown {
    /// An event of its stream.
    Event,
    /// The last one.
    End,
}

#[derive(Debug)]
struct Run {
    ask: Ask,
    to_read: u64,
    made: u32,
    order: u64,
}

impl Run {
    fn memory(&self) -> u64 {
        self.ask.own + u64::from(self.made)
    }
}

/// The engine.
#[derive(Debug)]
pub struct Steps {
    settings: Settings,
    waiting: Vec<Run>,
    running: Vec<Run>,
    /// Shared parts with their lengths, and the step of their last use.
    parts: HashMap<u64, (u64, u64)>,
    /// When the present step ends.
    free: f64,
    /// The factor by which steps take longer than usual.
    pace: f64,
    steps: u64,
    taken: u64,
    /// Tokens of shared parts that were read.
    pub shared_read: u64,
}

impl Steps {
    /// An idle engine with an empty memory.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: Vec::new(),
            parts: HashMap::new(),
            free: 0.0,
            pace: 1.0,
            steps: 0,
            taken: 0,
            shared_read: 0,
        }
    }

    /// A request arrives.
    pub fn take(&mut self, ask: Ask, now: f64) {
        if self.running.is_empty() && self.waiting.is_empty() {
            self.free = self.free.max(now);
        }
        self.taken += 1;
        self.waiting.push(Run { ask, to_read: 0, made: 0, order: self.taken });
    }

    /// Steps take that many times as long from now on.
    pub const fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// A request's caller left.
    pub fn drop(&mut self, id: u64) {
        self.waiting.retain(|run| run.ask.id != id);
        self.running.retain(|run| run.ask.id != id);
    }

    /// The requests that generate, and those that wait or are being read in.
    pub fn load(&self) -> (u32, u32) {
        let generating = self.running.iter().filter(|run| run.to_read == 0).count();
        let rest = self.running.len() + self.waiting.len() - generating;
        (generating as u32, rest as u32)
    }

    /// Goes on until that time; returns what callers saw, and when.
    pub fn run(&mut self, until: f64) -> Vec<(f64, u64, Shown)> {
        let mut shown = Vec::new();
        while self.free <= until && !(self.running.is_empty() && self.waiting.is_empty()) {
            self.admit();
            self.step(&mut shown);
        }
        shown
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|run| (run.ask.rank, run.order));
        while self.running.len() < self.settings.slots && !self.waiting.is_empty() {
            let need = self.waiting[0].memory();
            let used: u64 = self.running.iter().map(Run::memory).sum();
            if used + need > self.settings.memory && !self.running.is_empty() {
                return;
            }
            let mut run = self.waiting.remove(0);
            run.to_read = run.memory() + self.read_shared(run.ask.shared);
            self.running.push(run);
        }
    }

    /// The tokens of a shared part that have to be read; it is in memory then.
    fn read_shared(&mut self, shared: Option<(u64, u64)>) -> u64 {
        let Some((key, tokens)) = shared else { return 0 };
        let missing = if self.parts.contains_key(&key) { 0 } else { tokens };
        self.shared_read += missing;
        self.parts.insert(key, (tokens, self.steps));
        missing
    }

    fn step(&mut self, shown: &mut Vec<(f64, u64, Shown)>) {
        self.steps += 1;
        let generating = self.running.iter().filter(|run| run.to_read == 0).count();
        let mut left = self.settings.chunk;
        for run in &mut self.running {
            let read = run.to_read.min(left);
            left -= read;
            // One that was read whole makes its first token in this step.
            if run.to_read == read {
                run.made += 1;
            }
            run.to_read -= read;
        }
        let read = self.settings.chunk - left;
        let usual = self.settings.base
            + self.settings.per_request * generating as f64
            + self.settings.per_token * read as f64;
        self.free += usual * self.pace;
        for run in self.running.iter().filter(|run| run.to_read == 0 && run.made > 0) {
            if run.made >= run.ask.output {
                shown.push((self.free, run.ask.id, Shown::End));
            } else if run.made % self.settings.event == 1 || self.settings.event == 1 {
                shown.push((self.free, run.ask.id, Shown::Event));
            }
        }
        self.running.retain(|run| run.made < run.ask.output);
        self.make_room();
    }

    fn make_room(&mut self) {
        loop {
            let used: u64 = self.running.iter().map(Run::memory).sum();
            let parts: u64 = self.parts.values().map(|(tokens, _)| tokens).sum();
            if used + parts <= self.settings.memory {
                return;
            }
            let oldest = self.parts.iter().min_by_key(|(key, (_, used))| (*used, **key));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.parts.remove(&key);
                continue;
            }
            let newest = (0..self.running.len())
                .max_by_key(|&nth| (self.running[nth].ask.rank, self.running[nth].order));
            match newest {
                Some(nth) if self.running.len() > 1 => {
                    let run = self.running.remove(nth);
                    self.waiting.push(run);
                }
                _ => return,
            }
        }
    }
}
