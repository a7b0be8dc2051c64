//! Selects the entry VMs that are returned to callers.
//!
//! Thousands of callers cache an answer for seconds and pick one of its addresses at random for
//! each connection, so every unavailable VM in an answer causes many failed connections.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::id;
use crate::roster::Presence;
use crate::roster::Standing;
use crate::roster::Table;
use crate::wire::Role;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Maximum number of answers that are kept.
const MAX_ANSWERS: usize = 256;

/// The addresses for a caller in the given region in ascending order, selected from the VMs that are heard of
/// (`present`) or ever were (`all`).
///
/// VMs of the caller's region are preferred, for latency and so that data stays there. If none is
/// available, VMs of the `homes` are returned, since home-bound requests must not be sent to any
/// other region; without homes, those of any region. If no entry VM is heard of, this VM is
/// probably isolated and returns all known ones.
pub fn addresses<'a>(
    region: &id::Region,
    homes: &BTreeSet<id::Region>,
    present: impl Iterator<Item = &'a Presence>,
    all: impl Iterator<Item = &'a Presence>,
) -> Vec<SocketAddr> {
    let accepting: Vec<&Presence> =
        present.filter(|vm| vm.role == Role::Entry && vm.ready).collect();
    let (ready, draining): (Vec<&Presence>, Vec<&Presence>) =
        accepting.into_iter().partition(|vm| vm.standing == Standing::Ready);
    let is_local = |vm: &Presence| vm.region == *region;
    let is_home = |vm: &Presence| homes.contains(&vm.region);
    let known: Vec<&Presence> = all.filter(|vm| accepts_callers(vm)).collect();
    // A draining VM accepts requests for some seconds. During a fast rolling restart it may be the
    // only one left for home-bound requests.
    let choices = [
        select_addresses(&ready, is_local),
        select_addresses(&ready, is_home),
        if homes.is_empty() { Vec::new() } else { select_addresses(&draining, is_local) },
        select_addresses(&draining, is_home),
        select_addresses(&ready, |_| true),
        select_addresses(&known, is_local),
        select_addresses(&known, |_| true),
    ];
    choices.into_iter().find(|choice| !choice.is_empty()).unwrap_or_default()
}

fn select_addresses(vms: &[&Presence], fits: impl Fn(&Presence) -> bool) -> Vec<SocketAddr> {
    let fitting = vms.iter().filter(|vm| fits(vm));
    let mut addresses: Vec<SocketAddr> = fitting.filter_map(|vm| vm.callers).collect();
    addresses.sort_unstable();
    addresses
}

/// Selects the addresses of one answer. If there are more than fit, `random` chooses among them, so that callers spread
/// over all VMs.
pub fn select(addresses: &[SocketAddr], random: u64) -> Vec<SocketAddr> {
    let first = random.checked_rem(addresses.len() as u64).unwrap_or(0) as usize;
    let rotated =
        addresses.iter().cycle().skip(if addresses.len() > MAX_ADDRESSES { first } else { 0 });
    rotated.take(addresses.len().min(MAX_ADDRESSES)).copied().collect()
}

/// The answers of a control VM, worked out once for each change of a VM.
#[derive(Debug, Default)]
pub struct Index {
    vm_revision: u64,
    answers: HashMap<(id::Region, BTreeSet<id::Region>), Vec<SocketAddr>>,
    /// The number of answers given, by which callers are spread.
    answered: u64,
}

impl Index {
    /// The addresses for a caller in the given region.
    pub fn addresses(
        &mut self,
        region: &id::Region,
        homes: BTreeSet<id::Region>,
        table: &Table,
    ) -> Vec<SocketAddr> {
        // Callers may name any region.
        if self.vm_revision != table.vm_revision() || self.answers.len() >= MAX_ANSWERS {
            self.answers.clear();
            self.vm_revision = table.vm_revision();
        }
        self.answered = self.answered.wrapping_add(MAX_ADDRESSES as u64);
        let known = self
            .answers
            .entry((region.clone(), homes))
            .or_insert_with_key(|key| addresses(region, &key.1, table.live_vms(), table.all_vms()));
        select(known, self.answered)
    }
}

fn accepts_callers(vm: &Presence) -> bool {
    vm.role == Role::Entry && vm.standing == Standing::Ready
}

#[cfg(test)]
mod tests;
