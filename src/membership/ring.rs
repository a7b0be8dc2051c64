//! Which VMs a VM watches and tells: its successors on a few hash rings.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::config::RINGS;
use crate::id;

/// The successors of `me`, one on each ring, all different.
///
/// On each ring the VMs stand in the order of another hash, so that the rings together make a random
/// graph in which everyone has as many watchers as it watches, whatever the region's size. All VMs
/// that know of the same VMs compute the same graph, with no word exchanged.
pub(super) fn successors<'a>(
    me: &id::Vm,
    vms: impl Iterator<Item = &'a id::Vm> + Clone,
) -> Vec<id::Vm> {
    let mut chosen: Vec<id::Vm> = Vec::new();
    for ring in 0..RINGS {
        let place = |vm: &id::Vm| xxh3_64_with_seed(vm.as_str().as_bytes(), ring);
        let here = place(me);
        let candidates = vms.clone().filter(|vm| *vm != me && !chosen.contains(vm));
        let next = candidates.min_by_key(|vm| place(vm).wrapping_sub(here));
        chosen.extend(next.cloned());
    }
    chosen
}

/// The VM that speaks for the region: that with the lowest hash, the same on every VM.
pub(super) fn speaker<'a>(vms: impl Iterator<Item = &'a id::Vm>) -> Option<&'a id::Vm> {
    vms.min_by_key(|vm| xxh3_64_with_seed(vm.as_str().as_bytes(), RINGS))
}
