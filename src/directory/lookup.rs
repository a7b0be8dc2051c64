//! Selects the entry VMs that are returned to callers.
//!
//! Thousands of callers cache an answer for seconds and pick one of its addresses at random for
//! each connection, so every unavailable VM in an answer causes many failed connections.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::id;
use crate::roster::Presence;
use crate::roster::Standing;
use crate::wire::Role;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The addresses for a caller in the given region, selected from the VMs that are heard of
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
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

fn accepts_callers(vm: &Presence) -> bool {
    vm.role == Role::Entry && vm.standing == Standing::Ready
}

#[cfg(test)]
mod tests;
