//! Applies changes of the roster, and selects VMs from it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::State;
use crate::directory::lookup;
use crate::id;
use crate::roster::Delta;
use crate::roster::Scope;
use crate::roster::Standing;
use crate::wire::Role;

impl State {
    /// Applies roster changes from a control VM.
    pub fn apply_roster(&self, from: &id::Vm, epoch: u64, delta: Delta) {
        let now = Instant::now();
        self.joined.get_or_init(|| now);
        self.merged().apply_delta(from, epoch, delta, now);
        self.sync_placement();
    }

    /// Applies a piece of this VM's slice of the roster.
    pub fn apply_piece(
        &self,
        from: &id::Vm,
        epoch: u64,
        base: u64,
        changes: (Delta, Option<Scope>),
    ) {
        let (delta, scope) = &changes;
        let has_changes = delta.is_full
            || scope.is_some()
            || !delta.upstreams.is_empty()
            || !delta.vms.is_empty();
        let now = Instant::now();
        self.joined.get_or_init(|| now);
        self.merged().apply_piece(from, epoch, base, changes, now);
        if has_changes {
            self.sync_placement();
        }
    }

    /// Drops the roster of a control VM that is no longer followed.
    pub fn unfollow(&self, vm: &id::Vm) {
        self.merged().unfollow(vm);
        self.sync_placement();
    }

    /// When an upstream was started, in Unix milliseconds as it stated; none if it is not known any more.
    pub fn upstream_born(&self, upstream: &id::Upstream) -> Option<u64> {
        let merged = self.merged();
        merged.upstream(upstream).map(|known| known.record.stamp.start_time_ms)
    }

    /// The entry VMs that a caller in the region should use for the host.
    pub fn directory_addresses(&self, region: &id::Region, host: &str) -> Vec<SocketAddr> {
        let homes = self.routing().table.map(|table| table.homes(host)).unwrap_or_default();
        let merged = self.merged();
        let all = merged.all_vms(Role::Entry);
        let addresses = lookup::addresses(region, &homes, merged.vms(Role::Entry), all);
        lookup::select(&addresses, self.random())
    }

    /// How long a directory answer may be cached.
    pub fn directory_ttl(&self) -> Duration {
        self.node.entry.as_ref().map_or(Duration::ZERO, |entry| entry.directory_time)
    }

    /// Chooses a random other entry VM of the region that is available and reaches upstreams, and is not in `tried`.
    pub fn random_vm_in(
        &self,
        region: &id::Region,
        tried: &[id::Vm],
    ) -> Option<(id::Vm, SocketAddr)> {
        let own_vm = self.node.vm();
        let merged = self.merged();
        let ready = merged.vms(Role::Entry).filter(|vm| {
            vm.region == *region
                && vm.ready
                && vm.standing == Standing::Ready
                && !vm.without_reach
                && vm.vm != own_vm
                && !tried.contains(&vm.vm)
        });
        let mut rng = self.rng.lock();
        let vm = ready.choose(&mut *rng)?;
        Some((vm.vm.clone(), vm.forwards?))
    }
}
