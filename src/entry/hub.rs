//! What all parts of an entry daemon share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::catalogue;
use crate::catalogue::Progress;
use crate::catalogue::View;
use crate::cutoff::Cutoff;
use crate::entry::Dispatch;
use crate::entry::Fleet;
use crate::entry::Job;
use crate::entry::quota::Quota;
use crate::entry::running::Running;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::client::Client;
use crate::http::memory::Budget;
use crate::id;
use crate::metrics::Metrics;
use crate::settings::Site;
use crate::settings::site::Vm;
use crate::sync::Mutex;
use crate::unit::Incarnation;
use crate::unit::Version;
use crate::wire;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

mod limits;
mod region;

/// A VM of another region that no link reached for this long is left out of the directory.
const REACHED: Duration = Duration::from_secs(5);

/// When to come back, to another VM.
const ELSEWHERE: Duration = Duration::from_millis(500);
/// Incarnations count microseconds, so a second's worth is above any that this VM had before.
const REINCARNATION_STEP: u64 = 1_000_000;

/// An entry VM that takes requests.
#[derive(Debug, Clone)]
pub struct Live {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where callers go.
    pub callers: SocketAddr,
}

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
    /// The memory for the bodies of requests and answers.
    pub memory: Budget,
    /// Requests under a key that are in progress here.
    pub running: Running,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
    view: watch::Sender<Arc<View>>,
    dispatch: Mutex<Dispatch>,
    fleet: Mutex<Fleet>,
    quota: Mutex<Quota>,
    confirmed: Mutex<Option<Instant>>,
    rng: Mutex<SmallRng>,
    mesh: OnceLock<Mesh>,
    reached: Mutex<BTreeMap<id::Vm, Instant>>,
    draining: watch::Sender<bool>,
    cutoff: Cutoff,
    incarnation: AtomicU64,
    ledgers: Mutex<BTreeMap<id::Region, id::Vm>>,
    streams: AtomicUsize,
}

impl Hub {
    /// The state of a daemon on that VM that has just started. The seed drives choices and jitter.
    pub fn new(
        me: id::Vm,
        place: Vm,
        site: Arc<Site>,
        (incarnation, seed): (Incarnation, u64),
        log: Logger,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let memory = Budget::new(site.memory.bodies());
        let dispatch = Mutex::new(Dispatch::new(&me, &place.region, incarnation, rng.random()));
        let quota = Mutex::new(Quota::new(me.clone(), Instant::now()));
        let fleet = Mutex::new(Fleet::new(&me, &site, rng.random(), Instant::now()));
        Self {
            me,
            place,
            memory: memory.clone(),
            site,
            client: Client::new(),
            running: Running::new(memory),
            metrics: Metrics::new(),
            log,
            view: watch::Sender::new(Arc::default()),
            dispatch,
            fleet,
            quota,
            confirmed: Mutex::default(),
            rng: Mutex::new(rng),
            mesh: OnceLock::new(),
            reached: Mutex::default(),
            draining: watch::Sender::new(false),
            cutoff: Cutoff::default(),
            incarnation: AtomicU64::new(incarnation.get()),
            ledgers: Mutex::default(),
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
        self.dispatch.lock()
    }

    /// The VMs and upstreams of the region; held for the length of one step, never across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock()
    }

