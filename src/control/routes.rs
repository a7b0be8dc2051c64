//! Which VM holds which replica: replicas are named by their data folders, links by VMs.

use std::collections::HashMap;

use crate::id;
use crate::sync::Mutex;

/// The VMs of replicas, as they tell themselves.
#[derive(Debug, Default)]
pub struct Routes {
    vms: Mutex<HashMap<id::Replica, id::Vm>>,
    /// The replica that each VM named last.
    newest: Mutex<HashMap<id::Vm, id::Replica>>,
}

impl Routes {
    /// Notes where a replica is.
    pub fn learn(&self, replica: id::Replica, vm: &id::Vm) {
        let mut vms = self.vms.lock();
        if vms.get(&replica) != Some(vm) {
            vms.insert(replica, vm.clone());
        }
        drop(vms);
        let mut newest = self.newest.lock();
        if newest.get(vm) != Some(&replica) {
            newest.insert(vm.clone(), replica);
        }
    }

    /// Whether a VM that is known to have held the replica holds another one by now.
    pub fn is_replaced(&self, replica: id::Replica) -> bool {
        let newest = self.vm(replica).and_then(|vm| self.newest.lock().get(&vm).copied());
        newest.is_some_and(|newest| newest != replica)
    }

    /// The name of a replica for the log: that of its VM, or its identity while its VM is unknown.
    pub fn name(&self, replica: id::Replica) -> String {
        self.vm(replica).map_or_else(|| replica.to_string(), |vm| vm.to_string())
    }

    /// Where a replica is.
    pub fn vm(&self, replica: id::Replica) -> Option<id::Vm> {
        self.vms.lock().get(&replica).cloned()
    }
}
