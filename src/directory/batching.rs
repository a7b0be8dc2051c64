//! Decides how long changes wait so that several of them reach a follower in one reply.
//!
//! Each change may concern all followers, so the replies that changes cause are limited by making an addition wait
//! longer the more followers there are. Withdrawals are never delayed.

use std::collections::VecDeque;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::sync::Mutex;

/// The interval between replies that additions cause, over all followers.
const REPLY_INTERVAL: Duration = Duration::from_micros(500);
/// The longest wait of an addition.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// The times of recent changes, and the number of followers that wait for some.
#[derive(Debug, Default)]
pub struct Batching {
    /// Revisions with the time at which they became the latest one, oldest first.
    times: Mutex<VecDeque<(u64, Instant)>>,
    followers: AtomicU32,
}

/// Counts a follower as waiting until dropped.
pub struct FollowerGuard<'a>(&'a AtomicU32);

impl Drop for FollowerGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Batching {
    /// Records the latest revision.
    pub fn record(&self, revision: u64, now: Instant) {
        let mut times = self.times.lock();
        if times.back().is_none_or(|(latest, _)| *latest < revision) {
            times.push_back((revision, now));
        }
        while times.front().is_some_and(|(_, at)| now.saturating_duration_since(*at) > MAX_DELAY) {
            times.pop_front();
        }
    }

    /// Counts a follower as waiting until the guard is dropped.
    pub fn track_follower(&self) -> FollowerGuard<'_> {
        self.followers.fetch_add(1, Ordering::Relaxed);
        FollowerGuard(&self.followers)
    }

    /// The number of followers that wait.
    pub fn followers(&self) -> u32 {
        self.followers.load(Ordering::Relaxed)
    }

    /// When a follower whose first missing addition has that revision is to be sent it.
    pub fn due(&self, first: u64) -> Instant {
        let delay = REPLY_INTERVAL * self.followers();
        let times = self.times.lock();
        let at = times.iter().find(|(revision, _)| *revision >= first).map(|(_, at)| *at);
        // A change that is no longer listed has waited longer than any may; one not yet listed is about to be.
        let at = at.filter(|_| times.front().is_some_and(|(oldest, _)| first >= *oldest));
        at.map_or_else(Instant::now, |at| at + delay.min(MAX_DELAY))
    }
}

#[cfg(test)]
mod tests;
