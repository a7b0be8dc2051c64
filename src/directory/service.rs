//! What a control daemon knows and does for operators, upstreams, callers and other VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::copy;
use super::copy::Copy;
use super::flood;
use super::lookup;
use super::metrics::Metrics;
use crate::clock;
use crate::consensus::Members;
use crate::consensus::Role as Seated;
use crate::control::Routes;
use crate::control::Seat;
use crate::decide::freshness::Freshness;
use crate::group::Group;
use crate::group::Status;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Fact;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::Table;
use crate::roster::table::Patience;
use crate::roster::table::Taken;
use crate::routing::State;
use crate::routing::state::Replicated;
use crate::settings::Node;
use crate::settings::Seeds;
use crate::unit::Term;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Role;
use crate::wire::message::Follow;
use crate::wire::message::Followed;
use crate::wire::message::Heard;

mod proofs;

/// A follower that lacks nothing is answered after this, which also tells it that this VM is alive.
pub const WATCH: Duration = Duration::from_secs(1);
/// Where the replica doesn't run, it is looked for this often.
const LOOK: Duration = Duration::from_millis(50);
/// A VM says something each [`WATCH`]; one may be lost, and the second may be late by a trip between regions and a
/// pause of the scheduler.
const VM_SILENCE: Duration = Duration::from_millis(2700);
/// An upstream is silent once four of its words are missing: they come seconds late at times, and requests find out
/// by themselves that an upstream is gone.
const MISSED_WORDS: u32 = 4;
/// An upstream that is known from before the start alone is silent once so many of its words are missing.
const KEPT_WORDS: u32 = 2;
/// After news of upstreams the copy of them waits so long for more, so that a crowd is written once.
const COPY_PACE: Duration = Duration::from_millis(500);
/// Silence is looked for this often.
const TICK: Duration = Duration::from_millis(250);
/// A tick that comes so late means that this process stood still.
const STOOD_STILL: Duration = Duration::from_millis(1500);

/// The state of a control daemon.
pub struct Service {
    node: Arc<Node>,
    seeds: Seeds,
    log: Logger,
    /// Tells this start from others.
    epoch: u64,
    table: Mutex<Table>,
    /// The table's revision, for those who wait for a change.
    revision: watch::Sender<u64>,
    routing: watch::Sender<Replicated>,
    /// Whether the replica hears a leader, and that one a majority, so that what this VM holds is up to date.
    in_touch: watch::Sender<bool>,
    freshness: Mutex<Freshness>,
    presence: Mutex<Presence>,
    flood: flood::Queue,
    routes: Arc<Routes>,
    copy: Copy<Replicated>,
    roster_copy: Copy<Vec<Fact<Announcement>>>,
    seat: OnceLock<Seat<State>>,
    mesh: OnceLock<Mesh>,
    started: Instant,
    metrics: Metrics,
}

impl Service {
    /// A service without a replica or links; `born` is the wall clock in milliseconds, and `nonce` is random.
    pub fn new(node: Arc<Node>, routes: Arc<Routes>, born: u64, nonce: u64, log: Logger) -> Self {
        let patience = Patience { upstream: node.check_in * MISSED_WORDS, vm: VM_SILENCE };
        let presence = Presence {
            vm: node.vm(),
            role: Role::Control,
            stamp: Stamp::new(born, 0),
            nonce,
            region: node.region.clone(),
            data_centre: node.data_centre.clone(),
            standing: Standing::Ready,
            ready: true,
            callers: None,
            forwards: None,
            links: Some(SocketAddr::new(node.ip, node.link_port)),
        };
        let folder = node.control.as_ref().map(|control| control.folder.clone());
        let folder = folder.unwrap_or_default();
        let copy = Copy::<Replicated>::new(&folder, copy::ROUTING);
        let kept = copy.load(&log);
        if let Some(kept) = &kept {
            info!(log, "routing.kept"; "revision" => %kept.revision);
        }
        let roster_copy = Copy::<Vec<Fact<Announcement>>>::new(&folder, copy::ROSTER);
        let mut table = Table::new(patience);
        if let Some(upstreams) = roster_copy.load(&log) {
            info!(log, "roster.kept"; "upstreams" => upstreams.len());
            table.restore(upstreams, node.check_in * KEPT_WORDS, Instant::now());
        }
        let revision = table.revision();
        Self {
            seeds: Seeds::new(&node),
            node,
            log,
            epoch: nonce,
            table: Mutex::new(table),
            revision: watch::Sender::new(revision),
            routing: watch::Sender::new(kept.unwrap_or_default()),
            copy,
            roster_copy,
            in_touch: watch::Sender::new(false),
            freshness: Mutex::default(),
            presence: Mutex::new(presence),
            flood: flood::Queue::default(),
            routes,
            seat: OnceLock::new(),
            mesh: OnceLock::new(),
            started: Instant::now(),
            metrics: Metrics::default(),
        }
    }

