//! What the placement is told of upstreams, whenever the roster or the routing state has changed.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use super::Hub;
use crate::decide::place::Cold;
use crate::decide::place::Open;
use crate::decide::place::Seen;
use crate::decide::place::Share;
use crate::id;
use crate::roster::Merged;
use crate::roster::Standing;
use crate::roster::merged::Upstream;
use crate::routing::Service;
use crate::wire::Role;

impl Hub {
    /// Gives the placement all that is known of the region's upstreams.
    pub(super) fn sync(&self) {
        let routing = self.routing();
        let Some(table) = &routing.table else { return };
        let merged = self.merged();
        // Those that were heard of at all: a VM that comes back is counted before it is heard again.
        let senders = merged.all_vms(Role::Entry).filter(|vm| vm.region == self.node.region);
        let me = self.node.vm();
        let names: BTreeSet<&id::Vm> = senders.map(|vm| &vm.vm).chain([&me]).collect();
        let rank = names.iter().take_while(|name| ***name < me).count();
        let share = Share::new(rank as u32, names.len() as u32);
        let here = merged.upstreams().filter(|upstream| {
            self.node.region_of(&upstream.said.data_centre) == Some(&self.node.region)
        });
        let seen = here.map(|upstream| {
            let is_evacuated = routing.evacuated.contains(&upstream.said.data_centre);
            see(upstream, table.service(&upstream.said.service), is_evacuated, share.senders())
        });
        let seen = seen.collect();
        let elsewhere = self.elsewhere(&merged, &routing.evacuated);
        let vms = merged.all_vms(Role::Entry).count() as u32;
        drop(merged);
        self.meter().set_vm_count(vms);
        self.place().sync(seen, share);
        self.regions().sync(elsewhere);
        self.news.send_replace(());
    }

    /// The upstreams of other regions that take requests, by service.
    fn elsewhere(
        &self,
        merged: &Merged,
        evacuated: &BTreeSet<id::DataCentre>,
    ) -> HashMap<String, Open> {
        let mut elsewhere: HashMap<String, Open> = HashMap::new();
        for upstream in merged.upstreams() {
            let said = &upstream.said;
            let is_open = said.standing == Standing::Ready
                && !upstream.silent
                && !evacuated.contains(&said.data_centre);
            let region = self.node.region_of(&said.data_centre);
            let Some(region) = region.filter(|region| is_open && **region != self.node.region)
            else {
                continue;
            };
            let open = elsewhere.entry(said.service.clone()).or_default();
            open.entry(region.clone()).or_default().push(said.id.clone());
        }
        elsewhere
    }
}

/// An upstream as the placement needs it. What all VMs share is divided evenly among those of the region: upstreams take
/// connections from their own region alone.
fn see(upstream: &Upstream, service: Option<&Arc<Service>>, away: bool, senders: u32) -> Seen {
    let said = &upstream.said;
    let connections = service.map_or(u32::MAX, |service| (service.connections / senders).max(1));
    let rate = service.and_then(|service| service.cold_rate);
    let cold = rate.map(|rate| Cold { until: upstream.cold_until, rate });
    let engine = service.and_then(|service| service.engine.as_ref());
    Seen {
        id: said.id.clone(),
        born: said.stamp.born,
        service: said.service.clone(),
        address: said.address,
        slots: said.slots,
        memory: engine.map(|engine| engine.memory),
        connections,
        cold,
        open: said.standing == Standing::Ready && !away,
        silent: upstream.silent,
    }
}
