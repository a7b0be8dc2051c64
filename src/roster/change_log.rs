//! The latest change of each subject, ordered by revision, so that a delta costs what it holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::slice::Level;
use super::slice::Position;
use super::slice::Scope;
use super::slice::Sizes;
use crate::id;
use crate::wire::Role;

/// The number of ticks over which growth is measured.
const GROWTH_TICKS: usize = 4;
/// A group grows if it has this many times the members that it had [`GROWTH_TICKS`] ago.
const GROWTH_FACTOR: f64 = 1.25;
/// Minimum sizes of the shards of entry VMs.
const VM_SIZES: Sizes = Sizes { average: 64, region: 16 };
/// Minimum sizes of the shards of a service's upstreams.
const UPSTREAM_SIZES: Sizes = Sizes { average: 128, region: 32 };

/// The subject of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// An upstream.
    Upstream(id::Upstream),
    /// A process of a VM.
    Vm(id::Vm, Role),
}

impl Subject {
    /// Its place among the shards.
    pub fn position(&self) -> Position {
        match self {
            Self::Upstream(id) => Position::of_upstream(id),
            Self::Vm(vm, _) => Position::of_vm(vm),
        }
    }
}

/// Subjects that are divided into shards together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// Control VMs, which every VM knows.
    Control,
    /// The entry VMs of a region.
    Vms(id::Region),
    /// The upstreams of a service in a region; none if the region of their data centre is not known.
    Upstreams(Option<id::Region>, String),
}

impl Group {
    /// The minimum sizes of its shards.
    const fn sizes(&self) -> Sizes {
        if matches!(self, Self::Vms(_)) { VM_SIZES } else { UPSTREAM_SIZES }
    }

    /// Whether the group belongs to the region, or to all.
    fn is_in(&self, region: &id::Region) -> bool {
        match self {
            Self::Control => true,
            Self::Vms(of) => of == region,
            Self::Upstreams(of, _) => of.as_ref() == Some(region),
        }
    }
}

/// What an entry VM follows.
#[derive(Debug, Clone)]
pub struct Interest {
    /// The follower's position.
    pub position: Position,
    /// The region that it follows; all regions if none.
    pub region: Option<id::Region>,
}

/// Whether a follower lacks changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// It lacks none.
    None,
    /// It could use what it lacks, but nothing is harmed by a delay. Holds the revision of the first change.
    Additions(u64),
    /// Upstreams or VMs must not be used any more.
    Withdrawals,
}

/// A place in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The group.
    pub group: Group,
    /// The revision of the subject's latest change.
    pub revision: u64,
    /// The subject has left.
    pub is_gone: bool,
    /// The change withdraws the subject from use.
    pub is_withdrawal: bool,
}

#[derive(Debug, Default)]
struct Shard {
    changes: BTreeMap<u64, Subject>,
    /// The revision of the latest withdrawal.
    withdrawn: u64,
}

#[derive(Debug)]
struct Shards {
    level: Level,
    shards: Vec<Shard>,
    /// The number of members in `shards` that have not left.
    members: usize,
    /// Members that followers are sent once the group has stopped growing.
    deferred: BTreeSet<Subject>,
    /// The number of members at the last ticks, oldest first.
    history: [usize; GROWTH_TICKS],
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            level: Level::WHOLE,
            shards: vec![Shard::default()],
            members: 0,
            deferred: BTreeSet::new(),
            history: [0; GROWTH_TICKS],
        }
    }
}

impl Shards {
    fn shard(&self, position: Position) -> &Shard {
        &self.shards[position.shard(self.level)]
    }

    /// The number of members that have not left.
    fn total(&self) -> usize {
        self.members + self.deferred.len()
    }

    fn is_growing(&self) -> bool {
        self.total() as f64 > GROWTH_FACTOR * self.history[0] as f64
    }

    /// Divides the members anew.
    fn divide(&mut self, level: Level) {
        let mut shards: Vec<Shard> = Vec::new();
        shards.resize_with(level.shards(), Shard::default);
        let withdrawn = self.shards.iter().map(|shard| shard.withdrawn).max().unwrap_or(0);
        for shard in &mut shards {
            shard.withdrawn = withdrawn;
        }
        for (revision, subject) in self.shards.drain(..).flat_map(|shard| shard.changes) {
            shards[subject.position().shard(level)].changes.insert(revision, subject);
        }
        self.level = level;
        self.shards = shards;
    }
}

/// The change log of a table.
#[derive(Debug, Default)]
pub struct ChangeLog {
    groups: BTreeMap<Group, Shards>,
    /// The revision at which a level changed last.
    scope_revision: u64,
}

impl ChangeLog {
    /// Records a subject's change, which replaces its `previous` entry. Returns the level of its group.
    pub fn record(&mut self, subject: Subject, entry: &Entry, previous: Option<&Entry>) -> Level {
        if let Some(previous) = previous {
            self.remove(&subject, previous);
        }
        let shards = self.groups.entry(entry.group.clone()).or_default();
        shards.deferred.remove(&subject);
        shards.members += usize::from(!entry.is_gone);
        let level = shards.level;
        let shard = &mut shards.shards[subject.position().shard(level)];
        if entry.is_withdrawal {
            shard.withdrawn = entry.revision;
        }
        shard.changes.insert(entry.revision, subject);
        level
    }

