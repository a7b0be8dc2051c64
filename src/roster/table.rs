//! A control VM's table of upstreams and VMs, with a revision for each change.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Announcement;
use super::Delta;
use super::Heartbeat;
use super::Presence;
use super::Stamp;
use super::Standing;
use super::delta::Observed;
use crate::id;
use crate::wire::Role;

/// How long subjects that left or went silent are kept, so that a delayed record does not bring them back.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// The longest time between renewals before a subject counts as silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For upstreams.
    pub upstream: Duration,
    /// For VMs.
    pub vm: Duration,
}

/// The result of applying a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The subject is new or has changed; followers must be notified.
    Changed,
    /// The record was renewed without a relevant change.
    Renewed,
    /// A newer record is known, or a newer upstream has the address.
    Stale,
}

/// A record and its liveness.
#[derive(Debug, Clone)]
struct Tracked<T> {
    record: T,
    /// When the record was last renewed.
    last_renewed: Instant,
    /// When the record last changed; its remaining durations count from then.
    changed_at: Instant,
    revision: u64,
    silent: bool,
}

/// The upstreams and VMs known to a control VM.
#[derive(Debug)]
pub struct Table {
    timeouts: Timeouts,
    revision: u64,
    /// Removals up to this revision are no longer known: a follower behind it gets the full table.
    oldest_delta_revision: u64,
    upstreams: HashMap<id::Upstream, Tracked<Announcement>>,
    /// The latest upstream at each address.
    addresses: HashMap<SocketAddr, id::Upstream>,
    vms: HashMap<(id::Vm, Role), Tracked<Presence>>,
    /// Subjects by the digest of their latest record.
    digests: HashMap<u64, Subject>,
}

/// The subject of a record.
#[derive(Debug, Clone)]
enum Subject {
    Upstream(id::Upstream),
    Vm(id::Vm, Role),
}

