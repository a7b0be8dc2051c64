//! State shared by the tasks of an entry daemon.

use std::collections::BTreeSet;
use std::sync::Arc;
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
use slog::Logger;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use self::retries::Issuers;
use super::Adapter;
use super::crashes::Breaks;
use super::metrics::Metrics;
use crate::clock;
use crate::cutoff::Cutoff;
use crate::decide::freshness;
use crate::decide::freshness::Freshness;
use crate::decide::freshness::Proof;
use crate::decide::place::Balancer;
use crate::decide::place::Regions;
use crate::decide::quarantine::Popular;
use crate::decide::quarantine::Quarantine;
use crate::decide::quota::Meter;
use crate::decide::reach::Reach;
use crate::decide::retry::Budget;
use crate::decide::retry::Budgets;
use crate::decide::room::Waiters;
use crate::decide::shortage::Returns;
use crate::decide::shortage::Shortages;
use crate::http::client::Client;
use crate::http::memory;
use crate::id;
use crate::roster::MergedTable;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::slice::Position;
use crate::routing::Table;
use crate::routing::state::Replicated;
use crate::settings::Node;
use crate::settings::Seeds;
use crate::sync::Mutex;
use crate::unit::Version;
use crate::wire::Mesh;
use crate::wire::Role;

mod pauses;
mod restrictions;
mod retries;
mod room;
mod roster;
mod shortage;
mod upstreams;

pub use retries::Permit;
pub use retries::Source;
pub use room::Ticket;

/// Covers a round trip between regions and one retransmitted SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its start a VM lets requests wait for a document and upstreams. Links between
/// regions take about 0.3 s, and upstreams check in about once a second.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Maximum interval between checks while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The routing state in force.
#[derive(Debug, Clone, Default)]
pub struct Routing {
    /// Its revision.
    pub revision: Version,
    /// The document, indexed for lookups; none until one is received.
    pub table: Option<Arc<Table>>,
    /// Data centres that get no requests.
    pub evacuated: BTreeSet<id::DataCentre>,
}

/// The state of an entry daemon.
pub struct State {
    pub(super) node: Arc<Node>,
    seeds: Seeds,
    pub(super) log: Logger,
    adapter: Arc<dyn Adapter>,
    routing: Mutex<Routing>,
    merged: Mutex<MergedTable>,
    place: Mutex<Balancer>,
    regions: Mutex<Regions>,
    freshness: Mutex<Freshness>,
    meter: Mutex<Meter>,
    /// The repeats that requests to services have earned.
    earned_repeats: Mutex<Budgets<String>>,
    issuers: Mutex<Issuers>,
    pub(super) quarantine: Mutex<Quarantine>,
    pub(super) breaks: Mutex<Breaks>,
    pub(super) popular: Mutex<Popular>,
    pub(super) reach: Mutex<Reach>,
    /// Notifies of requests that failed without an answer.
    pub(super) reach_doubts: Notify,
    presence: Mutex<Presence>,
    pub(super) rng: Mutex<SmallRng>,
    pub(super) client: Client,
    memory: memory::Budget,
    mesh: OnceLock<Mesh>,
    /// Also notifies of other changes that control VMs are to hear of at once.
    pub(super) draining: watch::Sender<bool>,
    /// Notifies of changes to the routing state and the roster.
    updates: watch::Sender<()>,
    /// Until when what is known of upstreams may be outdated, since this VM paused.
    doubt: watch::Sender<Option<Instant>>,
    started: Instant,
    /// The Unix epoch by this VM's clock at its start, from which all VMs count turns.
    epoch: Instant,
    /// When the first roster was received.
    joined: OnceLock<Instant>,
    closed: AtomicBool,
    cutoff: Cutoff,
    in_progress: Arc<AtomicUsize>,
    /// Requests that wait for a turn at an upstream.
    waiting: Arc<AtomicUsize>,
    /// Requests that wait for room at an upstream.
    waiters: Mutex<Waiters>,
    shortages: Mutex<Shortages>,
    returns: Mutex<Returns>,
    /// Notifies of room at upstreams.
    room_changes: watch::Sender<()>,
    /// Notifies of claims to room that can't wait for the next update.
    pub(super) claims_due: Notify,
    /// When the last request arrived, in milliseconds since the start.
    last_request: AtomicU64,
    pub(super) metrics: Metrics,
}