    /// Gives the replica and the links.
    pub fn connect(&self, seat: Seat<State>, mesh: Mesh) {
        self.seat.set(seat).ok();
        self.mesh.set(mesh).ok();
    }

    /// The settings.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// This VM.
    pub fn vm(&self) -> id::Vm {
        self.node.vm()
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// How long an answer of the directory may be used.
    pub fn directory_time(&self) -> Duration {
        let control = self.node.control.as_ref();
        control.map_or(Duration::ZERO, |control| control.directory_time)
    }

    /// The metrics as text.
    pub fn metrics_text(&self) -> String {
        let (upstreams, vms) = {
            let table = self.table();
            (table.upstreams().count(), table.present().count())
        };
        let status = self.group().map(|group| group.status());
        let version = self.routing.borrow().document.as_ref().map_or(0, |held| held.version.get());
        self.metrics.encode(upstreams, vms, version, status.as_ref())
    }

    pub(super) fn flood(&self) -> &flood::Queue {
        &self.flood
    }

    pub(super) fn mesh(&self) -> Option<&Mesh> {
        self.mesh.get()
    }

    pub(super) fn routes(&self) -> &Routes {
        &self.routes
    }

    pub(super) fn seat(&self) -> Option<&Seat<State>> {
        self.seat.get()
    }

    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// The replica, while it runs.
    pub fn group(&self) -> Option<Group<State>> {
        self.seat.get()?.group()
    }

    /// Takes newer settings in force; of these only the seeds may change while the daemon runs.
    pub fn reload(&self, node: &Node) {
        self.seeds.reload(node, self.mesh(), &self.log);
    }

    /// The control VMs that were heard of and the seeds, this VM among them.
    pub fn control_vms(&self) -> BTreeSet<id::Vm> {
        let table = self.table.lock().expect("no panic while locked");
        let heard = table.all_vms().filter(|vm| vm.role == Role::Control);
        let mut vms: BTreeSet<id::Vm> = heard.map(|vm| vm.vm.clone()).collect();
        vms.extend(self.seeds.links().into_iter().map(|(vm, _)| vm));
        vms.insert(self.vm());
        vms
    }

    /// An upstream says something of itself.
    pub fn announce(&self, said: Announcement) {
        let taken = self.table().announce(said.clone(), Instant::now());
        self.metrics.checked_in();
        let is_news = taken == Taken::News;
        if is_news {
            info!(self.log, "upstream.announced"; "upstream" => %said.id, "service" => &said.service,
                "address" => %said.address, "standing" => ?said.standing, "born" => said.stamp.born,
                "sequence" => said.stamp.sequence, "cold_ms" => said.cold_left.as_millis() as u64);
            self.publish();
        }
        match taken {
            Taken::Stale => (),
            Taken::Still => self.flood.upstream_still_there(said),
            Taken::News => self.flood.announced(said),
        }
    }

    /// An upstream leaves.
    pub fn leave(&self, upstream: &id::Upstream, born: Option<u64>) {
        let said = {
            let mut table = self.table();
            table.leave(upstream, born, Instant::now());
            table.upstream(upstream).cloned()
        };
        info!(self.log, "upstream.left"; "upstream" => %upstream, "known" => said.is_some());
        self.publish();
        if let Some(said) = said {
            self.flood.announced(said);
        }
    }

    /// Where a caller of that region connects for requests to that host.
    pub fn addresses(&self, region: &id::Region, host: &str) -> Vec<SocketAddr> {
        let document = self.routing.borrow().document.clone();
        let homes = document.map(|document| document.homes(host)).unwrap_or_default();
        let table = self.table();
        lookup::addresses(region, &homes, table.present(), table.all_vms())
    }

    /// Waits a moment for anything that a follower lacks.
    pub(super) async fn follow(&self, follow: Follow) -> Reply {
        let asked = clock::now();
        let is_current = follow.epoch == self.epoch;
        let known_as = self.met(follow.presence);
        let have = if is_current { follow.roster } else { 0 };
        let mut revision = self.revision.subscribe();
        let mut routing = self.routing.subscribe();
        let mut in_touch = self.in_touch.subscribe();
        let lacks = async {
            tokio::select! {
                _ = in_touch.changed() => (),
                _ = revision.wait_for(|revision| *revision > have) => (),
                _ = routing.wait_for(|routing| routing.revision > follow.routing) => (),
            }
        };
        time::timeout(WATCH, lacks).await.ok();
        let roster = self.table().delta(have, Instant::now());
        let roster = match (roster, &follow.only_of) {
            (Some(delta), Some(region)) => {
                let here = |centre: &id::DataCentre| self.node.region_of(centre) == Some(region);
                Some(delta.only_of(region, here))
            }
            (roster, _) => roster,
        };
        // Before the routing state, which is at least as new as the proof says then.
        let proof = self.freshness().proof().map(|proof| proof.to_message(asked));
        let routing = self.routing.borrow().clone();
        let routing = (routing.revision > follow.routing).then_some(routing);
        let in_touch = *self.in_touch.borrow();
        let epoch = self.epoch;
        let followed = Followed { epoch, roster, routing, in_touch, proof, known_as };
        Reply::Followed(Box::new(followed))
    }

    /// A VM says something of itself, directly; returns the newest stamp that is known of it.
    fn met(&self, said: Presence) -> Option<(Stamp, u64)> {
        let (taken, known) = {
            let mut table = self.table();
            let taken = table.meet(said.clone(), Instant::now());
            (taken, table.stamp_of(&said.vm, said.role))
        };
        if taken == Taken::News {
            info!(self.log, "vm.announced"; "vm" => %said.vm, "role" => ?said.role,
                "standing" => ?said.standing, "ready" => said.ready);
            self.publish();
        }
        match taken {
            Taken::Stale => (),
            Taken::Still => self.flood.vm_still_there(said),
            Taken::News => self.flood.met(said),
        }
        known
    }

    /// Another control VM passes on what it heard.
    pub(super) fn heard(&self, heard: Heard, from: &Peer) {
        let now = Instant::now();
        let mut outdated = Heard::default();
        let mut news = false;
        let mut table = self.table();
        for said in heard.upstreams {
            news |= table.announce(said, now) == Taken::News;
        }
        for said in heard.vms {
            if let (Some(mesh), Some(links)) = (self.mesh(), said.links) {
                mesh.learn(Peer::new(said.vm.clone(), said.role), links);
            }
            let is_own = said.vm == self.vm() && said.role == Role::Control;
            if is_own {
                self.overtake(said.stamp, said.nonce);
                continue;
            }
            let (vm, role, nonce) = (said.vm.clone(), said.role, said.nonce);
            let is_sender = vm == from.vm && role == from.role;
            let taken = table.meet(said.clone(), now);
            news |= taken == Taken::News;
            // Failure: two control VMs that are no seeds hear of each other only through the seeds. If what a control VM
            // says of itself were not passed on, they could not vote for each other, and a group that lost its seeds
            // would have no leader although a majority is there.
            match taken {
                Taken::Still if is_sender => self.flood.vm_still_there(said),
                Taken::News if is_sender => self.flood.met(said),
                _ => (),
            }
            if is_sender
                && taken == Taken::Stale
                && table.stamp_of(&vm, role).is_some_and(|known| known.1 != nonce)
            {
                outdated.vms.extend(
                    table.all_vms().find(|known| known.vm == vm && known.role == role).cloned(),
                );
            }
        }
        let still_there = table.still_there(&heard.alive, now);
        news |= still_there.is_news;
        outdated.wanted = still_there.unknown;
        let (upstreams, vms) = table.statements(&heard.wanted);
        outdated.upstreams.extend(upstreams);
        outdated.vms.extend(vms);
        drop(table);
        if news {
            self.publish();
        }
        if let (false, Some(mesh)) = (outdated.is_empty(), self.mesh()) {
            mesh.cast(from, Cast::Heard(Box::new(outdated)));
        }
    }

    /// Others remember this VM's earlier start with a newer stamp: the clock was set back. This start goes above it,
    /// or nobody would ever take its word.
    fn overtake(&self, stamp: Stamp, nonce: u64) {
        let mut presence = self.presence.lock().expect("no panic while locked");
        if nonce != presence.nonce && stamp >= presence.stamp {
            presence.stamp = Stamp::new(stamp.born + 1, 0);
        }
    }

    pub(super) fn table(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table.lock().expect("no panic while locked")
    }

    fn publish(&self) {
        let revision = self.table().revision();
        self.revision.send_if_modified(|last| {
            let newer = revision > *last;
            *last = revision.max(*last);
            newer
        });
    }

    /// This VM says that it is there.
    fn tell_presence(&self) {
        let said = {
            let mut presence = self.presence.lock().expect("no panic while locked");
            presence.stamp.sequence += 1;
            presence.clone()
        };
        let taken = self.table().meet(said.clone(), Instant::now());
        match taken {
            Taken::News => self.flood.met(said),
            _ => self.flood.vm_still_there(said),
        }
        self.publish();
    }

    /// Logs who leads and who votes, where that has changed.
    fn note_group(&self, status: &Status, last: &mut Option<(Term, Option<id::Replica>, Members)>) {
        self.note_touch();
        let now = (status.term, status.leader, status.members.clone());
        if last.as_ref() == Some(&now) {
            return;
        }
        let leader = status.leader.and_then(|leader| self.routes.vm(leader));
        let voters = status.members.with_role(Seated::Voter);
        let voters: Vec<_> = voters.map(|voter| self.routes.vm(voter)).collect();
        info!(self.log, "group.changed"; "term" => %status.term, "leads" => status.leads,
            "leader" => ?leader, "voters" => ?voters, "commit" => %status.commit);
        *last = Some(now);
    }

    pub(super) fn identity(&self) -> Reply {
        Reply::Identity(self.seat.get().and_then(Seat::identity))
    }
}

/// Notes who falls silent and says that this VM is there, until told to stop.
pub async fn tick(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    let mut told: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let now = Instant::now();
        if now.saturating_duration_since(last) > STOOD_STILL {
            info!(service.log, "process.stood_still"; "ms" => (now - last).as_millis() as u64);
            service.table().excuse(now);
        }
        last = now;
        if told.is_none_or(|told| now.saturating_duration_since(told) >= WATCH) {
            told = Some(now);
            service.tell_presence();
        }
        if service.table().expire(now) {
            service.publish();
        }
    }
}

