//! Which upstreams are there, by their own announcements and by what other VMs learned.
//!
//! An upstream announces to one VM, and the VMs of the region tell each other. Packets and requests arrive
//! late, twice and out of order. Without the order kept here a renewal that was on its way while the upstream
//! left would bring it back, and work would be sent to a process that has gone.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use tokio::time::Instant;

use super::Announcement;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;

/// How long an announcement holds without a renewal. Upstreams renew each second, so two lost renewals are
/// borne, and a dead upstream gets no new work after 3 s.
pub const LEASE: Duration = Duration::from_secs(3);

/// How long the number of a gone upstream is remembered. A renewal can only be late by as long as a connection
/// keeps it: system defaults give up resending after about 15 minutes, and both adapters cut off far sooner.
pub const REMEMBERED: Duration = Duration::from_secs(900);

/// The upstreams that a VM knows of.
#[derive(Debug)]
pub struct Registry {
    vm: id::Vm,
    records: BTreeMap<id::Upstream, Record>,
    changes: u64,
}

/// One upstream as a VM knows it.
#[derive(Debug, Clone)]
pub struct Record {
    /// What it announced last; none where only its leaving is known.
    pub announcement: Option<Announcement>,
    /// Whether it takes new work.
    pub state: State,
    /// The newest incarnation known.
    pub incarnation: Incarnation,
    /// The VM that it announced to last, which shares out its slots; none where only its leaving is known.
    pub host: Option<id::Vm>,
    sequence: u64,
    until: Instant,
    changed: u64,
    content_changed: u64,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Its lease runs.
    Live,
    /// It said that it leaves; this incarnation never comes back.
    Left,
    /// Its lease ran out; a newer renewal brings it back.
    Expired,
}

/// What became of an announcement, a leaving or a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream is new, has started anew or has come back.
    Appeared,
    /// What it announces has changed.
    Altered,
    /// Only the lease was prolonged.
    Renewed,
    /// It takes no new work any more.
    Left,
    /// It is older than what is known, or known already.
    Stale,
}

/// What VMs tell each other of upstreams.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// What it announced, whole.
    Announced {
        /// The announcement.
        announcement: Announcement,
        /// The VM that it was made to.
        host: id::Vm,
        /// What was left of its lease when this was sent.
        #[serde_as(as = "Milliseconds")]
        remaining: Duration,
    },
    /// A renewal that changed nothing; whoever lacks the announcement asks for it.
    Renewed {
        /// The upstream.
        id: id::Upstream,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The renewal's number.
        sequence: u64,
        /// The VM that it was made to.
        host: id::Vm,
        /// What was left of its lease when this was sent.
        #[serde_as(as = "Milliseconds")]
        remaining: Duration,
    },
    /// It leaves.
    Left {
        /// The upstream.
        id: id::Upstream,
        /// The incarnation that leaves.
        incarnation: Incarnation,
    },
}

impl Registry {
    /// An empty registry of that VM.
    pub fn new(vm: id::Vm) -> Self {
        Self { vm, records: BTreeMap::new(), changes: 0 }
    }

