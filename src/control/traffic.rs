//! What becomes of the messages between replicas on their way between links and driver.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters of one seat.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) received: Count,
    pub(super) full: Count,
    pub(super) misdirected: Count,
    pub(super) passed_on: Count,
    pub(super) unrouted: Count,
}

/// A counter of messages.
#[derive(Debug, Default)]
pub(super) struct Count(AtomicU64);

/// Messages of one seat since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Received for its replica.
    pub received: u64,
    /// Received and dropped, since too many waited.
    pub full: u64,
    /// Received for another replica than its own, such as the one before its disk was lost.
    pub misdirected: u64,
    /// Passed on to the links.
    pub passed_on: u64,
    /// Dropped since the VM of the replica that they are for is unknown.
    pub unrouted: u64,
}

impl Count {
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counters {
    pub fn read(&self) -> Traffic {
        Traffic {
            received: self.received.get(),
            full: self.full.get(),
            misdirected: self.misdirected.get(),
            passed_on: self.passed_on.get(),
            unrouted: self.unrouted.get(),
        }
    }
}
