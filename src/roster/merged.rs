//! An entry VM's view of upstreams and VMs, merged from the control VMs that it follows.

use std::collections::HashMap;

use tokio::time::Instant;

use super::Announcement;
use super::Delta;
use super::Presence;
use super::Scope;
use super::Stamp;
use super::Standing;
use super::delta::Observed;
use super::slice::Level;
use super::slice::Position;
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
    /// The control VM's revision when it began to send the whole slice.
    base: u64,
    /// The division by which it selects what it reports; none if it reports everything.
    scope: Option<Scope>,
    /// The region whose entry VMs it reports; none means all regions.
    region_filter: Option<id::Region>,
    upstreams: HashMap<id::Upstream, (Stamp, bool)>,
    vms: HashMap<(id::Vm, Role), (Stamp, bool)>,
}

/// The point from which a control VM continues to send changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    /// The control VM's process start.
    pub epoch: u64,
    /// The last revision received.
    pub revision: u64,
    /// The control VM's revision when it began to send the whole slice.
    pub base: u64,
}

/// The merged tables of the followed control VMs: the newest record wins, and a subject is silent only if all followed
/// control VMs that know it report it silent.
#[derive(Debug, Default)]
pub struct MergedTable {
    /// This VM's place among the slices; none if it is to receive everything.
    position: Option<Position>,
    /// The regions of data centres.
    regions: HashMap<id::DataCentre, id::Region>,
    sources: HashMap<id::Vm, Source>,
    upstreams: HashMap<id::Upstream, Upstream>,
    vms: HashMap<(id::Vm, Role), Observed<Presence>>,
}

impl MergedTable {
    /// Sets this VM's place among the slices, and the regions of data centres.
    #[must_use]
    pub fn with_position(
        self,
        position: Position,
        regions: impl IntoIterator<Item = (id::DataCentre, id::Region)>,
    ) -> Self {
        Self { position: Some(position), regions: regions.into_iter().collect(), ..self }
    }

    /// Sets the region whose entry VMs are requested from a control VM, none for all, and returns the point to resume
    /// from. The revision is 0 if the region changed.
    pub fn prepare_request(
        &mut self,
        source: &id::Vm,
        region_filter: Option<&id::Region>,
    ) -> Cursor {
        let source = self.sources.entry(source.clone()).or_default();
        if source.region_filter.as_ref() != region_filter {
            source.region_filter = region_filter.cloned();
            (source.revision, source.base) = (0, 0);
        }
        Cursor { epoch: source.epoch, revision: source.revision, base: source.base }
    }

    /// Ignores a control VM's reports of silence until it is followed again. Its records and revision stay, so that a short
    /// disconnect does not make every follower fetch the full table over the links between regions.
    pub fn unfollow(&mut self, source: &id::Vm) {
        if let Some(source) = self.sources.get_mut(source) {
            source.followed = false;
        }
        self.refresh_silence();
    }

    /// Applies a piece of a control VM's changes. `scope` is its new division into slices.
    pub fn apply_piece(
        &mut self,
        source: &id::Vm,
        epoch: u64,
        base: u64,
        (delta, scope): (Delta, Option<Scope>),
        now: Instant,
    ) {
        self.apply_changes(source, epoch, delta, now);
        if let Some(entry) = self.sources.get_mut(source) {
            entry.base = base;
            if scope.is_some() {
                entry.scope = scope;
            }
        }
        self.leave_other_slices(source);
        self.refresh_silence();
    }

    /// Applies a delta from a control VM.
    pub fn apply_delta(&mut self, source: &id::Vm, epoch: u64, delta: Delta, now: Instant) {
        self.apply_changes(source, epoch, delta, now);
        self.refresh_silence();
    }