    /// Takes an upstream's own announcement or renewal.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> Outcome {
        let host = self.vm.clone();
        self.accept(announcement, host, LEASE, now)
    }

    /// Takes an upstream's leaving; one of an older incarnation than the one known says nothing.
    pub fn leave(&mut self, id: &id::Upstream, incarnation: Incarnation, now: Instant) -> Outcome {
        let next = self.changes + 1;
        match self.records.get_mut(id) {
            Some(record) if record.incarnation > incarnation => return Outcome::Stale,
            Some(record) if record.incarnation == incarnation && record.state == State::Left => {
                return Outcome::Stale;
            }
            Some(record) => {
                record.incarnation = incarnation;
                record.state = State::Left;
                record.until = now + REMEMBERED;
                record.changed = next;
                record.content_changed = next;
            }
            None => {
                self.records.insert(id.clone(), Record::departed(incarnation, next, now));
            }
        }
        self.changes = next;
        Outcome::Left
    }

    /// Takes what another VM told. A record that is known already prolongs nothing, so that two VMs that echo
    /// each other can't keep a dead upstream alive.
    pub fn merge(&mut self, update: Update, now: Instant) -> Outcome {
        match update {
            Update::Announced { announcement, host, remaining } => {
                self.accept(announcement, host, remaining.min(LEASE), now)
            }
            Update::Renewed { id, incarnation, sequence, host, remaining } => {
                self.renew(&id, (incarnation, sequence), host, remaining.min(LEASE), now)
            }
            Update::Left { id, incarnation } => self.leave(&id, incarnation, now),
        }
    }

    /// Ends leases that ran out, forgets what is long gone, and returns those that have just expired.
    pub fn expire(&mut self, now: Instant) -> Vec<id::Upstream> {
        let mut expired = Vec::new();
        self.records.retain(|_, record| record.state == State::Live || now < record.until);
        for (id, record) in &mut self.records {
            if record.state == State::Live && now >= record.until {
                record.state = State::Expired;
                record.until = now + REMEMBERED;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// The upstreams that may be sent new work, also before [`Self::expire`] has seen a lease run out.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        self.records
            .values()
            .filter(move |record| record.state == State::Live && now < record.until)
            .filter_map(|record| record.announcement.as_ref())
    }

    /// What is known of one upstream.
    pub fn get(&self, id: &id::Upstream) -> Option<&Record> {
        self.records.get(id)
    }

    /// How many changes were taken so far; hand it to [`Self::changed_since`] later.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// What to tell a VM that was told everything up to `mark`. Zero tells everything whole.
    pub fn changed_since(&self, mark: u64, now: Instant) -> Vec<Update> {
        let changed = self.records.iter().filter(|(_, record)| record.changed > mark);
        changed.filter_map(|(id, record)| record.update(id, mark, now)).collect()
    }

    /// How many upstreams are remembered, gone ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn accept(
        &mut self,
        announcement: Announcement,
        host: id::Vm,
        lease: Duration,
        now: Instant,
    ) -> Outcome {
        let Some(record) = self.records.get(&announcement.id) else {
            return self.insert(announcement, host, lease, now);
        };
        if !record.yields_to(announcement.recency()) {
            return Outcome::Stale;
        }
        let same = record.announcement.as_ref().is_some_and(|old| announcement.is_renewal_of(old));
        let live = record.state == State::Live && record.incarnation == announcement.incarnation;
        if !same {
            self.insert(announcement, host, lease, now);
            return if live { Outcome::Altered } else { Outcome::Appeared };
        }
        let (id, recency) = (announcement.id.clone(), announcement.recency());
        self.renew(&id, recency, host, lease, now)
    }

    fn insert(
        &mut self,
        announcement: Announcement,
        host: id::Vm,
        lease: Duration,
        now: Instant,
    ) -> Outcome {
        self.changes += 1;
        let record = Record {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            state: State::Live,
            until: now + lease,
            changed: self.changes,
            content_changed: self.changes,
            host: Some(host),
            announcement: Some(announcement.clone()),
        };
        self.records.insert(announcement.id, record);
        Outcome::Appeared
    }

    fn renew(
        &mut self,
        id: &id::Upstream,
        recency: (Incarnation, u64),
        host: id::Vm,
        lease: Duration,
        now: Instant,
    ) -> Outcome {
        let Some(record) = self.records.get_mut(id) else { return Outcome::Stale };
        // The announcement of another incarnation says nothing about this one.
        let known = record.announcement.as_ref().is_some_and(|old| old.incarnation == recency.0);
        if !known || !record.yields_to(recency) {
            return Outcome::Stale;
        }
        let was_live = record.state == State::Live;
        record.sequence = recency.1;
        record.host = Some(host);
        record.state = State::Live;
        record.until = now + lease;
        self.changes += 1;
        record.changed = self.changes;
        if let Some(announcement) = &mut record.announcement {
            announcement.sequence = recency.1;
        }
        if was_live { Outcome::Renewed } else { Outcome::Appeared }
    }
}

impl Record {
    fn departed(incarnation: Incarnation, change: u64, now: Instant) -> Self {
        Self {
            announcement: None,
            host: None,
            state: State::Left,
            incarnation,
            sequence: 0,
            until: now + REMEMBERED,
            changed: change,
            content_changed: change,
        }
    }

    /// Whether an announcement of that recency is news. Leaving is final for its incarnation: a renewal that
    /// was late or overtaken would otherwise bring the upstream back for a lease.
    fn yields_to(&self, (incarnation, sequence): (Incarnation, u64)) -> bool {
        if self.state == State::Left {
            return incarnation > self.incarnation;
        }
        (incarnation, sequence) > (self.incarnation, self.sequence)
    }

    fn update(&self, id: &id::Upstream, mark: u64, now: Instant) -> Option<Update> {
        if self.state == State::Left {
            return Some(Update::Left { id: id.clone(), incarnation: self.incarnation });
        }
        let announcement = self.announcement.as_ref().filter(|_| self.state == State::Live)?;
        let host = self.host.clone()?;
        let remaining = self.until.saturating_duration_since(now);
        if self.content_changed > mark {
            return Some(Update::Announced { announcement: announcement.clone(), host, remaining });
        }
        let (incarnation, sequence) = (self.incarnation, self.sequence);
        Some(Update::Renewed { id: id.clone(), incarnation, sequence, host, remaining })
    }
}

#[cfg(test)]
mod tests;