/// The result of applying heartbeats.
#[derive(Debug, Default)]
pub struct Renewal {
    /// Whether any subject had been silent.
    pub has_changes: bool,
    /// Digests that match no known record.
    pub unknown: Vec<u64>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            revision: 1,
            oldest_delta_revision: 1,
            upstreams: HashMap::new(),
            addresses: HashMap::new(),
            vms: HashMap::new(),
            digests: HashMap::new(),
        }
    }

    /// The number of the latest change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies an upstream's record, received directly or relayed.
    pub fn apply_announcement(&mut self, record: Announcement, now: Instant) -> Outcome {
        if let Some(known) = self.upstreams.get_mut(&record.id) {
            if record.stamp <= known.record.stamp {
                return Outcome::Stale;
            }
            let since = now.saturating_duration_since(known.changed_at);
            let changed = known.silent || record.has_changed_since(&known.record, since);
            known.last_renewed = now;
            known.record.stamp = record.stamp;
            if !changed {
                return Outcome::Renewed;
            }
        } else if self.is_previous_owner(&record) {
            return Outcome::Stale;
        }
        self.insert_upstream(record, now);
        Outcome::Changed
    }

    /// Marks an upstream as gone, and returns whether it was known. Without `start_time_ms`, the latest start is meant.
    pub fn mark_gone(
        &mut self,
        upstream: &id::Upstream,
        start_time_ms: Option<u64>,
        now: Instant,
    ) -> bool {
        let Some(known) = self.upstreams.get(upstream) else { return false };
        let mut record = known.record.clone();
        if start_time_ms.is_some_and(|start_time_ms| start_time_ms < record.stamp.start_time_ms) {
            return true;
        }
        record.stamp = Stamp::last_of(start_time_ms.unwrap_or(record.stamp.start_time_ms));
        record.standing = Standing::Gone;
        self.insert_upstream(record, now);
        true
    }

    /// Renews the records that the heartbeats refer to.
    pub fn apply_heartbeats(&mut self, heartbeats: &[Heartbeat], now: Instant) -> Renewal {
        let mut renewal = Renewal::default();
        for heartbeat in heartbeats {
            let renewed = match self.digests.get(&heartbeat.digest) {
                Some(Subject::Upstream(id)) => {
                    let known = self.upstreams.get_mut(id);
                    known.map(|known| known.renew(heartbeat.sequence, &mut self.revision, now))
                }
                Some(Subject::Vm(vm, role)) => {
                    let known = self.vms.get_mut(&(vm.clone(), *role));
                    known.map(|known| known.renew(heartbeat.sequence, &mut self.revision, now))
                }
                None => None,
            };
            match renewed {
                Some(has_changes) => renewal.has_changes |= has_changes,
                None => renewal.unknown.push(heartbeat.digest),
            }
        }
        renewal
    }

    /// The records with the given digests, as far as they are known.
    pub fn records(&self, digests: &[u64]) -> (Vec<Announcement>, Vec<Presence>) {
        let subjects = digests.iter().filter_map(|digest| self.digests.get(digest));
        let (mut upstreams, mut vms) = (Vec::new(), Vec::new());
        for subject in subjects {
            match subject {
                Subject::Upstream(id) => upstreams.extend(self.upstream(id).cloned()),
                Subject::Vm(vm, role) => {
                    let known = self.vms.get(&(vm.clone(), *role));
                    vms.extend(known.map(|known| known.record.clone()));
                }
            }
        }
        (upstreams, vms)
    }

    /// The latest record of an upstream.
    pub fn upstream(&self, upstream: &id::Upstream) -> Option<&Announcement> {
        self.upstreams.get(upstream).map(|known| &known.record)
    }

    /// The upstreams that are neither gone nor silent.
    pub fn upstreams(&self) -> impl Iterator<Item = &Announcement> {
        let is_live = |known: &&Tracked<Announcement>| {
            !known.silent && known.record.standing != Standing::Gone
        };
        self.upstreams.values().filter(is_live).map(|known| &known.record)
    }

    /// Applies a VM's record.
    pub fn apply_presence(&mut self, record: Presence, now: Instant) -> Outcome {
        let key = (record.vm.clone(), record.role);
        let changed = match self.vms.get_mut(&key) {
            Some(known) if record.stamp <= known.record.stamp => return Outcome::Stale,
            Some(known) => {
                let changed = known.silent || record.has_changed_since(&known.record);
                known.last_renewed = now;
                known.record.stamp = record.stamp;
                changed
            }
            None => true,
        };
        if !changed {
            return Outcome::Renewed;
        }
        self.revision += 1;
        self.digests.insert(record.digest(), Subject::Vm(record.vm.clone(), record.role));
        let known = Tracked {
            record,
            last_renewed: now,
            changed_at: now,
            revision: self.revision,
            silent: false,
        };
        if let Some(last) = self.vms.insert(key, known) {
            self.drop_digest(last.record.digest(), |table| {
                table
                    .vms
                    .get(&(last.record.vm.clone(), last.record.role))
                    .map(|known| known.record.digest())
            });
        }
        Outcome::Changed
    }

    /// The stamp and nonce of a VM's latest record.
    pub fn stamp_and_nonce(&self, vm: &id::Vm, role: Role) -> Option<(Stamp, u64)> {
        let known = self.vms.get(&(vm.clone(), role))?;
        Some((known.record.stamp, known.record.nonce))
    }

    /// The VMs that are neither gone nor silent.
    pub fn live_vms(&self) -> impl Iterator<Item = &Presence> {
        let is_live =
            |known: &&Tracked<Presence>| !known.silent && known.record.standing != Standing::Gone;
        self.vms.values().filter(is_live).map(|known| &known.record)
    }

    /// All known VMs, including silent ones and those that left.
    pub fn all_vms(&self) -> impl Iterator<Item = &Presence> {
        self.vms.values().map(|known| &known.record)
    }

    /// Marks subjects past their timeout as silent, removes old ones, and returns whether any became silent.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let elapsed = |last_renewed: Instant| now.saturating_duration_since(last_renewed);
        for known in self.upstreams.values_mut() {
            let is_overdue = elapsed(known.last_renewed) > self.timeouts.upstream;
            if is_overdue && !known.silent && known.record.standing != Standing::Gone {
                self.revision += 1;
                known.silent = true;
                known.revision = self.revision;
            }
        }
        for known in self.vms.values_mut() {
            if elapsed(known.last_renewed) > self.timeouts.vm && !known.silent {
                self.revision += 1;
                known.silent = true;
                known.revision = self.revision;
            }
        }
        self.remove_expired(now);
        self.revision != before
    }

    /// Restarts all timeouts after this process was suspended or disconnected, so that it does not report all others as
    /// silent.
    pub fn reset_timers(&mut self, now: Instant) {
        self.upstreams.values_mut().for_each(|known| known.last_renewed = now);
        self.vms.values_mut().for_each(|known| known.last_renewed = now);
    }

    /// All known upstreams, including those that left, to be saved for [`restore`](Self::restore).
    pub fn observed_upstreams(&self, now: Instant) -> Vec<Observed<Announcement>> {
        self.upstreams.values().map(|known| known.to_observed(now)).collect()
    }

    /// Loads upstreams saved by an earlier process. Those that do not check in within the given time become silent.
    pub fn restore(
        &mut self,
        upstreams: Vec<Observed<Announcement>>,
        within: Duration,
        now: Instant,
    ) {
        let elapsed = self.timeouts.upstream.saturating_sub(within);
        let last_renewed = now.checked_sub(elapsed).unwrap_or(now);
        for Observed { record, silent } in upstreams {
            let id = record.id.clone();
            self.insert_upstream(record, now);
            if let Some(known) = self.upstreams.get_mut(&id) {
                known.last_renewed = last_renewed;
                known.silent = silent;
            }
        }
    }

    /// The changes after a revision, if there are any.
    pub fn delta(&self, from: u64, now: Instant) -> Option<Delta> {
        if from >= self.revision {
            return None;
        }
        let is_full = from < self.oldest_delta_revision;
        let is_newer = |revision: u64| is_full || revision > from;
        let upstreams = self.upstreams.values().filter(|known| is_newer(known.revision));
        let vms = self.vms.values().filter(|known| is_newer(known.revision));
        Some(Delta {
            revision: self.revision,
            is_full,
            upstreams: upstreams.map(|known| known.to_observed(now)).collect(),
            vms: vms
                .map(|known| Observed { record: known.record.clone(), silent: known.silent })
                .collect(),
        })
    }

    fn insert_upstream(&mut self, record: Announcement, now: Instant) {
        self.revision += 1;
        if record.standing != Standing::Gone {
            self.claim_address(&record, now);
        }
        let id = record.id.clone();
        self.digests.insert(record.digest(), Subject::Upstream(id.clone()));
        let known = Tracked {
            record,
            last_renewed: now,
            changed_at: now,
            revision: self.revision,
            silent: false,
        };
        if let Some(last) = self.upstreams.insert(id, known) {
            self.drop_digest(last.record.digest(), |table| {
                table.upstream(&last.record.id).map(Announcement::digest)
            });
        }
    }

    /// Removes the digest of a replaced record, unless the new record has the same one.
    fn drop_digest(&mut self, last: u64, now: impl Fn(&Self) -> Option<u64>) {
        if now(self) != Some(last) {
            self.digests.remove(&last);
        }
    }

    /// Assigns the address to the upstream and marks its previous owner as gone.
    fn claim_address(&mut self, record: &Announcement, now: Instant) {
        let last = self.addresses.insert(record.address, record.id.clone());
        let Some(last) = last.filter(|last| *last != record.id) else { return };
        let Some(known) = self.upstreams.get_mut(&last) else { return };
        if known.record.address == record.address && known.record.standing != Standing::Gone {
            known.record.standing = Standing::Gone;
            known.record.stamp = Stamp::last_of(known.record.stamp.start_time_ms);
            known.last_renewed = now;
            known.changed_at = now;
            known.revision = self.revision;
        }
    }

    /// Whether the address belongs to an upstream that started later, so that this record is a delayed one.
    fn is_previous_owner(&self, record: &Announcement) -> bool {
        let owner = self.addresses.get(&record.address).filter(|owner| **owner != record.id);
        let owner = owner.and_then(|owner| self.upstreams.get(owner));
        owner.is_some_and(|owner| owner.record.stamp.start_time_ms > record.stamp.start_time_ms)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_old = |last_renewed: Instant| {
            now.saturating_duration_since(last_renewed) > TOMBSTONE_RETENTION
        };
        let mut oldest_delta_revision = self.oldest_delta_revision;
        self.upstreams.retain(|_, known| {
            let is_inactive = known.silent || known.record.standing == Standing::Gone;
            let is_removed = is_inactive && is_old(known.last_renewed);
            if is_removed {
                oldest_delta_revision = oldest_delta_revision.max(known.revision);
            }
            !is_removed
        });
        self.vms.retain(|_, known| {
            let is_removed = known.silent && is_old(known.last_renewed);
            if is_removed {
                oldest_delta_revision = oldest_delta_revision.max(known.revision);
            }
            !is_removed
        });
        self.oldest_delta_revision = oldest_delta_revision;
        let (upstreams, vms) = (&self.upstreams, &self.vms);
        self.digests.retain(|_, subject| match subject {
            Subject::Upstream(id) => upstreams.contains_key(id),
            Subject::Vm(vm, role) => vms.contains_key(&(vm.clone(), *role)),
        });
        let upstreams = &self.upstreams;
        self.addresses.retain(|_, id| upstreams.contains_key(id));
    }
}

