//! Selects the VM that asks an engine.

use crate::decide::route::rendezvous;
use crate::decide::sharing::Key;
use crate::id;

/// The engines that one VM asks at most. Eight long polls cost a VM with 0.12 cores about as much as 30 requests a second.
pub const MAX_ASKED: usize = 8;

/// Distinguishes this use of rendezvous hashing from others, so that the hosts of shards are not asking VMs as well.
const SALT: u64 = 0x6865_6c64;

/// Returns the VM that asks an engine: the one with the highest rendezvous weight among the ready VMs of the region.
pub fn asker<'a>(engine: Key, vms: impl Iterator<Item = &'a id::Vm>) -> Option<&'a id::Vm> {
    let named = vms.map(|vm| (vm, vm.as_str()));
    rendezvous::top(SALT ^ u64::from(engine.get()), named, 1).pop()
}

/// Returns the engines that a VM asks, at most [`MAX_ASKED`].
pub fn asked(own: &id::Vm, vms: &[id::Vm], engines: impl Iterator<Item = Key>) -> Vec<Key> {
    let mut asked: Vec<Key> =
        engines.filter(|engine| asker(*engine, vms.iter()) == Some(own)).collect();
    asked.sort_unstable();
    asked.truncate(MAX_ASKED);
    asked
}
