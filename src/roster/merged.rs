//! An entry VM's view of upstreams and VMs, merged from the control VMs that it follows.

use std::collections::HashMap;

use tokio::time::Instant;

use super::Announcement;
use super::Delta;
use super::Presence;
use super::Stamp;
use super::Standing;
use super::delta::Observed;
use crate::id;
use crate::wire::Role;

/// An upstream in the merged table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The latest record.
    pub record: Announcement,
    /// All followed control VMs that know the upstream report it silent.
    pub silent: bool,
    /// When its warm-up ends.
    pub cold_until: Instant,
    /// When it is terminated, if a deadline is set.
    pub ends_at: Option<Instant>,
}

/// The state received from one control VM.
#[derive(Debug, Default)]
struct Source {
    /// Whether its reports of silence count.
    followed: bool,
    /// Identifies the control VM's process start.
    epoch: u64,
    revision: u64,
    /// The region whose entry VMs it reports; none means all regions.
    region_filter: Option<id::Region>,
    upstreams: HashMap<id::Upstream, (Stamp, bool)>,
    vms: HashMap<(id::Vm, Role), (Stamp, bool)>,
}

/// The merged tables of the followed control VMs: the newest record wins, and a subject is silent only if all followed
/// control VMs that know it report it silent.
#[derive(Debug, Default)]
pub struct MergedTable {
    sources: HashMap<id::Vm, Source>,
    upstreams: HashMap<id::Upstream, Upstream>,
    vms: HashMap<(id::Vm, Role), Observed<Presence>>,
}

impl MergedTable {
    /// Sets the region whose entry VMs are requested from a control VM, none for all, and returns the epoch and revision to
    /// resume from. The revision is 0 if the region changed.
    pub fn prepare_request(
        &mut self,
        source: &id::Vm,
        region_filter: Option<&id::Region>,
    ) -> (u64, u64) {
        let source = self.sources.entry(source.clone()).or_default();
        if source.region_filter.as_ref() != region_filter {
            source.region_filter = region_filter.cloned();
            source.revision = 0;
        }
        (source.epoch, source.revision)
    }

    /// Ignores a control VM's reports of silence until it is followed again. Its records and revision stay, so that a short
    /// disconnect does not make every follower fetch the full table over the links between regions.
    pub fn unfollow(&mut self, source: &id::Vm) {
        if let Some(source) = self.sources.get_mut(source) {
            source.followed = false;
        }
        self.refresh_silence();
    }

    /// Applies a delta from a control VM.
    pub fn apply_delta(&mut self, source: &id::Vm, epoch: u64, delta: Delta, now: Instant) {
        let entry = self.sources.entry(source.clone()).or_default();
        if entry.epoch != epoch || delta.is_full {
            let region_filter = entry.region_filter.take();
            *entry = Source { epoch, region_filter, ..Source::default() };
        }
        entry.followed = true;
        entry.revision = delta.revision;
        for observed in &delta.upstreams {
            entry
                .upstreams
                .insert(observed.record.id.clone(), (observed.record.stamp, observed.silent));
        }
        for observed in &delta.vms {
            let key = (observed.record.vm.clone(), observed.record.role);
            entry.vms.insert(key, (observed.record.stamp, observed.silent));
        }
        for observed in delta.upstreams {
            self.update_upstream(observed.record, now);
        }
        for observed in delta.vms {
            self.update_vm(observed.record);
        }
        self.refresh_silence();
    }

    /// The upstreams that have not left.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.record.standing != Standing::Gone)
    }

    /// The live VMs with a role.
    pub fn vms(&self, role: Role) -> impl Iterator<Item = &Presence> {
        let is_live = move |observed: &&Observed<Presence>| {
            observed.record.role == role
                && !observed.silent
                && observed.record.standing != Standing::Gone
        };
        self.vms.values().filter(is_live).map(|observed| &observed.record)
    }

    /// All known VMs with a role, including silent ones and those that left.
    pub fn all_vms(&self, role: Role) -> impl Iterator<Item = &Presence> {
        self.vms
            .values()
            .filter(move |observed| observed.record.role == role)
            .map(|observed| &observed.record)
    }

    fn update_upstream(&mut self, record: Announcement, now: Instant) {
        let known = self.upstreams.get(&record.id);
        if known.is_some_and(|known| known.record.stamp > record.stamp) {
            return;
        }
        let upstream = Upstream {
            silent: false,
            cold_until: now + record.cold_left,
            ends_at: record.ends_in.map(|ends| now + ends),
            record,
        };
        self.upstreams.insert(upstream.record.id.clone(), upstream);
    }

    fn update_vm(&mut self, record: Presence) {
        let key = (record.vm.clone(), record.role);
        if self.vms.get(&key).is_some_and(|known| known.record.stamp > record.stamp) {
            return;
        }
        self.vms.insert(key, Observed { record, silent: false });
    }

    /// Recomputes which subjects are silent, and drops upstreams that left and are unknown to all followed sources.
    fn refresh_silence(&mut self) {
        let sources: Vec<&Source> =
            self.sources.values().filter(|source| source.followed).collect();
        if sources.is_empty() {
            return;
        }
        self.upstreams.retain(|id, upstream| {
            let mut reports =
                sources.iter().filter_map(|source| source.upstreams.get(id)).peekable();
            let is_known = reports.peek().is_some();
            upstream.silent = is_known && reports.all(|&(_, silent)| silent);
            is_known || upstream.record.standing != Standing::Gone
        });
        let is_any_unfiltered = sources.iter().any(|source| source.region_filter.is_none());
        for (key, observed) in &mut self.vms {
            let mut reports = sources.iter().filter_map(|source| source.vms.get(key)).peekable();
            // No followed source reports other regions' VMs at present, so their state is unchanged.
            if reports.peek().is_none() && !is_any_unfiltered {
                continue;
            }
            observed.silent = reports.peek().is_none() || reports.all(|&(_, silent)| silent);
        }
    }
}

#[cfg(test)]
mod tests;