    /// Defers a new member of a group that is growing, unless its shards are still too small. Returns whether it did.
    ///
    /// When a fleet starts, its upstreams check in over some seconds. If each was sent at once, every VM would receive
    /// shards of the small fleet that it drops when the larger one is divided further.
    pub fn defer(&mut self, subject: &Subject, group: &Group) -> bool {
        if kind(group).is_none() {
            return false;
        }
        let shards = self.groups.entry(group.clone()).or_default();
        let is_enough = shards.members >= group.sizes().average * shards.level.shards();
        let defers = is_enough && shards.is_growing();
        if defers {
            shards.deferred.insert(subject.clone());
        }
        defers
    }

    /// Removes a subject that was deferred.
    pub fn remove_deferred(&mut self, subject: &Subject, group: &Group) {
        if let Some(shards) = self.groups.get_mut(group) {
            shards.deferred.remove(subject);
        }
    }

    /// Removes a subject.
    pub fn remove(&mut self, subject: &Subject, entry: &Entry) {
        let Some(shards) = self.groups.get_mut(&entry.group) else { return };
        let level = shards.level;
        let shard = &mut shards.shards[subject.position().shard(level)];
        if shard.changes.remove(&entry.revision).is_some() {
            shards.members -= usize::from(!entry.is_gone);
        }
    }

    /// Whether a follower at a revision lacks changes.
    pub fn news(&self, interest: &Interest, from: u64) -> News {
        let mut first = (self.scope_revision > from).then_some(self.scope_revision);
        for shard in self.followed(interest) {
            if shard.withdrawn > from {
                return News::Withdrawals;
            }
            let next = shard.changes.range(from + 1..).next().map(|(revision, _)| *revision);
            first = first.into_iter().chain(next).min();
        }
        first.map_or(News::None, News::Additions)
    }

    /// The first `limit` changes after a revision, in order.
    pub fn changes<'a>(
        &'a self,
        interest: &'a Interest,
        from: u64,
        limit: usize,
    ) -> Vec<(u64, &'a Subject)> {
        let mut changes: Vec<(u64, &Subject)> = Vec::new();
        for shard in self.followed(interest) {
            let newer = shard.changes.range(from + 1..).take(limit);
            changes.extend(newer.map(|(revision, subject)| (*revision, subject)));
        }
        changes.sort_unstable_by_key(|(revision, _)| *revision);
        changes.truncate(limit);
        changes
    }

    /// The revision at which the scope changed last.
    pub const fn scope_revision(&self) -> u64 {
        self.scope_revision
    }

    /// The levels of all groups.
    pub fn scope(&self) -> Scope {
        let mut scope = Scope::default();
        for (group, shards) in &self.groups {
            match group {
                Group::Vms(region) => {
                    scope.vms.insert(region.clone(), shards.level);
                }
                Group::Upstreams(Some(region), service) => {
                    let services = scope.upstreams.entry(region.clone()).or_default();
                    services.insert(service.clone(), shards.level);
                }
                Group::Control | Group::Upstreams(None, _) => (),
            }
        }
        scope
    }

    /// Adapts the levels to the number of members, at regular intervals. Returns the subjects that followers lack: those
    /// of groups whose shards were merged, and deferred ones.
    pub fn adapt(&mut self, revision: u64) -> Vec<Subject> {
        let mut lacking = Vec::new();
        for (group, level) in self.due_levels() {
            let Some(shards) = self.groups.get_mut(&group) else { continue };
            if level < shards.level {
                let members = shards.shards.iter().flat_map(|shard| shard.changes.values());
                lacking.extend(members.cloned());
            }
            shards.divide(level);
            self.scope_revision = revision;
        }
        for shards in self.groups.values_mut() {
            if !shards.is_growing() {
                lacking.extend(std::mem::take(&mut shards.deferred));
            }
            shards.history.rotate_left(1);
            shards.history[GROWTH_TICKS - 1] = shards.total();
        }
        lacking
    }

    /// Takes the present number of members as stable.
    pub fn settle(&mut self) {
        for shards in self.groups.values_mut() {
            shards.history = [shards.total(); GROWTH_TICKS];
        }
    }

    /// The groups whose level must change.
    fn due_levels(&self) -> Vec<(Group, Level)> {
        let mut totals: BTreeMap<Option<&str>, (usize, usize)> = BTreeMap::new();
        for (group, shards) in &self.groups {
            if let (Some(kind), true) = (kind(group), shards.total() > 0) {
                let (regions, members) = totals.entry(kind).or_default();
                *regions += 1;
                *members += shards.total();
            }
        }
        let mut due = Vec::new();
        for (group, shards) in &self.groups {
            let Some((regions, members)) = kind(group).and_then(|kind| totals.get(&kind)) else {
                continue;
            };
            let level = group.sizes().level(shards.level, members / regions, shards.total());
            if level != shards.level && !shards.is_growing() {
                due.push((group.clone(), level));
            }
        }
        due
    }

    fn followed<'a>(&'a self, interest: &'a Interest) -> impl Iterator<Item = &'a Shard> {
        let groups = self.groups.iter().filter(|(group, _)| match &interest.region {
            Some(region) => group.is_in(region),
            None => true,
        });
        groups.map(|(_, shards)| shards.shard(interest.position))
    }
}

/// The service of upstreams, or none for entry VMs; no value if the group is never divided.
fn kind(group: &Group) -> Option<Option<&str>> {
    match group {
        Group::Control | Group::Upstreams(None, _) => None,
        Group::Vms(_) => Some(None),
        Group::Upstreams(Some(_), service) => Some(Some(service)),
    }
}

#[cfg(test)]
mod tests;