/// Counts a request until dropped.
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    /// Creates an empty state. `start_time_ms` is the Unix time in milliseconds.
    pub fn new(
        node: Arc<Node>,
        adapter: Arc<dyn Adapter>,
        start_time_ms: u64,
        seed: u64,
        log: Logger,
    ) -> Self {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let entry = node.entry.as_ref();
        let excess = node.bounds.excess;
        let presence = Presence {
            vm: node.vm(),
            role: Role::Entry,
            stamp: Stamp::new(start_time_ms, 0),
            nonce: seed,
            region: node.region.clone(),
            data_centre: node.data_centre.clone(),
            standing: Standing::Ready,
            ready: false,
            callers: entry.map(|entry| entry.callers),
            forwards: entry.map(|entry| entry.forwards),
            links: None,
            without_reach: false,
        };
        let vm = node.vm();
        let position = Position::of_vm(&vm);
        let earned_repeats = Budgets::new(Budget::new(node.bounds.repeats.earned(), clock::now()));
        let merged = MergedTable::default().with_position(position, node.data_centres.clone());
        Self {
            seeds: Seeds::new(&node),
            client: Client::new().with_connect(CONNECT_TIMEOUT).with_source(node.ip),
            memory: memory::Budget::new(node.memory.bodies()),
            node,
            log,
            adapter,
            routing: Mutex::default(),
            merged: Mutex::new(merged),
            place: Mutex::new(Balancer::new(SmallRng::from_rng(&mut rng))),
            regions: Mutex::default(),
            freshness: Mutex::default(),
            meter: Mutex::new(Meter::new(SmallRng::from_rng(&mut rng), excess)),
            earned_repeats: Mutex::new(earned_repeats),
            issuers: Mutex::default(),
            quarantine: Mutex::new(Quarantine::default().with_vm(vm)),
            breaks: Mutex::default(),
            popular: Mutex::default(),
            reach: Mutex::default(),
            reach_doubts: Notify::new(),
            presence: Mutex::new(presence),
            rng: Mutex::new(rng),
            mesh: OnceLock::new(),
            draining: watch::Sender::new(false),
            updates: watch::Sender::new(()),
            doubt: watch::Sender::new(None),
            started: now,
            epoch: now.checked_sub(Duration::from_millis(start_time_ms)).unwrap_or(now),
            joined: OnceLock::new(),
            closed: AtomicBool::new(false),
            cutoff: Cutoff::default(),
            in_progress: Arc::default(),
            waiting: Arc::default(),
            waiters: Mutex::default(),
            shortages: Mutex::default(),
            returns: Mutex::default(),
            room_changes: watch::Sender::new(()),
            claims_due: Notify::new(),
            last_request: AtomicU64::new(0),
            metrics: Metrics::default(),
        }
    }

    /// Sets the links to control VMs.
    pub fn set_mesh(&self, mesh: Mesh) {
        self.mesh.set(mesh).ok();
    }

    /// The settings.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The current seeds.
    pub fn seeds(&self) -> &Seeds {
        &self.seeds
    }

    /// Applies changed settings; only the seeds can change at run time.
    pub fn reload(&self, node: &Node) {
        self.seeds.reload(node, self.mesh(), &self.log);
    }

    /// The logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The HTTP codec and endpoints of this deployment.
    pub fn adapter(&self) -> &dyn Adapter {
        &*self.adapter
    }

    /// The metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The metrics in text format.
    pub fn metrics_text(&self) -> String {
        let (upstreams, vms) = {
            let merged = self.merged();
            (merged.upstreams().count(), merged.vms(Role::Entry).filter(|vm| vm.ready).count())
        };
        {
            let place = self.place();
            self.metrics.set_limited(place.limited_count());
            self.metrics.set_refusal_limited(place.refusal_limited_count());
            self.metrics.set_bounded(place.bounded_count(Instant::now()));
            self.metrics.set_waiting_for_room(place.waiting_for_room());
            self.metrics.set_draining(place.draining_count());
            let (slow, fast) = place.pace_counts(Instant::now());
            self.metrics.set_unusual_paces(slow, fast);
            self.metrics.set_backing_off(place.backoff_count(Instant::now()));
            self.metrics.set_unanswered(place.unanswered());
        }
        let (suspects, quarantined) = self.quarantine().counts(Instant::now());
        self.metrics.set_suspects(suspects, quarantined);
        self.metrics.set_bodies(&self.memory);
        let version = self.routing().table.map_or(0, |table| table.version().get());
        self.metrics.encode(upstreams, vms, self.in_progress(), version)
    }

    /// The connection pool for upstreams and other VMs.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// The memory for the bodies of requests and answers.
    pub fn memory(&self) -> &memory::Budget {
        &self.memory
    }

    pub(super) fn mesh(&self) -> Option<&Mesh> {
        self.mesh.get()
    }

    /// The routing state in force.
    pub fn routing(&self) -> Routing {
        self.routing.lock().clone()
    }

    pub(super) fn regions(&self) -> MutexGuard<'_, Regions> {
        self.regions.lock()
    }

    pub(super) fn merged(&self) -> MutexGuard<'_, MergedTable> {
        self.merged.lock()
    }

    fn earned_repeats(&self) -> MutexGuard<'_, Budgets<String>> {
        self.earned_repeats.lock()
    }

    fn issuers(&self) -> MutexGuard<'_, Issuers> {
        self.issuers.lock()
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        self.rng.lock().random()
    }

    /// Deregisters this VM from the directory and closes each connection after its next response.
    /// Requests that remain at `until` are cut off.
    pub fn drain(&self, until: Instant) {
        self.cutoff.set(until);
        self.presence.lock().standing = Standing::Draining;
        self.draining.send_replace(true);
    }

    /// Stops accepting requests, since a new one might not finish before the process is killed.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        // Wakes the tasks that report the change to control VMs.
        self.draining.send_replace(true);
    }

    /// Whether requests are refused because the VM is about to stop.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// When remaining requests are cut off.
    pub const fn cutoff(&self) -> &Cutoff {
        &self.cutoff
    }

    /// Whether the VM is draining.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// While the VM is starting, waits for a new routing state or roster; returns whether to check
    /// again.
    ///
    /// Guards against refusals after a power failure: requests that arrive before the document and
    /// the upstreams are known would fail although they could be served.
    pub async fn wait_for_update(&self, until: Instant) -> bool {
        let until = until.min(self.started + STARTUP_WAIT);
        if Instant::now() >= until {
            return false;
        }
        // An update that preceded the subscription is found at the next poll.
        let next_poll = until.min(Instant::now() + POLL_INTERVAL);
        time::timeout_at(next_poll, self.updates.subscribe().changed()).await.ok();
        true
    }

    /// Notifies when the VM starts to drain.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Whether the directory may list this VM.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.can_serve()
    }

    /// Whether requests are served; this remains true for some seconds while draining.
    fn accepts_requests(&self) -> bool {
        !self.is_closed() && self.can_serve()
    }

    fn can_serve(&self) -> bool {
        let table = self.routing().table;
        table.is_some_and(|table| !table.has_organisations() || self.is_fresh())
    }

    /// Whether the document is recent enough to authenticate callers.
    pub fn is_fresh(&self) -> bool {
        let Some(promised) = self.node.bounds.revocation else { return true };
        self.freshness().is_within(freshness::max_proof_age(promised), clock::now())
    }

    pub(super) fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock()
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock()
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock()
    }

    /// Applies a proof that no newer routing state existed.
    pub fn apply_proof(&self, proof: Proof) {
        let was_fresh = self.is_fresh();
        let revision = self.routing().revision;
        self.freshness().observe(proof, revision, clock::now());
        if !was_fresh && self.is_fresh() {
            info!(self.log, "routing.proven"; "revision" => %proof.revision,
                "age_ms" => clock::now().saturating_duration_since(proof.at).as_millis() as u64);
            self.updates.send_replace(());
        }
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn track_request(&self) -> CountGuard {
        let guard = CountGuard::new(&self.in_progress);
        let since = self.started.elapsed().as_millis() as u64;
        self.last_request.store(since, Ordering::Relaxed);
        guard
    }

    /// Counts a request as waiting for a turn at an upstream until the guard is dropped.
    pub fn track_waiting(&self) -> CountGuard {
        CountGuard::new(&self.waiting)
    }

    /// The number of requests that wait for a turn at an upstream.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// The number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Time since the last request arrived; zero while any is in progress.
    pub fn idle_time(&self) -> Duration {
        if self.in_progress() > 0 {
            return Duration::ZERO;
        }
        let last = Duration::from_millis(self.last_request.load(Ordering::Relaxed));
        self.started.elapsed().saturating_sub(last)
    }

    /// Notifies of changes to the routing state and the roster.
    pub(super) fn updates(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// The presence to report next, with an increased sequence number.
    pub fn next_presence(&self) -> Presence {
        let (ready, without_reach) = (self.accepts_requests(), !self.reaches_upstreams());
        let mut presence = self.presence.lock();
        presence.stamp.sequence += 1;
        (presence.ready, presence.without_reach) = (ready, without_reach);
        presence.clone()
    }

    /// Raises the stamp above that of an earlier start whose clock was ahead; otherwise control VMs
    /// would ignore this VM as outdated.
    pub fn supersede(&self, stamp: Stamp, nonce: u64) {
        let mut presence = self.presence.lock();
        if nonce != presence.nonce && stamp >= presence.stamp {
            presence.stamp = Stamp::new(stamp.start_time_ms + 1, 0);
        }
    }

    /// Applies a routing state unless it is older than the current one.
    ///
    /// Guards against a lagging control VM, whose older document would route requests to removed
    /// services.
    pub fn apply_routing(&self, replicated: Replicated) {
        let mut routing = self.routing.lock();
        if replicated.revision <= routing.revision {
            return;
        }
        let table = replicated.document.as_ref().map(|document| Arc::new(Table::new(document)));
        let version = table.as_ref().map_or(0, |table| table.version().get());
        info!(self.log, "routing.in_force"; "revision" => %replicated.revision, "version" => version,
            "evacuated" => replicated.evacuated.len());
        let evacuated = replicated.evacuated;
        *routing = Routing { revision: replicated.revision, table, evacuated };
        drop(routing);
        self.sync_placement();
    }
}

#[cfg(test)]
mod tests;
