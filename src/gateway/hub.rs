//! What the tasks of an entry daemon share.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Adapter;
use super::metrics::Metrics;
use crate::clock;
use crate::decide::freshness;
use crate::decide::freshness::Freshness;
use crate::decide::freshness::Proof;
use crate::decide::place::Place;
use crate::decide::place::Regions;
use crate::decide::quota::Meter;
use crate::decide::retry::repeats::RepeatLimit;
use crate::decide::retry::repeats::Repeats;
use crate::directory::lookup;
use crate::http::client::Client;
use crate::id;
use crate::roster::Delta;
use crate::roster::Merged;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::routing::Table;
use crate::routing::state::Replicated;
use crate::settings::Node;
use crate::settings::Seeds;
use crate::unit::Version;
use crate::wire::Mesh;
use crate::wire::Role;

mod upstreams;

/// Connecting to an upstream or to another VM takes no longer than this: a trip between regions and back takes 110 ms,
/// and one lost packet is sent again after 200 ms or so.
const CONNECT: Duration = Duration::from_millis(500);

/// A VM that has just started waits so long for what it has to know, with the requests that come meanwhile: links between
/// regions are there after some 0.3 s, and upstreams check in once a second or so.
const STARTING: Duration = Duration::from_secs(2);

/// What it waits for is looked for this often at least.
const LOOK: Duration = Duration::from_millis(50);

/// The routing state in force.
#[derive(Debug, Clone, Default)]
pub struct Routing {
    /// Its number.
    pub revision: Version,
    /// The document made ready for lookups; none until there is one.
    pub table: Option<Arc<Table>>,
    /// The data centres that get nothing.
    pub evacuated: BTreeSet<id::DataCentre>,
}

/// The state of an entry daemon.
pub struct Hub {
    node: Arc<Node>,
    seeds: Seeds,
    log: Logger,
    adapter: Arc<dyn Adapter>,
    routing: Mutex<Routing>,
    merged: Mutex<Merged>,
    place: Mutex<Place>,
    regions: Mutex<Regions>,
    freshness: Mutex<Freshness>,
    meter: Mutex<Meter>,
    repeats: Mutex<HashMap<String, Repeats>>,
    presence: Mutex<Presence>,
    rng: Mutex<SmallRng>,
    client: Client,
    mesh: OnceLock<Mesh>,
    draining: watch::Sender<bool>,
    /// Rings when the routing state or the roster has changed.
    news: watch::Sender<()>,
    started: Instant,
    closed: AtomicBool,
    in_progress: AtomicUsize,
    /// When a request came last, in milliseconds since the start.
    last_request: AtomicU64,
    metrics: Metrics,
}

