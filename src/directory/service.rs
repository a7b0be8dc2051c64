//! State of a control daemon, and its operations for operators, upstreams, callers and other VMs.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use self::quarantine::Published;
use super::batching::Batching;
use super::broadcast;
use super::lookup;
use super::metrics::Metrics;
use super::wakeups::Wakeups;
use crate::consensus::Members;
use crate::consensus::Role as ReplicaRole;
use crate::control::Name;
use crate::control::Routes;
use crate::control::Seat;
use crate::decide::freshness::Freshness;
use crate::decide::quarantine::Quarantine;
use crate::decide::quarantine::Report;
use crate::decide::retry::reserve::Reserve;
use crate::group::Group;
use crate::group::Status;
use crate::http::memory;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Observed;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::Table;
use crate::roster::table::Outcome;
use crate::roster::table::Timeouts;
use crate::routing::State;
use crate::routing::state::Replicated;
use crate::settings::Node;
use crate::settings::Seeds;
use crate::store::Cache;
use crate::store::cache;
use crate::sync::Mutex;
use crate::unit::Term;
use crate::unit::Version;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Role;
use crate::wire::message::Heard;

mod follow;
mod freshness;
mod quarantine;
mod repeats;
mod seats;

pub use quarantine::REPEAT_INTERVAL as CRASH_REPEAT_INTERVAL;

/// Timeout of a long poll by a follower. The empty response tells it that this VM is alive.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the presence of a VM, which is sent every [`LONG_POLL_TIMEOUT`]: one may be lost and
/// the next may be delayed.
const VM_TIMEOUT: Duration = Duration::from_millis(2700);
/// Missed check-ins after which an upstream is silent. Check-ins can be seconds late, and requests
/// detect a failed upstream by themselves.
const MISSED_CHECK_INS: u32 = 4;
/// The same for an upstream that was restored from the cache.
const RESTORED_MISSED_CHECK_INS: u32 = 2;

/// The folder of the replica in the data folder.
pub(super) fn replica_folder(folder: &Path) -> PathBuf {
    folder.join(Name::Routing.to_string())
}

/// The state of a control daemon.
pub struct Service {
    node: Arc<Node>,
    seeds: Seeds,
    pub(super) log: Logger,
    /// Distinguishes this start from earlier ones.
    epoch: u64,
    table: Mutex<Table>,
    /// The revision of `table`, for those that wait for any change.
    pub(super) revision: watch::Sender<u64>,
    wakeups: Wakeups,
    batching: Batching,
    directory: Mutex<lookup::Index>,
    pub(super) routing: watch::Sender<Replicated>,
    /// The encoded `routing` of a revision.
    encoded_routing: Mutex<(Version, Bytes)>,
    /// Whether this VM holds current data: its replica has a leader and, if required, a recent
    /// proof.
    up_to_date: watch::Sender<bool>,
    freshness: Mutex<Freshness>,
    reserve: Mutex<Reserve>,
    quarantine: Mutex<Quarantine>,
    crashes_changed: Notify,
    /// The report on crashes for followers.
    published: watch::Sender<Published>,
    crash_cache: Cache<Report>,
    presence: Mutex<Presence>,
    broadcast: broadcast::Queue,
    routes: Arc<Routes>,
    pub(super) routing_cache: Cache<Replicated>,
    pub(super) roster_cache: Cache<Vec<Observed<Announcement>>>,
    seat: OnceLock<Seat<State>>,
    mesh: OnceLock<Mesh>,
    leaderless: Mutex<seats::Leaderless>,
    started: Instant,
    memory: memory::Budget,
    metrics: Metrics,
}

