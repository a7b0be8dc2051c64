//! Limits how many requests are sent to a service a second time, over a sliding window.
//!
//! When all upstreams of a service fail, repeats from many VMs could double its load. The limit holds for all VMs
//! together without messages between them: each one uses only the repeats that its own requests allow and its part of
//! the fixed minimum.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The fraction of the limit that is used: the VMs' windows aren't aligned, and the number of VMs changes.
const SAFETY_FACTOR: f64 = 0.8;

/// The number of buckets in a window.
const BUCKETS: u32 = 10;

/// The limit for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimit {
    /// Repeats for each first request within a window.
    pub ratio: f64,
    /// Additional repeats within a window, over all VMs.
    pub minimum: f64,
    /// The window.
    pub window: Duration,
}

/// The number of first requests and repeats within a part of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Instant,
    firsts: u32,
    repeats: u32,
}

/// What this VM has sent to a service within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Requests that were sent for the first time.
    pub firsts: u32,
    /// Repeats.
    pub repeats: u32,
}

/// This VM's requests and repeats to one service.
#[derive(Debug)]
pub struct Repeats {
    limit: RepeatLimit,
    buckets: VecDeque<Bucket>,
}

impl Repeats {
    /// Creates an empty record.
    pub fn new(limit: RepeatLimit) -> Self {
        Self { limit, buckets: VecDeque::new() }
    }

    /// Records a request that is sent for the first time.
    pub fn record_first(&mut self, now: Instant) {
        self.bucket(now).firsts += 1;
    }

    /// Whether a request may be repeated, if this many VMs share the limit; records the repeat if so.
    pub fn try_acquire(&mut self, vms: u32, now: Instant) -> bool {
        let Sent { firsts, repeats } = self.sent(now);
        let earned = self.limit.ratio * f64::from(firsts);
        let allowed = SAFETY_FACTOR * (earned + self.limit.minimum / f64::from(vms.max(1)));
        let may = f64::from(repeats + 1) <= allowed;
        if may {
            self.bucket(now).repeats += 1;
        }
        may
    }

    /// What was sent within the window.
    pub fn sent(&mut self, now: Instant) -> Sent {
        self.bucket(now);
        let count = |of: fn(&Bucket) -> u32| self.buckets.iter().map(of).sum();
        Sent { firsts: count(|bucket| bucket.firsts), repeats: count(|bucket| bucket.repeats) }
    }

    /// The current bucket; removes buckets that have left the window.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let length = self.limit.window / BUCKETS;
        let age = |bucket: &Bucket| now.saturating_duration_since(bucket.start);
        while self.buckets.front().is_some_and(|bucket| age(bucket) > self.limit.window) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| age(bucket) >= length) {
            self.buckets.push_back(Bucket { start: now, firsts: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed if there was none")
    }
}
