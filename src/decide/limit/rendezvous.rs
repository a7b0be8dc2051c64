//! Which VM is an entry's home.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// The home of an entry among the VMs that are alive, if these are a majority of all.
///
/// Every VM with the same view picks the same one, and a VM that is lost moves only the entries that it was home
/// to. Without the majority both sides of a partition would have a home, each granting the whole limit.
pub fn home<'a>(entry: &id::Entry, alive: &'a [id::Vm], all: usize) -> Option<&'a id::Vm> {
    if alive.len() * 2 <= all {
        return None;
    }
    alive.iter().max_by_key(|vm| (weight(entry, vm), *vm))
}

fn weight(entry: &id::Entry, vm: &id::Vm) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), xxh3_64_with_seed(entry.as_str().as_bytes(), 0))
}
