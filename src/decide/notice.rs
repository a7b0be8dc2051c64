//! When to log a condition that lasts.
//!
//! One that ends soon is not worth a line; one that lasts is logged again and again, so that a log that is cut short
//! still holds a recent line.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// A condition, logged once it has lasted for a while and at intervals from then on.
#[derive(Debug)]
pub struct Lasting {
    after: Duration,
    every: Duration,
    since: Option<Instant>,
    logged: Option<Instant>,
}

/// What is to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// It has lasted that long.
    Lasts(Duration),
    /// It is over, after having been logged.
    Over,
}

impl Lasting {
    /// A condition that doesn't hold.
    pub const fn new(after: Duration, every: Duration) -> Self {
        Self { after, every, since: None, logged: None }
    }

    /// Notes whether the condition holds, and returns what is to be logged.
    pub fn observe(&mut self, holds: bool, now: Instant) -> Option<Notice> {
        if !holds {
            self.since = None;
            return self.logged.take().map(|_| Notice::Over);
        }
        self.since.get_or_insert(now);
        let lasted = self.lasted(now);
        let is_due = self.logged.is_none_or(|at| now.saturating_duration_since(at) >= self.every);
        if lasted < self.after || !is_due {
            return None;
        }
        self.logged = Some(now);
        Some(Notice::Lasts(lasted))
    }

    /// How long the condition has held; zero if it doesn't.
    pub fn lasted(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Causes that come back in quick series; each is logged when it comes up, and again once it has been away.
#[derive(Debug)]
pub struct Causes<T> {
    away: Duration,
    seen: BTreeMap<T, Instant>,
}

impl<T: Ord> Causes<T> {
    /// None yet; one that was not seen for that long counts as new.
    pub const fn new(away: Duration) -> Self {
        Self { away, seen: BTreeMap::new() }
    }

    /// Notes a cause, and returns whether it is new.
    pub fn observe(&mut self, cause: T, now: Instant) -> bool {
        self.seen.retain(|_, seen| now.saturating_duration_since(*seen) < self.away);
        self.seen.insert(cause, now).is_none()
    }
}

#[cfg(test)]
mod tests;