/// Copies the routing state for followers as it changes, until told to stop.
pub async fn copy_routing(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = copy_while_running(&service) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        tokio::select! {
            () = time::sleep(LOOK) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Keeps what is known of upstreams as it changes, until told to stop.
pub async fn copy_roster(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let mut revision = service.revision.subscribe();
    loop {
        tokio::select! {
            changed = revision.changed() => if changed.is_err() { return },
            _ = stop.wait_for(|stop| *stop) => return,
        }
        time::sleep(COPY_PACE).await;
        revision.mark_unchanged();
        let upstreams = service.table().facts(Instant::now());
        let (copy, log) = (service.roster_copy.clone(), service.log.clone());
        let saved = tokio::task::spawn_blocking(move || copy.save(&upstreams, &log));
        if let Err(error) = saved.await {
            warn!(service.log, "copy.not_written"; "file" => copy::ROSTER, "why" => %error);
        }
    }
}

async fn copy_while_running(service: &Service) {
    let Some(group) = service.group() else { return };
    let mut status = group.watch();
    let mut last = None;
    loop {
        let now = status.borrow_and_update().clone();
        service.note_group(&now, &mut last);
        let have = service.routing.borrow().revision;
        let look = move |state: &State| (state.revision() > have).then(|| state.replicated());
        match group.peek(look).await {
            Ok(Some(newer)) => {
                info!(service.log, "routing.in_force"; "revision" => %newer.revision,
                    "version" => newer.document.as_ref().map_or(0, |document| document.version.get()));
                service.routing.send_replace(newer.clone());
                let (copy, log) = (service.copy.clone(), service.log.clone());
                let saved = tokio::task::spawn_blocking(move || copy.save(&newer, &log));
                if let Err(error) = saved.await {
                    warn!(service.log, "copy.not_written"; "file" => copy::ROUTING, "why" => %error);
                }
            }
            Ok(None) => (),
            Err(_) => return,
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}