impl Service {
    /// Creates a service without replica and links. `start_time_ms` is the Unix time in
    /// milliseconds, and `nonce` is random.
    pub fn new(
        node: Arc<Node>,
        routes: Arc<Routes>,
        start_time_ms: u64,
        nonce: u64,
        log: Logger,
    ) -> Self {
        let timeouts = Timeouts { upstream: node.check_in * MISSED_CHECK_INS, vm: VM_TIMEOUT };
        let presence = Presence {
            vm: node.vm(),
            role: Role::Control,
            stamp: Stamp::new(start_time_ms, 0),
            nonce,
            region: node.region.clone(),
            data_centre: node.data_centre.clone(),
            standing: Standing::Ready,
            ready: true,
            callers: None,
            forwards: None,
            links: Some(SocketAddr::new(node.ip, node.link_port)),
            without_reach: false,
        };
        let folder = node.control.as_ref().map(|control| control.folder.clone());
        let folder = folder.unwrap_or_default();
        let is_first_start = node.control.as_ref().is_some_and(|control| control.found)
            && !replica_folder(&folder).exists();
        let reserve = if is_first_start { Reserve::founded() } else { Reserve::default() };
        let routing_cache = Cache::<Replicated>::new(&folder, cache::ROUTING_FILE);
        let restored = routing_cache.load(&log);
        if let Some(restored) = &restored {
            info!(log, "routing.kept"; "revision" => %restored.revision);
        }
        let roster_cache = Cache::<Vec<Observed<Announcement>>>::new(&folder, cache::ROSTER_FILE);
        let mut table = Table::new(timeouts).with_regions(node.data_centres.iter().cloned());
        if let Some(upstreams) = roster_cache.load(&log) {
            info!(log, "roster.kept"; "upstreams" => upstreams.len());
            table.restore(upstreams, node.check_in * RESTORED_MISSED_CHECK_INS, Instant::now());
        }
        let crash_cache = Cache::<Report>::new(&folder, cache::CRASHES_FILE);
        let mut quarantine = Quarantine::default();
        if let Some(report) = crash_cache.load(&log) {
            info!(log, "crashes.kept"; "holds" => report.holds.len());
            quarantine.merge(&report, Instant::now());
        }
        let revision = table.revision();
        let memory = memory::Budget::new(node.memory.bodies());
        Self {
            seeds: Seeds::new(&node),
            node,
            log,
            epoch: nonce,
            table: Mutex::new(table),
            revision: watch::Sender::new(revision),
            wakeups: Wakeups::new(),
            batching: Batching::default(),
            directory: Mutex::default(),
            routing: watch::Sender::new(restored.unwrap_or_default()),
            encoded_routing: Mutex::default(),
            routing_cache,
            roster_cache,
            up_to_date: watch::Sender::new(false),
            freshness: Mutex::default(),
            reserve: Mutex::new(reserve),
            quarantine: Mutex::new(quarantine),
            crashes_changed: Notify::new(),
            published: watch::Sender::default(),
            crash_cache,
            presence: Mutex::new(presence),
            broadcast: broadcast::Queue::default(),
            routes,
            seat: OnceLock::new(),
            mesh: OnceLock::new(),
            leaderless: Mutex::default(),
            started: Instant::now(),
            memory,
            metrics: Metrics::default(),
        }
    }

    /// Attaches the replica and the links.
    pub fn attach(&self, seat: Seat<State>, mesh: Mesh) {
        self.seat.set(seat).ok();
        self.mesh.set(mesh).ok();
    }

    /// The settings.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The id of this VM.
    pub fn vm(&self) -> id::Vm {
        self.node.vm()
    }

    /// The logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The memory for the bodies of requests.
    pub fn memory(&self) -> &memory::Budget {
        &self.memory
    }

    /// How long a directory answer may be cached.
    pub fn directory_ttl(&self) -> Duration {
        let control = self.node.control.as_ref();
        control.map_or(Duration::ZERO, |control| control.directory_time)
    }

    /// The metrics in text format.
    pub fn metrics_text(&self) -> String {
        let live = {
            let table = self.table();
            (table.upstreams().count(), table.live_vms().count())
        };
        let status = self.group().map(|group| group.status());
        let version = self.routing.borrow().document.as_ref().map_or(0, |held| held.version.get());
        if let (Some(group), Some(status), Some(seat)) = (self.group(), &status, self.seat()) {
            let without_leader = self.without_leader(Instant::now());
            self.metrics.set_replica(status, &group.reading(), seat.traffic(), without_leader);
        }
        let losses = status.as_ref().map(|status| self.losses_borne(&status.members));
        self.metrics.encode(live, self.batching.followers(), version, status.as_ref().zip(losses))
    }

    pub(super) fn broadcast(&self) -> &broadcast::Queue {
        &self.broadcast
    }

    pub(super) fn mesh(&self) -> Option<&Mesh> {
        self.mesh.get()
    }

    pub(super) const fn routes(&self) -> &Arc<Routes> {
        &self.routes
    }

    pub(super) fn seat(&self) -> Option<&Seat<State>> {
        self.seat.get()
    }

    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// The replica, if it is running.
    pub fn group(&self) -> Option<Group<State>> {
        self.seat.get()?.group()
    }

