//! Updates the placement when the roster or the routing state changes.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use slog::info;
use tokio::time::Instant;

use super::State;
use crate::decide::place::Cold;
use crate::decide::place::Endpoint;
use crate::decide::place::OpenUpstreams;
use crate::decide::place::Sender;
use crate::decide::turns::SETTLING_TIME;
use crate::id;
use crate::roster::MergedTable;
use crate::roster::Standing;
use crate::roster::merged::Upstream;
use crate::roster::slice::Level;
use crate::roster::slice::Position;
use crate::routing::Service;
use crate::wire::Role;

impl State {
    /// Passes the current upstreams and the number of entry VMs to the placement.
    pub(super) fn sync_placement(&self) {
        let routing = self.routing();
        let Some(table) = &routing.table else { return };
        let merged = self.merged();
        // Includes VMs that are currently silent, so that a returning VM is counted at once.
        let local_vms = merged.all_vms(Role::Entry).filter(|vm| vm.region == self.node.region);
        let own_vm = self.node.vm();
        let names: BTreeSet<&id::Vm> = local_vms.map(|vm| &vm.vm).chain([&own_vm]).collect();
        let level = merged.vm_level(&self.node.region);
        let now = Instant::now();
        let settled_at = *self.joined.get().unwrap_or(&now) + SETTLING_TIME;
        let peers = Peers { own_vm: &own_vm, names, level, epoch: self.epoch, settled_at };
        let local: Vec<&Upstream> = merged
            .upstreams()
            .filter(|upstream| {
                self.node.region_of(&upstream.record.data_centre) == Some(&self.node.region)
            })
            .collect();
        let mut senders: HashMap<String, Sender> = HashMap::new();
        for upstream in &local {
            let service = &upstream.record.service;
            if !senders.contains_key(service) {
                let level = merged.upstream_level(&self.node.region, service);
                senders.insert(service.clone(), peers.sender(level));
            }
        }
        let seen = local.into_iter().map(|upstream| {
            let is_evacuated = routing.evacuated.contains(&upstream.record.data_centre);
            let service = &upstream.record.service;
            to_seen(upstream, table.service(service), is_evacuated, senders[service].count())
        });
        let seen = seen.collect();
        let remote = self.remote_upstreams(&merged, &routing.evacuated);
        let vms = merged.entry_vm_count();
        let known_vms = peers.names.len();
        let known_upstreams = merged.upstreams().count();
        drop(merged);
        self.quarantine().set_upstreams(known_upstreams);
        if self.joined.get().is_some() {
            self.meter().set_vm_count(vms, now);
        }
        self.log_senders(&senders, known_vms, now);
        self.place().sync(seen, senders, now);
        self.regions().sync(remote);
        self.updates.send_replace(());
    }

    /// Logs changes of the VMs that this VM shares turns with.
    fn log_senders(&self, senders: &HashMap<String, Sender>, known_vms: usize, now: Instant) {
        let place = self.place();
        let changed = senders.iter().filter(|(service, new)| place.sender(service) != *new);
        for (service, sender) in changed {
            info!(self.log, "senders.changed"; "service" => service, "vms" => sender.count(),
                "known_vms" => known_vms,
                "settles_in_ms" => sender.settles_in(now).as_millis() as u64);
        }
    }

    /// The available upstreams of other regions, by service.
    fn remote_upstreams(
        &self,
        merged: &MergedTable,
        evacuated: &BTreeSet<id::DataCentre>,
    ) -> HashMap<String, OpenUpstreams> {
        let mut remote: HashMap<String, OpenUpstreams> = HashMap::new();
        for upstream in merged.upstreams() {
            let record = &upstream.record;
            let is_available = record.standing == Standing::Ready
                && !upstream.silent
                && !evacuated.contains(&record.data_centre);
            let region = self.node.region_of(&record.data_centre);
            let Some(region) = region.filter(|region| is_available && **region != self.node.region)
            else {
                continue;
            };
            let open = remote.entry(record.service.clone()).or_default();
            open.entry(region.clone()).or_default().push(record.id.clone());
        }
        remote
    }
}

/// The entry VMs of this region that this VM knows.
struct Peers<'a> {
    own_vm: &'a id::Vm,
    names: BTreeSet<&'a id::Vm>,
    level: Level,
    epoch: Instant,
    settled_at: Instant,
}

impl Peers<'_> {
    /// The VMs that send to the same shard of a service's upstreams.
    fn sender(&self, level: Level) -> Sender {
        let own = Position::of_vm(self.own_vm);
        let joins = |name: &&id::Vm| level.joins(own, Position::of_vm(name));
        let names = self.names.iter().copied().filter(joins);
        // VMs of several shards send to these upstreams, but only those of one are known.
        let unknown = self.level.bits().saturating_sub(level.bits());
        let nth = own.shard(self.level) >> level.bits();
        Sender::new(self.own_vm.clone(), names, self.epoch)
            .with_shard(nth as u64, unknown)
            .with_settled_at(self.settled_at)
    }
}

/// Converts an upstream for the placement. The connection limit is divided among the entry VMs of
/// the region, the only ones that connect to it.
fn to_seen(
    upstream: &Upstream,
    service: Option<&Arc<Service>>,
    is_evacuated: bool,
    senders: u32,
) -> Endpoint {
    let record = &upstream.record;
    let connections = service.map_or(u32::MAX, |service| (service.connections / senders).max(1));
    let rate = service.and_then(|service| service.cold_rate);
    let cold = rate.map(|rate| Cold { until: upstream.cold_until, rate });
    let engine = service.and_then(|service| service.engine.as_ref());
    Endpoint {
        id: record.id.clone(),
        incarnation: record.stamp.start_time_ms,
        service: record.service.clone(),
        address: record.address,
        slots: record.slots,
        memory: engine.map(|engine| engine.memory),
        connections,
        cold,
        open: record.standing == Standing::Ready && !is_evacuated,
        draining: record.standing == Standing::Draining,
        silent: upstream.silent,
    }
}
