//! A control VM's table of upstreams and VMs, with a revision for each change.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use self::expiry::Expiry;
use self::tracked::Expired;
use self::tracked::Tracked;
use super::Announcement;
use super::Delta;
use super::Heartbeat;
use super::Presence;
use super::Stamp;
use super::Standing;
use super::change_log::ChangeLog;
use super::change_log::Subject;
use super::delta::Observed;
use crate::id;
use crate::wire::Role;

mod changes;
mod expiry;
mod tracked;

pub use changes::Touched;

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
    /// The keys of control VMs in `vms`.
    control_vms: BTreeSet<id::Vm>,
    /// The number of changes of VMs.
    vm_revision: u64,
    /// Subjects by the digest of their latest record.
    digests: HashMap<u64, Subject>,
    /// The regions of data centres.
    regions: HashMap<id::DataCentre, id::Region>,
    log: ChangeLog,
    expiry: Expiry,
    touched: Touched,
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
            control_vms: BTreeSet::new(),
            vm_revision: 0,
            digests: HashMap::new(),
            regions: HashMap::new(),
            log: ChangeLog::default(),
            expiry: Expiry::default(),
            touched: Touched::default(),
        }
    }

    /// Sets the regions of data centres, by which upstreams are divided.
    #[must_use]
    pub fn with_regions(
        self,
        regions: impl IntoIterator<Item = (id::DataCentre, id::Region)>,
    ) -> Self {
        Self { regions: regions.into_iter().collect(), ..self }
    }

    /// The number of the latest change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The number of the latest change of a VM.
    pub const fn vm_revision(&self) -> u64 {
        self.vm_revision
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
            let subject = self.digests.get(&heartbeat.digest).cloned();
            let was_silent = match &subject {
                Some(Subject::Upstream(id)) => {
                    let known = self.upstreams.get_mut(id);
                    known.map(|known| known.renew(heartbeat.sequence, now))
                }
                Some(Subject::Vm(vm, role)) => {
                    let known = self.vms.get_mut(&(vm.clone(), *role));
                    known.map(|known| known.renew(heartbeat.sequence, now))
                }
                None => None,
            };
            match (subject, was_silent) {
                (Some(subject), Some(true)) => {
                    self.record_change(&subject);
                    renewal.has_changes = true;
                }
                (_, Some(_)) => (),
                (_, None) => renewal.unknown.push(heartbeat.digest),
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
        let subject = Subject::Vm(record.vm.clone(), record.role);
        self.digests.insert(record.digest(), subject.clone());
        if record.role == Role::Control {
            self.control_vms.insert(record.vm.clone());
        }
        let last = self.vms.remove(&key);
        let entry = last.as_ref().and_then(|last| last.entry.clone());
        self.vms.insert(key.clone(), Tracked::new(record, entry, now));
        if let Some(last) = last {
            let latest = self.vms.get(&key).map(|known| known.record.digest());
            self.drop_digest(last.record.digest(), latest);
        }
        self.record_change(&subject);
        Outcome::Changed
    }

    /// The stamp and nonce of a VM's latest record.
    pub fn stamp_and_nonce(&self, vm: &id::Vm, role: Role) -> Option<(Stamp, u64)> {
        let known = self.vms.get(&(vm.clone(), role))?;
        Some((known.record.stamp, known.record.nonce))
    }

    /// The VMs that are neither gone nor silent.
    pub fn live_vms(&self) -> impl Iterator<Item = &Presence> {
        self.vms.values().filter(|known| known.is_live()).map(|known| &known.record)
    }

    /// Whether a VM is heard of and has not left.
    pub fn is_live(&self, vm: &id::Vm, role: Role) -> bool {
        self.vms.get(&(vm.clone(), role)).is_some_and(Tracked::is_live)
    }

    /// All known VMs, including silent ones and those that left.
    pub fn all_vms(&self) -> impl Iterator<Item = &Presence> {
        self.vms.values().map(|known| &known.record)
    }

    /// The known control VMs, including silent ones.
    pub const fn control_vms(&self) -> &BTreeSet<id::Vm> {
        &self.control_vms
    }

    /// The latest record of a VM's process.
    pub fn vm(&self, vm: &id::Vm, role: Role) -> Option<&Presence> {
        self.vms.get(&(vm.clone(), role)).map(|known| &known.record)
    }

    /// Marks subjects past their timeout as silent, removes old ones, and returns whether any became silent.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        while let Some((due, subject)) = self.expiry.pop(now) {
            match self.check_expiry(&subject, due, now) {
                Some(Expired::NotYet(next)) => self.expiry.push(next, subject),
                Some(Expired::Silent(next)) => {
                    self.log_change(&subject);
                    self.expiry.push(next, subject);
                }
                Some(Expired::Removed) => self.remove(&subject),
                Some(Expired::Superseded) | None => (),
            }
        }
        self.revision != before
    }

    fn check_expiry(&mut self, subject: &Subject, due: Instant, now: Instant) -> Option<Expired> {
        match subject {
            Subject::Upstream(id) => {
                let known = self.upstreams.get_mut(id)?;
                let is_active = !known.silent && known.record.standing != Standing::Gone;
                Some(known.expire(due, is_active, self.timeouts.upstream, now))
            }
            Subject::Vm(vm, role) => {
                let known = self.vms.get_mut(&(vm.clone(), *role))?;
                let is_active = !known.silent;
                Some(known.expire(due, is_active, self.timeouts.vm, now))
            }
        }
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
            self.log_change(&Subject::Upstream(id));
        }
        self.log.settle();
        self.adapt();
    }

    /// The changes after a revision, if there are any.
    pub fn delta(&self, from: u64, now: Instant) -> Option<Delta> {
        if from >= self.revision {
            return None;
        }
        let is_full = from < self.oldest_delta_revision;
        let is_newer = |revision: u64| is_full || revision > from;
        let upstreams = self.upstreams.values().filter(|known| is_newer(known.revision()));
        let vms = self.vms.values().filter(|known| is_newer(known.revision()));
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
        if record.standing != Standing::Gone {
            self.claim_address(&record, now);
        }
        let id = record.id.clone();
        let subject = Subject::Upstream(id.clone());
        self.digests.insert(record.digest(), subject.clone());
        let last = self.upstreams.remove(&id);
        let entry = last.as_ref().and_then(|last| last.entry.clone());
        self.upstreams.insert(id.clone(), Tracked::new(record, entry, now));
        if let Some(last) = last {
            let latest = self.upstream(&id).map(Announcement::digest);
            self.drop_digest(last.record.digest(), latest);
        }
        self.record_change(&subject);
    }

    /// Removes the digest of a replaced record, unless the latest record has the same one.
    fn drop_digest(&mut self, last: u64, latest: Option<u64>) {
        if latest != Some(last) {
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
            self.record_change(&Subject::Upstream(last));
        }
    }

    /// Whether the address belongs to an upstream that started later, so that this record is a delayed one.
    fn is_previous_owner(&self, record: &Announcement) -> bool {
        let owner = self.addresses.get(&record.address).filter(|owner| **owner != record.id);
        let owner = owner.and_then(|owner| self.upstreams.get(owner));
        owner.is_some_and(|owner| owner.record.stamp.start_time_ms > record.stamp.start_time_ms)
    }

    fn remove(&mut self, subject: &Subject) {
        let group = self.group(subject);
        let (digest, entry) = match subject {
            Subject::Upstream(id) => {
                let Some(known) = self.upstreams.remove(id) else { return };
                if self.addresses.get(&known.record.address) == Some(id) {
                    self.addresses.remove(&known.record.address);
                }
                (known.record.digest(), known.entry)
            }
            Subject::Vm(vm, role) => {
                let Some(known) = self.vms.remove(&(vm.clone(), *role)) else { return };
                if *role == Role::Control {
                    self.control_vms.remove(vm);
                }
                self.vm_revision += 1;
                (known.record.digest(), known.entry)
            }
        };
        self.drop_digest(digest, None);
        self.forget(subject, group, entry.as_ref());
    }
}

#[cfg(test)]
mod tests;