    /// Applies changed settings; only the seeds can change at run time.
    pub fn reload(&self, node: &Node) {
        self.seeds.reload(node, self.mesh(), &self.log);
    }

    /// The known control VMs, including the seeds and this VM.
    pub fn control_vms(&self) -> BTreeSet<id::Vm> {
        let mut vms = self.table().control_vms().clone();
        vms.extend(self.seeds.links().into_iter().map(|(vm, _)| vm));
        vms.insert(self.vm());
        vms
    }

    /// The region of a control VM that has been heard of.
    pub fn control_region(&self, vm: &id::Vm) -> Option<id::Region> {
        self.table().vm(vm, Role::Control).map(|presence| presence.region.clone())
    }

    /// Handles a check-in of an upstream.
    pub fn announce(&self, announcement: Announcement) {
        let outcome = self.table().apply_announcement(announcement.clone(), Instant::now());
        self.metrics.record_check_in();
        self.record_check_in(&announcement);
        let is_changed = outcome == Outcome::Changed;
        if is_changed {
            info!(self.log, "upstream.announced"; "upstream" => %announcement.id,
                "service" => &announcement.service, "address" => %announcement.address,
                "standing" => ?announcement.standing, "born" => announcement.stamp.start_time_ms,
                "sequence" => announcement.stamp.sequence,
                "cold_ms" => announcement.cold_left.as_millis() as u64);
            self.notify_followers();
        }
        match outcome {
            Outcome::Stale => (),
            Outcome::Renewed => self.broadcast.renew_announcement(announcement),
            Outcome::Changed => self.broadcast.push_announcement(announcement),
        }
    }

    /// Logs and counts a check-in that names no upstream.
    pub fn reject_check_in(&self, upstream: &str, why: &dyn fmt::Display) {
        self.metrics.record_rejected_check_in();
        let why = why.to_string();
        info!(self.log, "check_in.rejected"; "upstream" => format!("{upstream:.64}"),
            "why" => format!("{why:.256}"));
    }

    /// Handles the deregistration of an upstream.
    pub fn leave(&self, upstream: &id::Upstream, start_time_ms: Option<u64>) {
        let announcement = {
            let mut table = self.table();
            table.mark_gone(upstream, start_time_ms, Instant::now());
            table.upstream(upstream).cloned()
        };
        info!(self.log, "upstream.left"; "upstream" => %upstream, "known" => announcement.is_some());
        self.notify_followers();
        if let Some(announcement) = announcement {
            self.broadcast.push_announcement(announcement);
        }
    }

    /// The entry VMs that a caller in the region should use for the host.
    pub fn directory_addresses(&self, region: &id::Region, host: &str) -> Vec<SocketAddr> {
        let document = self.routing.borrow().document.clone();
        let homes = document.map(|document| document.homes(host)).unwrap_or_default();
        let table = self.table();
        let mut index = self.directory.lock();
        index.addresses(region, homes, &table)
    }

    /// Applies the presence of a VM received directly; returns the newest known stamp of the VM.
    pub(super) fn apply_presence(&self, presence: Presence) -> Option<(Stamp, u64)> {
        let (outcome, known) = {
            let mut table = self.table();
            let outcome = table.apply_presence(presence.clone(), Instant::now());
            (outcome, table.stamp_and_nonce(&presence.vm, presence.role))
        };
        if outcome == Outcome::Changed {
            info!(self.log, "vm.announced"; "vm" => %presence.vm, "role" => ?presence.role,
                "standing" => ?presence.standing, "ready" => presence.ready);
            self.notify_followers();
        }
        match outcome {
            Outcome::Stale => (),
            Outcome::Renewed => self.broadcast.renew_presence(presence),
            Outcome::Changed => self.broadcast.push_presence(presence),
        }
        known
    }