    fn apply_changes(&mut self, source: &id::Vm, epoch: u64, delta: Delta, now: Instant) {
        let entry = self.sources.entry(source.clone()).or_default();
        if entry.epoch != epoch || delta.is_full {
            let region_filter = entry.region_filter.take();
            let scope = entry.scope.take().filter(|_| entry.epoch == epoch);
            *entry = Source { epoch, region_filter, scope, ..Source::default() };
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
    }

    /// The control VMs that are followed.
    pub fn followed(&self) -> Vec<id::Vm> {
        let followed = self.sources.iter().filter(|(_, source)| source.followed);
        followed.map(|(vm, _)| vm.clone()).collect()
    }

    /// An upstream, if it is known.
    pub fn upstream(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
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

    /// The number of entry VMs of all regions, estimated from the known shards.
    pub fn entry_vm_count(&self) -> u32 {
        let mut by_region: HashMap<&id::Region, u32> = HashMap::new();
        for vm in self.all_vms(Role::Entry) {
            *by_region.entry(&vm.region).or_default() += 1;
        }
        let counts = by_region.into_iter();
        counts.map(|(region, count)| count << self.vm_level(region).bits()).sum()
    }

    /// The level of the entry VMs of a region. If control VMs disagree, this VM knows the larger shard.
    pub fn vm_level(&self, region: &id::Region) -> Level {
        self.level(|scope| scope.vm_level(region))
    }

    /// The level of a service's upstreams in a region.
    pub fn upstream_level(&self, region: &id::Region, service: &str) -> Level {
        self.level(|scope| scope.upstream_level(region, service))
    }

    fn level(&self, of: impl Fn(&Scope) -> Level) -> Level {
        let followed = self.sources.values().filter(|source| source.followed);
        followed.filter_map(|source| source.scope.as_ref()).map(of).min().unwrap_or_default()
    }

    fn update_upstream(&mut self, record: Announcement, now: Instant) {
        let mut cold_until = now + record.cold_left;
        if let Some(known) = self.upstreams.get(&record.id) {
            if known.record.stamp > record.stamp {
                return;
            }
            // The same record by another way: the first copy was delayed least.
            if known.record.stamp == record.stamp {
                cold_until = cold_until.min(known.cold_until);
            }
        }
        let upstream = Upstream {
            silent: false,
            cold_until,
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

    /// Drops what a control VM reported before it moved to another slice: no further changes of it will come.
    fn leave_other_slices(&mut self, source: &id::Vm) {
        let Some(position) = self.position else { return };
        let Some(entry) = self.sources.get_mut(source) else { return };
        let Source { scope: Some(scope), upstreams, vms, .. } = entry else { return };
        upstreams.retain(|id, _| {
            let known = self.upstreams.get(id);
            known.is_none_or(|known| includes(scope, &self.regions, position, &known.record))
        });
        vms.retain(|key, _| {
            let known = self.vms.get(key);
            known.is_none_or(|known| includes_vm(scope, position, &known.record))
        });
    }

    /// Recomputes which subjects are silent, and drops upstreams that left and are unknown to all followed sources, and
    /// subjects that no followed source would report.
    fn refresh_silence(&mut self) {
        let sources: Vec<&Source> =
            self.sources.values().filter(|source| source.followed).collect();
        if sources.is_empty() {
            return;
        }
        let position = self.position;
        self.upstreams.retain(|id, upstream| {
            let mut reports =
                sources.iter().filter_map(|source| source.upstreams.get(id)).peekable();
            let is_known = reports.peek().is_some();
            upstream.silent = is_known && reports.all(|&(_, silent)| silent);
            let region = self.regions.get(&upstream.record.data_centre);
            let reports_region = |source: &Source| source.reports(region);
            is_known
                || upstream.record.standing != Standing::Gone
                    && !is_foreign(&sources, position, reports_region, |scope, position| {
                        includes(scope, &self.regions, position, &upstream.record)
                    })
        });
        let is_any_unfiltered = sources.iter().any(|source| source.region_filter.is_none());
        self.vms.retain(|key, observed| {
            let mut reports = sources.iter().filter_map(|source| source.vms.get(key)).peekable();
            let is_known = reports.peek().is_some();
            // No followed source reports other regions' VMs at present, so their state is unchanged.
            if is_known || is_any_unfiltered {
                observed.silent = !is_known || reports.all(|&(_, silent)| silent);
            }
            let reports_region = |source: &Source| source.reports(Some(&observed.record.region));
            is_known
                || !is_foreign(&sources, position, reports_region, |scope, position| {
                    includes_vm(scope, position, &observed.record)
                })
        });
    }
}

impl Source {
    /// Whether it reports subjects of the region.
    fn reports(&self, region: Option<&id::Region>) -> bool {
        self.region_filter.is_none() || self.region_filter.as_ref() == region
    }
}

/// Whether a subject is in no slice that the followed control VMs report, though some report its region.
fn is_foreign(
    sources: &[&Source],
    position: Option<Position>,
    reports_region: impl Fn(&Source) -> bool,
    includes: impl Fn(&Scope, Position) -> bool,
) -> bool {
    let mut reporting = sources.iter().filter(|source| reports_region(source)).peekable();
    let Some(position) = position.filter(|_| reporting.peek().is_some()) else { return false };
    reporting.all(|source| source.scope.as_ref().is_some_and(|scope| !includes(scope, position)))
}

/// Whether an upstream is in the slice of a position.
fn includes(
    scope: &Scope,
    regions: &HashMap<id::DataCentre, id::Region>,
    position: Position,
    record: &Announcement,
) -> bool {
    let Some(region) = regions.get(&record.data_centre) else { return true };
    let level = scope.upstream_level(region, &record.service);
    level.joins(position, Position::of_upstream(&record.id))
}

/// Whether a VM is in the slice of a position. All VMs know the control VMs.
fn includes_vm(scope: &Scope, position: Position, record: &Presence) -> bool {
    record.role == Role::Control
        || scope.vm_level(&record.region).joins(position, Position::of_vm(&record.vm))
}

#[cfg(test)]
mod tests;
