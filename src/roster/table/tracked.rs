//! A record in the table.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::TOMBSTONE_RETENTION;
use crate::roster::Announcement;
use crate::roster::Observed;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::change_log::Entry;
use crate::roster::piece::Change;

/// A record and its liveness.
#[derive(Debug, Clone)]
pub struct Tracked<T> {
    pub record: T,
    /// When the record was last renewed.
    pub last_renewed: Instant,
    /// When the record last changed; its remaining durations count from then.
    pub changed_at: Instant,
    pub silent: bool,
    /// The latest change.
    pub entry: Option<Entry>,
    /// The latest change as sent to followers.
    pub encoded: Bytes,
    /// When the subject is next checked for expiry.
    due: Option<Instant>,
}

/// The result of a check for expiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// It was renewed and is checked again at that time.
    NotYet(Instant),
    /// It has become silent and is checked again at that time.
    Silent(Instant),
    /// It was inactive for [`TOMBSTONE_RETENTION`].
    Removed,
    /// A later check is scheduled.
    Superseded,
}

/// A record that can be sent to followers.
pub trait Sendable: Clone {
    /// The record's version.
    fn stamp(&mut self) -> &mut Stamp;

    /// Converts an observation for sending.
    fn to_change(observed: Observed<Self>) -> Change;
}

impl Sendable for Announcement {
    fn stamp(&mut self) -> &mut Stamp {
        &mut self.stamp
    }

    fn to_change(observed: Observed<Self>) -> Change {
        Change::Upstream(observed)
    }
}

impl Sendable for Presence {
    fn stamp(&mut self) -> &mut Stamp {
        &mut self.stamp
    }

    fn to_change(observed: Observed<Self>) -> Change {
        Change::Vm(observed)
    }
}

impl<T: Sendable> Tracked<T> {
    /// Creates a record as of now. `entry` is the subject's previous change.
    pub fn new(record: T, entry: Option<Entry>, now: Instant) -> Self {
        Self {
            record,
            last_renewed: now,
            changed_at: now,
            silent: false,
            entry,
            encoded: Bytes::new(),
            due: None,
        }
    }

    /// The revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.entry.as_ref().map_or(0, |entry| entry.revision)
    }

    /// Renews the record if the sequence number is newer, and returns whether it had been silent.
    pub fn renew(&mut self, sequence: u64, now: Instant) -> bool {
        let stamp = self.record.stamp();
        if sequence <= stamp.sequence {
            return false;
        }
        stamp.sequence = sequence;
        self.last_renewed = now;
        std::mem::take(&mut self.silent)
    }

    /// Sets the latest change, encodes it and returns the previous one.
    pub fn log(&mut self, entry: Entry) -> Option<Entry> {
        let observed = Observed { record: self.record.clone(), silent: self.silent };
        self.encoded = T::to_change(observed).encode();
        self.entry.replace(entry)
    }

    /// Returns when to check for expiry, if that is earlier than already scheduled.
    pub fn reschedule(&mut self, timeout: Duration) -> Option<Instant> {
        let due = self.last_renewed + timeout;
        let is_earlier = self.due.is_none_or(|scheduled| due < scheduled);
        is_earlier.then(|| *self.due.insert(due))
    }

    /// Checks for expiry.
    pub fn expire(
        &mut self,
        due: Instant,
        is_active: bool,
        timeout: Duration,
        now: Instant,
    ) -> Expired {
        if self.due != Some(due) {
            return Expired::Superseded;
        }
        let limit = if is_active { timeout } else { TOMBSTONE_RETENTION };
        let next = self.last_renewed + limit;
        if next >= now {
            self.due = Some(next);
            return Expired::NotYet(next);
        }
        if !is_active {
            return Expired::Removed;
        }
        self.silent = true;
        let next = self.last_renewed + TOMBSTONE_RETENTION;
        self.due = Some(next);
        Expired::Silent(next)
    }
}

impl Tracked<Presence> {
    /// Whether the VM is heard of and has not left.
    pub fn is_live(&self) -> bool {
        !self.silent && self.record.standing != Standing::Gone
    }
}

impl Tracked<Announcement> {
    /// The record with its remaining durations as of now.
    pub fn to_observed(&self, now: Instant) -> Observed<Announcement> {
        let since = now.saturating_duration_since(self.changed_at);
        let mut record = self.record.clone();
        record.cold_left = record.cold_left.saturating_sub(since);
        record.ends_in = record.ends_in.map(|ends| ends.saturating_sub(since));
        Observed { record, silent: self.silent }
    }

    /// The latest change as of now. Only a record with remaining durations is encoded anew.
    pub fn encoded_at(&self, now: Instant) -> Bytes {
        if self.record.is_time_independent() {
            self.encoded.clone()
        } else {
            Change::Upstream(self.to_observed(now)).encode()
        }
    }
}