    /// Applies the statements that another control VM broadcast.
    pub(super) fn apply_broadcast(&self, heard: Heard, from: &Peer) {
        let now = Instant::now();
        let mut reply = Heard::default();
        let mut changed = false;
        let mut table = self.table();
        for announcement in heard.upstreams {
            changed |= table.apply_announcement(announcement, now) == Outcome::Changed;
        }
        for presence in heard.vms {
            if let (Some(mesh), Some(links)) = (self.mesh(), presence.links) {
                mesh.learn(Peer::new(presence.vm.clone(), presence.role), links);
            }
            let is_own = presence.vm == self.vm() && presence.role == Role::Control;
            if is_own {
                self.supersede(presence.stamp, presence.nonce);
                continue;
            }
            let (vm, role, nonce) = (presence.vm.clone(), presence.role, presence.nonce);
            let is_sender = vm == from.vm && role == from.role;
            let outcome = table.apply_presence(presence.clone(), now);
            changed |= outcome == Outcome::Changed;
            // Guards against a group without a leader after the loss of the seeds: two control VMs
            // that are not seeds know each other only if the seeds pass their presence on.
            match outcome {
                Outcome::Renewed if is_sender => self.broadcast.renew_presence(presence),
                Outcome::Changed if is_sender => self.broadcast.push_presence(presence),
                _ => (),
            }
            if is_sender
                && outcome == Outcome::Stale
                && table.stamp_and_nonce(&vm, role).is_some_and(|known| known.1 != nonce)
            {
                reply.vms.extend(table.vm(&vm, role).cloned());
            }
        }
        let renewed = table.apply_heartbeats(&heard.alive, now);
        changed |= renewed.has_changes;
        reply.wanted = renewed.unknown;
        let (upstreams, vms) = table.records(&heard.wanted);
        reply.upstreams.extend(upstreams);
        reply.vms.extend(vms);
        drop(table);
        if changed {
            self.notify_followers();
        }
        if let (false, Some(mesh)) = (reply.is_empty(), self.mesh()) {
            mesh.cast(from, Cast::Heard(Box::new(reply)));
        }
    }

    /// Raises the stamp above that of an earlier start whose clock was ahead; otherwise other VMs
    /// would ignore this VM as outdated.
    fn supersede(&self, stamp: Stamp, nonce: u64) {
        let mut presence = self.presence.lock();
        if nonce != presence.nonce && stamp >= presence.stamp {
            presence.stamp = Stamp::new(stamp.start_time_ms + 1, 0);
        }
    }

    pub(super) fn table(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table.lock()
    }

    pub(super) fn notify_followers(&self) {
        let (revision, touched) = {
            let mut table = self.table();
            (table.revision(), table.take_touched())
        };
        self.batching.record(revision, Instant::now());
        self.revision.send_if_modified(|last| {
            let newer = revision > *last;
            *last = revision.max(*last);
            newer
        });
        self.wakeups.wake(&touched);
    }

    /// Expires silent subjects and adapts the slices, at regular intervals.
    pub(super) fn refresh_table(&self, now: Instant) {
        let (changed, scope) = {
            let mut table = self.table();
            let scope_revision = table.scope_revision();
            let expired = table.expire(now);
            let changed = table.adapt() || expired;
            (changed, (table.scope_revision() != scope_revision).then(|| table.scope()))
        };
        if let Some(scope) = scope {
            info!(self.log, "slices.changed"; "scope" => %scope);
        }
        if changed {
            self.notify_followers();
        }
    }

    /// Renews the presence of this VM.
    pub(super) fn announce_presence(&self) {
        let presence = {
            let mut presence = self.presence.lock();
            presence.stamp.sequence += 1;
            presence.clone()
        };
        let outcome = self.table().apply_presence(presence.clone(), Instant::now());
        match outcome {
            Outcome::Changed => self.broadcast.push_presence(presence),
            _ => self.broadcast.renew_presence(presence),
        }
        self.notify_followers();
    }

    /// Logs changes of leader and voters.
    pub(super) fn log_group_change(
        &self,
        status: &Status,
        last: &mut Option<(Term, Option<id::Replica>, Members)>,
    ) {
        self.update_sync_status();
        let now = (status.term, status.leader, status.members.clone());
        if last.as_ref() == Some(&now) {
            return;
        }
        let leader = status.leader.and_then(|leader| self.routes.vm(leader));
        let voters = status.members.with_role(ReplicaRole::Voter);
        let voters: Vec<_> = voters.map(|voter| self.routes.vm(voter)).collect();
        info!(self.log, "group.changed"; "term" => %status.term, "leads" => status.leads,
            "leader" => ?leader, "voters" => ?voters, "commit" => %status.commit);
        *last = Some(now);
    }

    pub(super) fn identity_reply(&self) -> Reply {
        Reply::Identity(self.seat.get().and_then(Seat::identity))
    }
}
