//! What all parts of an entry daemon share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::catalogue;
use crate::catalogue::Progress;
use crate::catalogue::View;
use crate::entry::Dispatch;
use crate::entry::running::Running;
use crate::http::client::Client;
use crate::id;
use crate::metrics::Metrics;
use crate::settings::Site;
use crate::settings::site::Vm;
use crate::unit::Incarnation;
use crate::unit::Version;
use crate::upstream::Announcement;
use crate::wire;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

/// A VM that no link reached for this long is left out of the directory.
const REACHED: Duration = Duration::from_secs(5);

/// The shared state of an entry daemon.
pub struct Hub {
    /// This VM.
    pub me: id::Vm,
    /// Its place, by the settings.
    pub place: Vm,
    /// The site's settings.
    pub site: Arc<Site>,
    /// Connections to upstreams and to other VMs.
    pub client: Client,
    /// Requests under a key that are in progress here.
    pub running: Running,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
    view: watch::Sender<Arc<View>>,
    dispatch: Mutex<Dispatch>,
    rng: Mutex<SmallRng>,
    mesh: OnceLock<Mesh>,
    reached: Mutex<BTreeMap<id::Vm, Instant>>,
    draining: watch::Sender<bool>,
    streams: AtomicUsize,
}

impl Hub {
    /// The state of a daemon on that VM that has just started. The seed drives choices and jitter.
    pub fn new(me: id::Vm, place: Vm, site: Arc<Site>, seed: u64, log: Logger) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            me,
            place,
            site,
            client: Client::new(),
            running: Running::default(),
            metrics: Metrics::new(),
            log,
            view: watch::Sender::new(Arc::default()),
            dispatch: Mutex::new(Dispatch::new(rng.random())),
            rng: Mutex::new(rng),
            mesh: OnceLock::new(),
            reached: Mutex::default(),
            draining: watch::Sender::new(false),
            streams: AtomicUsize::new(0),
        }
    }

    /// The region that this VM stands in.
    pub fn region(&self) -> &id::Region {
        &self.place.region
    }

    /// Gives the links to other processes, once they can be made.
    pub fn connect(&self, mesh: Mesh) {
        self.mesh.set(mesh).ok();
    }

    /// The links to other processes.
    pub fn mesh(&self) -> Option<&Mesh> {
        self.mesh.get()
    }

    /// The decisions; held for the length of one, never across an await.
    pub fn dispatch(&self) -> MutexGuard<'_, Dispatch> {
        self.dispatch.lock().expect("no panic while locked")
    }

    /// Does something with the random numbers of this process.
    pub fn random<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        draw(&mut self.rng.lock().expect("no panic while locked"))
    }

    /// The catalogue in force here.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Tells of each newer catalogue.
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Takes what changed in the catalogue; never steps back.
    pub fn take(&self, delta: &catalogue::Delta) {
        self.view.send_if_modified(|view| {
            let mut next = View::clone(view);
            let moved = next.apply(delta) == Progress::Moved;
            if moved {
                info!(self.log, "catalogue in force"; "version" => next.version().get());
                *view = Arc::new(next);
            }
            moved
        });
    }

    /// The version of the catalogue in force here.
    pub fn version(&self) -> Version {
        self.view.borrow().version()
    }

    /// Takes an announcement, and tells the VMs of the region.
    pub fn announce(&self, announcement: Announcement) {
        self.dispatch().announce(announcement, Instant::now());
        self.spread();
    }

    /// Takes an upstream's leaving, and tells the VMs of the region.
    pub fn leave(&self, id: &id::Upstream, incarnation: Incarnation) {
        info!(self.log, "upstream leaves"; "upstream" => %id);
        self.dispatch().leave(id, incarnation, Instant::now());
        self.spread();
    }

    /// Sends what changed among the upstreams to the other VMs of the region.
    fn spread(&self) {
        let Some(mesh) = self.mesh() else { return };
        let updates = self.dispatch().updates(Instant::now());
        for peer in self.neighbours() {
            for update in &updates {
                mesh.cast(&peer, Cast::Upstream(update.clone()));
            }
        }
    }

    /// The other entry daemons of the region.
    pub fn neighbours(&self) -> Vec<Peer> {
        let others = self.site.vms.iter().filter(|(name, vm)| {
            **name != self.me && vm.entry.is_some() && vm.region == self.place.region
        });
        others.map(|(name, _)| Peer::new(name.clone(), Role::Entry)).collect()
    }

    /// Where upstreams of this region announce, besides here.
    pub fn other_announce_addresses(&self) -> Vec<SocketAddr> {
        let neighbours = self.neighbours();
        let entries = neighbours.iter().filter_map(|peer| self.site.vms[&peer.vm].entry.as_ref());
        entries.map(|entry| entry.upstreams).collect()
    }

    /// Notes that a peer was heard from.
    pub fn heard(&self, peer: &Peer) {
        if peer.role == Role::Entry {
            let mut reached = self.reached.lock().expect("no panic while locked");
            reached.insert(peer.vm.clone(), Instant::now());
        }
    }

    /// Entry VMs that were heard from a moment ago, and this one unless it drains; own region first.
    pub fn live(&self) -> Vec<(id::Vm, &Vm)> {
        let reached = self.reached.lock().expect("no panic while locked").clone();
        let here = |name: &id::Vm| *name == self.me && !self.is_draining();
        let heard = |name: &id::Vm| reached.get(name).is_some_and(|at| at.elapsed() < REACHED);
        let vms = self.site.vms.iter().filter(|(name, vm)| {
            vm.entry.is_some() && (here(name) || (**name != self.me && heard(name)))
        });
        let mut live: Vec<(id::Vm, &Vm)> = vms.map(|(name, vm)| (name.clone(), vm)).collect();
        live.sort_by_key(|(_, vm)| vm.region != self.place.region);
        live
    }

    /// Stops taking requests; those in progress go on.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Whether the daemon takes no more requests.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Tells when the daemon begins to drain.
    pub fn drained(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Requests in progress.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Stream {
        self.streams.fetch_add(1, Ordering::Relaxed);
        Stream { hub: self.clone() }
    }

    /// Passes a change on to a control VM, the nearest first.
    pub async fn change(
        &self,
        change: &catalogue::Change,
    ) -> Result<catalogue::Reply, wire::message::Unavailable> {
        use wire::message::Unavailable;
        let Some(mesh) = self.mesh() else { return Err(Unavailable::NoLeader) };
        let mut worst = Unavailable::NoLeader;
        for peer in self.controls() {
            let asked = mesh.call(&peer, wire::Request::Change(change.clone()), CHANGE).await;
            match asked {
                Ok(wire::Reply::Changed(Ok(reply))) => return Ok(reply),
                Ok(wire::Reply::Changed(Err(Unavailable::NoLeader))) => (),
                Err(error) if error.is_unsent() => (),
                // The change has an operation id: the next replica gives the first answer if it was carried out.
                Ok(_) | Err(_) => worst = Unavailable::Unknown,
            }
        }
        Err(worst)
    }

    /// The control daemons that hold the catalogue, those of the own region first.
    pub fn controls(&self) -> Vec<Peer> {
        let holds = |vm: &Vm| vm.control.as_ref().is_some_and(|control| control.catalogue);
        let mut vms: Vec<(&id::Vm, &Vm)> =
            self.site.vms.iter().filter(|(_, vm)| holds(vm)).collect();
        vms.sort_by_key(|(_, vm)| vm.region != self.place.region);
        vms.into_iter().map(|(name, _)| Peer::new(name.clone(), Role::Control)).collect()
    }
}

/// A change is committed within a trip between regions and a sync of a disk; this is many times that.
const CHANGE: Duration = Duration::from_secs(3);

/// Counts one request in progress.
pub struct Stream {
    hub: Arc<Hub>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.hub.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
