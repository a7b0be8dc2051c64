//! What an entry daemon does with calls and casts of other processes, and what it asks of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future;
use futures::future::BoxFuture;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Hub;
use crate::id;
use crate::unit::Version;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::link::Handler;

/// Who asks for a newer catalogue is answered within this, newer or not; it is a heartbeat as well.
pub const WATCH: Duration = Duration::from_millis(1000);
/// VMs of each other region that are greeted in a round. With 350 VMs in five regions that is 12 questions in 1.5 s;
/// all of them would be 230 a second, more than a VM's whole budget. Those of the last three rounds are in the
/// directory, so a caller is told of up to ten VMs away.
const GREETED: usize = 3;
/// Another process answers a question about its state within this.
const ASK: Duration = Duration::from_millis(1500);
/// After a failed question the next one waits so long.
const PAUSE: Duration = Duration::from_millis(200);
/// Entry VMs of other regions are greeted this often, so that the directory names only VMs that were reached.
const GREET: Duration = Duration::from_millis(1500);

/// Serves the peers of an entry daemon.
pub struct Service {
    hub: Arc<Hub>,
}

impl Service {
    /// A service on that state.
    pub fn new(hub: Arc<Hub>) -> Self {
        Self { hub }
    }
}

impl Handler for Service {
    fn call(&self, _from: Peer, request: Request) -> BoxFuture<'static, Reply> {
        let hub = self.hub.clone();
        match request {
            Request::Watch { have } => newer(hub, have).boxed(),
            Request::InForce => future::ready(in_force(&hub)).boxed(),
            Request::Room => {
                let room = hub.dispatch().room();
                future::ready(Reply::Room(room)).boxed()
            }
            _ => future::ready(Reply::Unsupported).boxed(),
        }
    }

    fn cast(&self, from: Peer, cast: Cast) {
        match cast {
            Cast::Group { .. } | Cast::Heard(_) => (),
            Cast::Quarantine(report) => self.hub.crashes_told(&from, &report),
            Cast::Demand(demand) => self.hub.demanded(&from.vm, &demand),
            Cast::Grant(grant) => self.hub.quota().granted(&grant, Instant::now()),
            Cast::Slots(message) => self.hub.slots_told(&from.vm, &message),
            Cast::Membership(message) => self.hub.receive(&from.vm, message),
        }
    }
}

fn in_force(hub: &Hub) -> Reply {
    Reply::InForce { version: hub.version(), takes_requests: !hub.is_draining() }
}

/// A VM that is behind gets the catalogue from any VM that is ahead, so an isolated region brings up its own.
async fn newer(hub: Arc<Hub>, have: Version) -> Reply {
    let mut views = hub.views();
    let newer = views.wait_for(|view| view.version() > have);
    let delta = match time::timeout(WATCH, newer).await {
        Ok(Ok(view)) => view.delta(have),
        _ => None,
    };
    Reply::Delta(delta)
}

/// Follows the catalogue at the nearest control VM that answers.
pub async fn follow(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    let mut turn = 0;
    loop {
        let sources = hub.controls();
        let asked = tokio::select! {
            asked = watch_one(&hub, &sources, turn) => asked,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        if !asked {
            turn += 1;
            time::sleep(PAUSE).await;
        }
    }
}

/// Follows the catalogue at all others in turn, those first that tell of a newer one.
///
/// Failure: the control VM that this one follows is cut off from the others but not from here. It answers that
/// nothing has changed, for hours, while changes are accepted elsewhere. Membership tells which neighbour is ahead,
/// and the round through all finds out the rest.
pub async fn compare(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    let mut turn = 0;
    loop {
        let sources = match hub.newest() {
            Some(vm) => vec![Peer::new(vm, Role::Entry)],
            None => hub.controls().into_iter().chain(hub.neighbours()).collect(),
        };
        turn += 1;
        let asked = tokio::select! {
            asked = watch_one(&hub, &sources, turn) => asked,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        if !asked {
            time::sleep(PAUSE).await;
        }
    }
}

async fn watch_one(hub: &Hub, sources: &[Peer], turn: usize) -> bool {
    let Some(mesh) = hub.mesh() else { return false };
    if sources.is_empty() {
        return false;
    }
    let source = &sources[turn % sources.len()];
    let request = Request::Watch { have: hub.version() };
    match mesh.call(source, request, WATCH * 2).await {
        Ok(Reply::Delta(delta)) => {
            if let Some(delta) = delta {
                hub.take(&delta);
            }
            true
        }
        _ => false,
    }
}

/// Greets some entry VMs of each other region again and again, others each time.
pub async fn greet(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    loop {
        let greeted = hub.some_away();
        let asked = future::join_all(greeted.iter().map(|vm| hub.version_at(vm)));
        tokio::select! {
            _ = asked => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        tokio::select! {
            () = time::sleep(GREET) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

impl Hub {
    /// A few entry VMs of each other region, drawn anew each time.
    pub(super) fn some_away(&self) -> Vec<id::Vm> {
        let mut regions: BTreeMap<&id::Region, Vec<&id::Vm>> = BTreeMap::new();
        for (name, vm) in self.site.vms.iter().filter(|(_, vm)| vm.entry.is_some()) {
            if vm.region != self.place.region {
                regions.entry(&vm.region).or_default().push(name);
            }
        }
        let drawn = |vms: &Vec<&id::Vm>| -> Vec<id::Vm> {
            self.random(|rng| vms.choose_multiple(rng, GREETED).map(|vm| (*vm).clone()).collect())
        };
        regions.values().flat_map(drawn).collect()
    }

    /// A VM of the region that has a newer catalogue in force, by membership.
    fn newest(&self) -> Option<id::Vm> {
        let (vm, version) = self.fleet().newest(Instant::now())?;
        (version > self.version()).then_some(vm)
    }

    /// Which version of the catalogue is in force on each entry VM; none where a VM can't be asked.
    pub async fn versions(&self) -> Vec<(id::Vm, Option<Version>)> {
        let entries = self.site.vms.iter().filter(|(_, vm)| vm.entry.is_some());
        let asked = entries.map(|(name, _)| async { (name.clone(), self.version_at(name).await) });
        future::join_all(asked).await
    }

    async fn version_at(&self, vm: &id::Vm) -> Option<Version> {
        if *vm == self.me {
            return Some(self.version());
        }
        let peer = Peer::new(vm.clone(), Role::Entry);
        let asked = Instant::now();
        match self.mesh()?.call(&peer, Request::InForce, ASK).await {
            Ok(Reply::InForce { version, takes_requests }) => {
                self.note_reached(vm, takes_requests);
                self.note_trip(vm, asked.elapsed() / 2);
                Some(version)
            }
            _ => None,
        }
    }
}