    /// The limits of owners; held for the length of one step, never across an await.
    pub fn quota(&self) -> MutexGuard<'_, Quota> {
        self.quota.lock()
    }

    /// Does something with the random numbers of this process.
    pub fn random<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        draw(&mut self.rng.lock())
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

    /// Where to hand a request to in another region: any VM there that was reached lately.
    pub fn forward_address(&self, region: &id::Region) -> Option<SocketAddr> {
        let there: Vec<Live> =
            self.away().into_iter().filter(|live| live.region == *region).collect();
        let chosen = self.random(|rng| there.choose(rng).map(|live| live.vm.clone()))?;
        self.site.vms.get(&chosen)?.entry.as_ref().map(|entry| entry.forwards)
    }

    /// Entry VMs that take requests: those of the own region that are alive, then those of other regions that
    /// answered lately.
    pub fn live(&self) -> Vec<Live> {
        let places = self.fleet().places(Instant::now());
        let here =
            places.into_iter().filter(|(_, place)| !place.draining).map(|(vm, place)| Live {
                vm,
                region: self.place.region.clone(),
                data_centre: place.data_centre,
                callers: place.callers,
            });
        let mut live: Vec<Live> = here.collect();
        // The caller stands close to this VM's data centre as a rule.
        live.sort_by_key(|place| place.data_centre != self.place.data_centre);
        live.extend(self.away());
        live
    }

    /// Entry VMs of other regions that answered lately.
    fn away(&self) -> Vec<Live> {
        let reached = self.reached.lock();
        let others = self.site.vms.iter().filter(|(name, vm)| {
            vm.region != self.place.region
                && reached.get(*name).is_some_and(|at| at.elapsed() < REACHED)
        });
        let live = others.filter_map(|(name, vm)| {
            Some(Live {
                vm: name.clone(),
                region: vm.region.clone(),
                data_centre: vm.data_centre.clone(),
                callers: vm.entry.as_ref()?.callers,
            })
        });
        live.collect()
    }

    /// Notes that an entry VM of another region takes requests, or that it doesn't.
    pub fn note_reached(&self, vm: &id::Vm, takes_requests: bool) {
        let mut reached = self.reached.lock();
        if takes_requests {
            reached.insert(vm.clone(), Instant::now());
        } else {
            reached.remove(vm);
        }
    }

    /// Notes how long a trip to a VM of another region takes.
    pub fn note_trip(&self, vm: &id::Vm, trip: Duration) {
        let region = self.site.region(vm).filter(|region| *region != self.region());
        if let Some(region) = region {
            self.dispatch().trip(region, trip, Instant::now());
        }
    }

    /// Stops taking requests; those in progress go on.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// When requests that are left are cut off.
    pub const fn cutoff(&self) -> &Cutoff {
        &self.cutoff
    }

    /// Whether the request is expected to be cut off, by twice the time that it usually takes.
    pub fn outlasts_shutdown(&self, job: &Job) -> bool {
        let Some(cutoff) = self.cutoff.at().filter(|at| *at < job.deadline) else { return false };
        let left = cutoff.saturating_duration_since(Instant::now());
        left < self.dispatch().usual_time(job) * 2
    }

    /// Refuses a request that is cut off, or that would be.
    pub fn cutoff_refusal(&self, ran: Ran) -> Refusal {
        match ran {
            Ran::No => self.draining_refusal(),
            Ran::Unknown => {
                let text = "this VM stopped before the request had ended";
                Refusal::new(Reason::UpstreamFailed, text).with_ran(ran)
            }
        }
    }

    /// Refuses a request because this VM shuts down, and names another VM.
    pub fn draining_refusal(&self) -> Refusal {
        let text = match self.live().first() {
            Some(other) => format!("this VM shuts down; ask {}", other.callers),
            None => "this VM shuts down; ask the directory for another".to_owned(),
        };
        Refusal::new(Reason::Draining, text).with_retry_after(ELSEWHERE)
    }

    /// What callers are told who name an entry that this VM's catalogue does not have.
    ///
    /// Failure: a VM has just started and no catalogue has come yet. Told that there is no such entry, its callers
    /// would give up for good on entries that all other VMs serve. A catalogue comes whole, so one that has any
    /// version may be believed.
    pub fn unknown_refusal(&self) -> Refusal {
        if self.version() > Version::ZERO {
            return Refusal::new(Reason::UnknownEntry, "the catalogue has no such entry");
        }
        Refusal::new(Reason::Starting, "this VM has no catalogue yet; ask another or come back")
            .with_retry_after(ELSEWHERE)
    }

    /// Whether the daemon takes no more requests.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// The start of this daemon, as ledgers and upstreams' hosts know it.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.incarnation.load(Ordering::Relaxed))
    }

    /// Takes a higher incarnation: this one was given up as gone, so its claims are no longer granted.
    pub fn reincarnate(&self) {
        let before = self.incarnation.fetch_add(REINCARNATION_STEP, Ordering::Relaxed);
        let next = before + REINCARNATION_STEP;
        warn!(self.log, "this VM was given up as gone and starts anew"; "incarnation" => next);
    }

    /// Which control VM of a region's ledger answered last.
    pub fn last_ledger(&self, region: &id::Region) -> Option<id::Vm> {
        self.ledgers.lock().get(region).cloned()
    }

    /// Notes which control VM of a region's ledger answered.
    pub fn note_ledger(&self, region: &id::Region, vm: &id::Vm) {
        let mut ledgers = self.ledgers.lock();
        if ledgers.get(region) != Some(vm) {
            ledgers.insert(region.clone(), vm.clone());
        }
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
        let mut vms: Vec<(&id::Vm, &Vm)> =
            self.site.vms.iter().filter(|(_, vm)| vm.control.is_some()).collect();
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
