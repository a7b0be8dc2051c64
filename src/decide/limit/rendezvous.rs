//! Selection of an entry's coordinator.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// The coordinator of an entry among the live VMs, if these are a majority of all.
///
/// VMs with the same view select the same one, and the loss of a VM moves only the entries that it
/// coordinated. Without the majority rule, both sides of a partition would each grant the whole
/// limit.
pub fn coordinator<'a>(entry: &id::Entry, alive: &'a [id::Vm], all: usize) -> Option<&'a id::Vm> {
    if alive.len() * 2 <= all {
        return None;
    }
    alive.iter().max_by_key(|vm| (weight(entry, vm), *vm))
}

fn weight(entry: &id::Entry, vm: &id::Vm) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), xxh3_64_with_seed(entry.as_str().as_bytes(), 0))
}