/// A request in progress; dropping it counts it out.
pub struct InProgress(Arc<Hub>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Hub {
    /// A hub that knows nothing yet. `born` is the wall clock in milliseconds since the Unix epoch.
    pub fn new(
        node: Arc<Node>,
        adapter: Arc<dyn Adapter>,
        born: u64,
        seed: u64,
        log: Logger,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entry = node.entry.as_ref();
        let excess = node.bounds.excess;
        let presence = Presence {
            vm: node.vm(),
            role: Role::Entry,
            stamp: Stamp::new(born, 0),
            nonce: seed,
            region: node.region.clone(),
            data_centre: node.data_centre.clone(),
            standing: Standing::Ready,
            ready: false,
            callers: entry.map(|entry| entry.callers),
            forwards: entry.map(|entry| entry.forwards),
            links: None,
        };
        Self {
            seeds: Seeds::new(&node),
            node,
            log,
            adapter,
            routing: Mutex::default(),
            merged: Mutex::default(),
            place: Mutex::new(Place::new(SmallRng::from_rng(&mut rng))),
            regions: Mutex::default(),
            freshness: Mutex::default(),
            meter: Mutex::new(Meter::new(SmallRng::from_rng(&mut rng), excess)),
            repeats: Mutex::default(),
            presence: Mutex::new(presence),
            rng: Mutex::new(rng),
            client: Client::new().with_connect(CONNECT),
            mesh: OnceLock::new(),
            draining: watch::Sender::new(false),
            news: watch::Sender::new(()),
            started: Instant::now(),
            closed: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            last_request: AtomicU64::new(0),
            metrics: Metrics::default(),
        }
    }

    /// Gives the links.
    pub fn connect(&self, mesh: Mesh) {
        self.mesh.set(mesh).ok();
    }

    /// The settings.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The seeds at present.
    pub fn seeds(&self) -> &Seeds {
        &self.seeds
    }

    /// Takes newer settings in force; of these only the seeds may change while the daemon runs.
    pub fn reload(&self, node: &Node) {
        self.seeds.reload(node, self.mesh(), &self.log);
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// How requests and answers look on the wire.
    pub fn adapter(&self) -> &dyn Adapter {
        &*self.adapter
    }

    /// The metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The metrics as text.
    pub fn metrics_text(&self) -> String {
        let (upstreams, vms) = {
            let merged = self.merged();
            (merged.upstreams().count(), merged.vms(Role::Entry).filter(|vm| vm.ready).count())
        };
        let version = self.routing().table.map_or(0, |table| table.version().get());
        self.metrics.encode(upstreams, vms, self.in_progress(), version)
    }

    /// The connections to upstreams and other VMs.
    pub fn client(&self) -> &Client {
        &self.client
    }

    pub(super) fn mesh(&self) -> Option<&Mesh> {
        self.mesh.get()
    }

    /// The routing state in force.
    pub fn routing(&self) -> Routing {
        self.routing.lock().expect("no panic while locked").clone()
    }

    pub(super) fn place(&self) -> MutexGuard<'_, Place> {
        self.place.lock().expect("no panic while locked")
    }

    pub(super) fn regions(&self) -> MutexGuard<'_, Regions> {
        self.regions.lock().expect("no panic while locked")
    }

    pub(super) fn merged(&self) -> MutexGuard<'_, Merged> {
        self.merged.lock().expect("no panic while locked")
    }

    /// A random number.
    pub fn draw(&self) -> u64 {
        self.rng.lock().expect("no panic while locked").random()
    }

    /// This VM leaves: it says so in the directory, and each answer ends its connection.
    pub fn drain(&self) {
        self.presence.lock().expect("no panic while locked").standing = Standing::Draining;
        self.draining.send_replace(true);
    }

    /// This VM takes no more requests: one that came now might not end before the process is ended by force.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        // Whoever follows the flag says so to the control VMs at once.
        self.draining.send_replace(true);
    }

    /// Whether this VM takes no more requests.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Whether this VM leaves.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Waits for a newer routing state or roster while this VM is starting, until that moment; whether to look again.
    ///
    /// Failure: all VMs lose power and come back. Callers that ask in the half second until this VM has heard of a document
    /// and of upstreams are refused, ask once more, are refused again, and give up on a request that could have run.
    pub async fn hears_more(&self, until: Instant) -> bool {
        let until = until.min(self.started + STARTING);
        if Instant::now() >= until {
            return false;
        }
        // News that came since the caller looked would be missed; it is found at the next look.
        let look = until.min(Instant::now() + LOOK);
        time::timeout_at(look, self.news.subscribe().changed()).await.ok();
        true
    }

    /// Turns true when this VM leaves.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Whether callers should come here: it knows where requests go and who may ask, and does not leave.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.serves()
    }

    /// Whether requests that come are served; a VM that leaves goes on for some seconds.
    fn takes_requests(&self) -> bool {
        !self.is_closed() && self.serves()
    }

    fn serves(&self) -> bool {
        let table = self.routing().table;
        table.is_some_and(|table| !table.has_organisations() || self.is_current())
    }

    /// Whether this VM may act by its document on what organisations' callers show.
    pub fn is_current(&self) -> bool {
        let Some(promised) = self.node.bounds.revocation else { return true };
        self.freshness().is_within(freshness::max_proof_age(promised), clock::now())
    }

    pub(super) fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().expect("no panic while locked")
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().expect("no panic while locked")
    }

    /// Takes a proof that there was no newer routing state.
    pub fn take_proof(&self, proof: Proof) {
        let was_current = self.is_current();
        let held = self.routing().revision;
        self.freshness().observe(proof, held, clock::now());
        if !was_current && self.is_current() {
            info!(self.log, "routing.proven"; "revision" => %proof.revision,
                "age_ms" => clock::now().saturating_duration_since(proof.at).as_millis() as u64);
            self.news.send_replace(());
        }
    }

    /// Counts a request in until it is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        let since = self.started.elapsed().as_millis() as u64;
        self.last_request.store(since, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// How long no request has come, nor is in progress.
    pub fn idle_for(&self) -> Duration {
        if self.in_progress() > 0 {
            return Duration::ZERO;
        }
        let last = Duration::from_millis(self.last_request.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(last)
    }

    /// Rings when the routing state or the roster has changed.
    pub(super) fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// The next statement of this VM about itself.
    pub fn state_presence(&self) -> Presence {
        let ready = self.takes_requests();
        let mut presence = self.presence.lock().expect("no panic while locked");
        presence.stamp.sequence += 1;
        presence.ready = ready;
        presence.clone()
    }

    /// A control VM knows this VM under that stamp. An earlier start of it had a later clock: this start goes above it, or
    /// nobody would take its word.
    pub fn overtake(&self, stamp: Stamp, nonce: u64) {
        let mut presence = self.presence.lock().expect("no panic while locked");
        if nonce != presence.nonce && stamp >= presence.stamp {
            presence.stamp = Stamp::new(stamp.born + 1, 0);
        }
    }

    /// Takes what a control VM says of upstreams and VMs.
    pub fn take_roster(&self, from: &id::Vm, epoch: u64, delta: Delta) {
        self.merged().take(from, epoch, delta, Instant::now());
        self.sync();
    }

    /// A control VM is followed no more.
    pub fn unfollow(&self, vm: &id::Vm) {
        self.merged().unfollow(vm);
        self.sync();
    }

    /// Takes a routing state in force, unless it is older than the present one.
    ///
    /// Failure: of two control VMs that are followed one lags, and its older document would send requests back to services
    /// that were taken away.
    pub fn take_routing(&self, state: Replicated) {
        let mut routing = self.routing.lock().expect("no panic while locked");
        if state.revision <= routing.revision {
            return;
        }
        let table = state.document.as_ref().map(|document| Arc::new(Table::new(document)));
        let version = table.as_ref().map_or(0, |table| table.version().get());
        info!(self.log, "routing.in_force"; "revision" => %state.revision, "version" => version,
            "evacuated" => state.evacuated.len());
        let evacuated = state.evacuated;
        *routing = Routing { revision: state.revision, table, evacuated };
        drop(routing);
        self.sync();
    }

    /// Whether a request to the service may be sent once more.
    pub fn may_repeat(&self, service: &str) -> bool {
        let vms = self.merged().all_vms(Role::Entry).count() as u32;
        self.with_repeats(service, |repeats| repeats.try_acquire(vms, Instant::now()))
    }

    /// A request to the service is sent for the first time.
    pub fn first_sent(&self, service: &str) {
        self.with_repeats(service, |repeats| repeats.record_first(Instant::now()));
    }

    fn with_repeats<T>(&self, service: &str, act: impl FnOnce(&mut Repeats) -> T) -> T {
        let bounds = &self.node.bounds;
        let limit = RepeatLimit {
            ratio: bounds.repeat_ratio,
            minimum: bounds.repeat_least,
            window: bounds.repeat_window,
        };
        let mut all = self.repeats.lock().expect("no panic while locked");
        if !all.contains_key(service) {
            all.insert(service.to_owned(), Repeats::new(limit));
        }
        act(all.get_mut(service).expect("it was just inserted where it was missing"))
    }

    /// Where a caller of that region connects for requests to that host.
    pub fn addresses(&self, region: &id::Region, host: &str) -> Vec<SocketAddr> {
        let homes = self.routing().table.map(|table| table.homes(host)).unwrap_or_default();
        let merged = self.merged();
        lookup::addresses(region, &homes, merged.vms(Role::Entry), merged.all_vms(Role::Entry))
    }

    /// How long an answer of the directory may be used.
    pub fn directory_time(&self) -> Duration {
        self.node.entry.as_ref().map_or(Duration::ZERO, |entry| entry.directory_time)
    }

    /// An entry VM of another region that takes requests, drawn at random, other than those.
    pub fn vm_in(&self, region: &id::Region, tried: &[id::Vm]) -> Option<(id::Vm, SocketAddr)> {
        let merged = self.merged();
        let ready = merged.vms(Role::Entry).filter(|vm| {
            vm.region == *region
                && vm.ready
                && vm.standing == Standing::Ready
                && !tried.contains(&vm.vm)
        });
        let mut rng = self.rng.lock().expect("no panic while locked");
        let vm = ready.choose(&mut *rng)?;
        Some((vm.vm.clone(), vm.forwards?))
    }
}
