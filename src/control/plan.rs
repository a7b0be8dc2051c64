//! Which VM holds which replica, derived from the settings alone, so that all VMs come to the same.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::consensus::Role;
use crate::control::Name;
use crate::id;
use crate::settings::Site;

/// Data voters of a group at most. Five outlast two losses; a sixth only makes each commit wait for one more.
pub const VOTERS: usize = 5;

/// A voter silent for so long is replaced by a learner. A restart takes seconds and a reboot a minute or two; a
/// replaced VM comes back as a learner itself, so replacing one too early costs a copy of the state only.
const REPLACE_AFTER: Duration = Duration::from_secs(180);

/// Where the VMs come from that hold a group's replicas.
pub trait Plan: Send + Sync + 'static {
    /// The replicas of a group, as far as their VMs are known.
    fn members(&self, name: &Name) -> Vec<Planned>;
    /// Those that found the group, the same on every VM; empty where this VM must never found it.
    fn founders(&self, name: &Name) -> Vec<Planned>;
    /// How many data voters the group should have.
    fn voters(&self, name: &Name) -> usize;
    /// The region of a VM, if it is known.
    fn region(&self, vm: &id::Vm) -> Option<id::Region>;
    /// A voter silent for so long is replaced by a learner.
    fn replace_after(&self) -> Duration;
    /// The time between heartbeats and the shortest silence before an election; none for the usual ones.
    fn pace(&self) -> Option<(Duration, Duration)> {
        None
    }
}

/// The VMs of a site whose settings name all of them.
impl Plan for Arc<Site> {
    fn members(&self, name: &Name) -> Vec<Planned> {
        members(self, name)
    }

    fn founders(&self, name: &Name) -> Vec<Planned> {
        members(self, name)
    }

    fn voters(&self, name: &Name) -> usize {
        let voters = members(self, name).into_iter().filter(|planned| planned.role == Role::Voter);
        voters.count().max(1)
    }

    fn region(&self, vm: &id::Vm) -> Option<id::Region> {
        self.vms.get(vm).map(|vm| vm.region.clone())
    }

    fn replace_after(&self) -> Duration {
        REPLACE_AFTER
    }
}

/// A replica that is to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// The VM that holds it.
    pub vm: id::Vm,
    /// What it does.
    pub role: Role,
}

/// The replicas of a group.
pub fn members(site: &Site, name: &Name) -> Vec<Planned> {
    match name {
        Name::Catalogue => catalogue(site),
        Name::Ledger(region) => ledger(site, region),
        // A site that names its VMs keeps a catalogue of entries instead.
        Name::Routing => Vec::new(),
    }
}

/// The groups that a VM holds a replica of, and its role in each.
pub fn groups(site: &Site, vm: &id::Vm) -> Vec<(Name, Role)> {
    let regions = site.vms.values().map(|vm| &vm.region);
    let ledgers: std::collections::BTreeSet<&id::Region> = regions.collect();
    let names = ledgers.into_iter().cloned().map(Name::Ledger);
    let all = std::iter::once(Name::Catalogue).chain(names);
    let role = |name: Name| {
        let planned = members(site, &name).into_iter().find(|planned| planned.vm == *vm)?;
        Some((name, planned.role))
    };
    all.filter_map(role).collect()
}

/// VMs with a disk, region by region; in each region the data centres take turns, so that the first few stand in
/// different ones.
fn by_region(site: &Site) -> BTreeMap<&id::Region, Vec<&id::Vm>> {
    let mut regions: BTreeMap<&id::Region, Vec<(usize, &id::DataCentre, &id::Vm)>> =
        BTreeMap::new();
    for (name, vm) in site.vms.iter().filter(|(_, vm)| vm.control.is_some()) {
        let there = regions.entry(&vm.region).or_default();
        let turn = there.iter().filter(|(_, centre, _)| **centre == vm.data_centre).count();
        there.push((turn, &vm.data_centre, name));
    }
    let ordered = regions.into_iter().map(|(region, mut vms)| {
        vms.sort();
        (region, vms.into_iter().map(|(_, _, name)| name).collect())
    });
    ordered.collect()
}

/// Regions take turns to give a voter, so that none holds a majority where there are three or more.
fn catalogue(site: &Site) -> Vec<Planned> {
    let regions = by_region(site);
    let most = regions.values().map(Vec::len).max().unwrap_or(0);
    let turns = (0..most).flat_map(|turn| regions.values().filter_map(move |vms| vms.get(turn)));
    let order: Vec<id::Vm> = turns.map(|vm| (*vm).clone()).collect();
    with_roles(order)
}

fn ledger(site: &Site, region: &id::Region) -> Vec<Planned> {
    let regions = by_region(site);
    let here = regions.get(region).cloned().unwrap_or_default();
    let mut planned = with_roles(here.into_iter().cloned().collect());
    let voters = planned.iter().filter(|planned| planned.role == Role::Voter).count();
    if voters == 2
        && let Some(vm) = witness(&regions, region)
    {
        planned.push(Planned { vm, role: Role::Witness });
    }
    planned
}

/// The VM of another region that votes without payload for a region with two VMs: chosen by hash, so that the
/// witnesses of several regions spread.
fn witness(regions: &BTreeMap<&id::Region, Vec<&id::Vm>>, of: &id::Region) -> Option<id::Vm> {
    let others = regions.iter().filter(|(region, _)| **region != of).flat_map(|(_, vms)| vms);
    others.max_by_key(|vm| xxh3_64(format!("{of}/{vm}").as_bytes())).map(|vm| (*vm).clone())
}

/// The first ones vote; of an even number above two, one voter less outlasts as many losses.
fn with_roles(order: Vec<id::Vm>) -> Vec<Planned> {
    let most = order.len().min(VOTERS);
    let voters = if most > 2 && most.is_multiple_of(2) { most - 1 } else { most };
    let role = |place| if place < voters { Role::Voter } else { Role::Learner };
    let planned = order.into_iter().enumerate();
    planned.map(|(place, vm)| Planned { vm, role: role(place) }).collect()
}

#[cfg(test)]
mod tests;
