//! Quarantined requests.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::quarantine::Digest;
use crate::decide::quarantine::HoldRecord;
use crate::decide::quarantine::MAX_TRANSIT;

/// How long a request is quarantined whose crashes other causes could explain.
pub const SHORT: Duration = Duration::from_secs(20);

/// How long a request is quarantined that crashes upstreams beyond doubt. It ends by itself, so that an operator who fixes
/// the upstreams need not lift it.
pub const LONG: Duration = Duration::from_secs(1_800);

/// How long a request that was quarantined is remembered afterwards: its next crash is enough to quarantine it again.
const PROBATION: Duration = Duration::from_secs(4 * 3_600);

/// The most requests that are remembered.
const MAX_HOLDS: usize = 1_024;

#[derive(Debug)]
struct Hold {
    since: Instant,
    until: Instant,
    crashes: u32,
}

/// The requests that are or were quarantined.
#[derive(Debug, Default)]
pub struct Holds(HashMap<Digest, Hold>);

impl Holds {
    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a request is or was quarantined.
    pub fn is_known(&self, digest: &Digest) -> bool {
        self.0.contains_key(digest)
    }

    /// When a request was quarantined; `None` if it never was.
    pub fn began(&self, digest: &Digest) -> Option<Instant> {
        self.0.get(digest).map(|hold| hold.since)
    }

    /// How long a request is still quarantined; `None` if it is not.
    pub fn time_left(&self, digest: &Digest, now: Instant) -> Option<Duration> {
        let hold = self.0.get(digest)?;
        (now < hold.until).then(|| hold.until - now)
    }

    /// The requests that are quarantined now.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = &Digest> {
        self.0.iter().filter(move |(_, hold)| now < hold.until).map(|(digest, _)| digest)
    }

    /// Quarantines a request.
    pub fn insert(&mut self, digest: Digest, duration: Duration, crashes: u32, now: Instant) {
        self.make_room(&digest);
        self.0.insert(digest, Hold { since: now, until: now + duration, crashes });
    }

    /// Applies a record of another VM; returns whether it quarantines a request anew or for longer.
    pub fn apply(&mut self, record: &HoldRecord, now: Instant) -> bool {
        let until = now + record.time_left;
        let since = now.checked_sub(record.age).unwrap_or(now);
        if let Some(known) = self.0.get(&record.digest)
            && (record.time_left.is_zero() || until <= known.until + MAX_TRANSIT)
        {
            return false;
        }
        self.make_room(&record.digest);
        self.0.insert(record.digest, Hold { since, until, crashes: record.crashes });
        true
    }

    /// Forgets a request that was quarantined by that time.
    pub fn remove(&mut self, digest: &Digest, at: Instant) {
        if self.0.get(digest).is_some_and(|hold| hold.since <= at) {
            self.0.remove(digest);
        }
    }

    /// Forgets requests whose quarantine ended long ago.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, hold| now < hold.until + PROBATION);
    }

    /// The requests whose quarantine began last.
    pub fn records(&self, now: Instant, limit: usize) -> Vec<HoldRecord> {
        let records = self.0.iter().map(|(digest, hold)| HoldRecord {
            digest: *digest,
            time_left: hold.until.saturating_duration_since(now),
            age: now.saturating_duration_since(hold.since),
            crashes: hold.crashes,
        });
        let mut records: Vec<HoldRecord> = records.collect();
        records.sort_by_key(|record| (record.age, record.digest));
        records.truncate(limit);
        records
    }

    fn make_room(&mut self, digest: &Digest) {
        if self.0.len() < MAX_HOLDS || self.is_known(digest) {
            return;
        }
        let ends_first =
            self.0.iter().min_by_key(|(_, hold)| hold.until).map(|(digest, _)| *digest);
        if let Some(ends_first) = ends_first {
            self.0.remove(&ends_first);
        }
    }
}