/// A record with a stamp.
trait Stamped {
    fn stamp(&mut self) -> &mut Stamp;
}

impl Stamped for Announcement {
    fn stamp(&mut self) -> &mut Stamp {
        &mut self.stamp
    }
}

impl Stamped for Presence {
    fn stamp(&mut self) -> &mut Stamp {
        &mut self.stamp
    }
}

impl<T: Stamped> Tracked<T> {
    /// Renews the record if the sequence number is newer, and returns whether it had been silent.
    fn renew(&mut self, sequence: u64, revision: &mut u64, now: Instant) -> bool {
        let stamp = self.record.stamp();
        if sequence <= stamp.sequence {
            return false;
        }
        stamp.sequence = sequence;
        self.last_renewed = now;
        if !self.silent {
            return false;
        }
        *revision += 1;
        self.revision = *revision;
        self.silent = false;
        true
    }
}

impl Tracked<Announcement> {
    /// The record with its remaining durations as of now.
    fn to_observed(&self, now: Instant) -> Observed<Announcement> {
        let since = now.saturating_duration_since(self.changed_at);
        let mut record = self.record.clone();
        record.cold_left = record.cold_left.saturating_sub(since);
        record.ends_in = record.ends_in.map(|ends| ends.saturating_sub(since));
        Observed { record, silent: self.silent }
    }
}

#[cfg(test)]
mod tests;
