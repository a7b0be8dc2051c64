//! Finds out whether an upstream crashed when connections to it break off, and which requests were running there.
//!
//! A connection also breaks off when an answer is lost, when connections are reset, and when this VM is cut off. A crash is
//! the end of the upstream's instance: its address refuses connections while this VM reaches other upstreams, or another
//! instance has taken the address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::seq::IteratorRandom;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use super::State;
use super::relay::Job;
use crate::decide::quarantine::Digest;
use crate::decide::quarantine::POPULAR_ANSWERS;
use crate::decide::quarantine::Popular;
use crate::decide::quarantine::Quarantine;
use crate::decide::quarantine::Report;
use crate::decide::quarantine::Status;
use crate::http::client::Probe;
use crate::id;
use crate::roster::Standing;
use crate::unit::Incarnation;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Role;

/// How long a connection may take to be established to show that an upstream is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long to wait for the requests whose connections break off with the first one.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// The same for an upstream that was found alive within [`ALIVE_TIME`], so that one that often breaks off answers is not
/// probed for each of them.
const ALIVE_GATHER_TIME: Duration = Duration::from_millis(200);
const ALIVE_TIME: Duration = Duration::from_secs(2);
/// How long to wait for another instance at the address of an upstream that can't be probed.
const REPLACEMENT_TIME: Duration = Duration::from_secs(8);
/// Interval of checks for another instance.
const REPLACEMENT_POLL: Duration = Duration::from_millis(100);
/// Other upstreams that are probed to find out whether this VM is cut off.
const MAX_WITNESSES: usize = 3;
/// The most requests that are remembered for an upstream whose connections broke off.
const MAX_RUNS: usize = 256;

/// Requests whose connections to an upstream broke off, until it is known why.
#[derive(Debug)]
struct Broken {
    incarnation: Incarnation,
    address: SocketAddr,
    /// Other upstreams that were known at the address before.
    earlier: Vec<id::Upstream>,
    at: Instant,
    runs: Vec<(Digest, Duration)>,
}

/// The upstreams whose connections broke off.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    broken: HashMap<id::Upstream, Broken>,
    /// Upstreams that were found alive, and when.
    alive: HashMap<id::Upstream, Instant>,
}

/// Why connections to an upstream broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// It refuses connections, and others don't.
    Refused,
    /// Another instance has taken its address.
    Replaced,
    /// It lives.
    Alive,
    /// It is draining or has left, so that its end is no crash.
    Left,
    /// Nothing shows whether it lives: this VM may be cut off.
    Unknown,
}

impl State {
    pub(super) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock()
    }

    /// Whether a request may run, by what is known of crashes. The digest is computed only if anything is known.
    pub(super) fn crash_status(&self, job: &Job) -> Status {
        let mut quarantine = self.quarantine();
        if quarantine.has_no_suspects() {
            return Status::Clear;
        }
        quarantine.status_with_parts(job.digest(), job.parts(), Instant::now())
    }

    /// Whether the cause of a break of an upstream's connections is not known yet.
    pub(super) fn is_under_examination(&self, upstream: &id::Upstream) -> bool {
        self.breaks.lock().broken.contains_key(upstream)
    }

    /// What is suspected most of a request: itself or a part of its prompt.
    pub(super) fn suspect(&self, job: &Job) -> Digest {
        self.quarantine().worst_suspect(job.digest(), job.parts())
    }

    /// Records that a request was sent to an upstream, with the parts of its prompt, if it matters where suspects run; returns
    /// its digest then.
    pub(super) fn record_run(&self, job: &Job, upstream: &id::Upstream) -> Option<Digest> {
        let mut quarantine = self.quarantine();
        if quarantine.has_no_suspects() {
            return None;
        }
        for digest in [job.digest()].into_iter().chain(job.parts().iter()) {
            quarantine.started(*digest, upstream, Instant::now());
        }
        Some(*job.digest())
    }

    /// Records a complete answer on parts of a prompt.
    pub(super) fn record_part_answers(&self, parts: &[Digest]) {
        if !parts.is_empty() {
            let report = self.quarantine().record_part_answers(parts, Instant::now());
            self.report_crashes(report);
        }
    }

    /// Records the end of such a run, and whether it was answered.
    pub(super) fn record_run_end(
        &self,
        digest: &Digest,
        upstream: &id::Upstream,
        is_answered: bool,
    ) {
        if !is_answered {
            self.quarantine().stopped(digest, upstream);
            return;
        }
        let report = self.quarantine().answered(digest, upstream, Instant::now());
        self.report_crashes(report);
    }

    /// Counts an answer to a request with that hash.
    pub(super) fn record_popular(&self, hash: u64) {
        self.popular().record_answer(hash, Instant::now());
    }

    fn popular(&self) -> MutexGuard<'_, Popular> {
        self.popular.lock()
    }

    /// Records that an upstream answered a request that was sent at that time: it had not crashed before.
    pub(super) fn record_sign_of_life(&self, upstream: &id::Upstream, sent: Instant) {
        let mut quarantine = self.quarantine();
        if quarantine.is_empty() {
            return;
        }
        let Some(incarnation) = self.incarnation(upstream) else { return };
        let report = quarantine.heard_from(upstream, incarnation, sent, Instant::now());
        drop(quarantine);
        if !report.is_empty() {
            self.metrics.record_crash("withdrawn");
            info!(self.log, "crash.withdrawn"; "upstream" => %upstream, "why" => "it answered");
        }
        self.report_crashes(report);
    }

    /// Applies what a control VM knows of crashes.
    pub(super) fn apply_crash_report(&self, report: &Report) {
        self.quarantine().merge(report, Instant::now());
    }

    /// Tells a control VM that has just been followed, since it may have lost what it knew.
    pub(super) fn report_known_crashes(&self, control: &Peer) {
        let report = self.quarantine().report(Instant::now());
        if let (false, Some(mesh)) = (report.is_empty(), self.mesh()) {
            mesh.cast(control, Cast::Quarantine(report));
        }
    }

    /// Tells the followed control VMs, which tell all other VMs.
    fn report_crashes(&self, report: Report) {
        if report.is_empty() {
            return;
        }
        let Some(mesh) = self.mesh() else { return };
        let followed = self.merged().followed();
        for control in followed {
            mesh.cast(&Peer::new(control, Role::Control), Cast::Quarantine(report.clone()));
        }
    }

    fn incarnation(&self, upstream: &id::Upstream) -> Option<Incarnation> {
        self.upstream_born(upstream).map(Incarnation::new)
    }
}

/// Records that the connection of a running request broke off, and finds out why.
pub(super) fn record_break(state: &Arc<State>, job: &Job, upstream: &id::Upstream, sent: Instant) {
    let now = Instant::now();
    let is_popular = state.popular().answers(job.hash(), now) >= POPULAR_ANSWERS;
    let ran = now.saturating_duration_since(sent);
    let mut run: Vec<(Digest, Duration)> = Vec::new();
    run.extend((!is_popular).then(|| (*job.digest(), ran)));
    run.extend(job.parts().iter().map(|part| (*part, ran)));
    let mut breaks = state.breaks.lock();
    if let Some(broken) = breaks.broken.get_mut(upstream) {
        if broken.runs.len() < MAX_RUNS {
            broken.runs.extend(run);
        }
        return;
    }
    let Some(broken) = state.describe_break(upstream, now) else { return };
    let broken = Broken { runs: run, ..broken };
    breaks.broken.insert(upstream.clone(), broken);
    breaks.alive.retain(|_, at| now < *at + ALIVE_TIME);
    let was_alive = breaks.alive.contains_key(upstream);
    drop(breaks);
    let gather_time = if was_alive { ALIVE_GATHER_TIME } else { GATHER_TIME };
    tokio::spawn(examine(state.clone(), upstream.clone(), gather_time));
}

/// Whether an upstream refuses connections, so that an answer which ended with its connection may not be whole.
pub(super) async fn refuses_connections(state: &State, upstream: &id::Upstream) -> bool {
    let address = state.merged().upstream(upstream).map(|known| known.record.address);
    let Some(address) = address else { return false };
    state.client.probe(address, PROBE_TIMEOUT).await == Probe::Refused
}

/// Finds out why connections to an upstream broke off.
async fn examine(state: Arc<State>, upstream: id::Upstream, gather_time: Duration) {
    time::sleep(gather_time).await;
    let cause = find_cause(&state, &upstream).await;
    let broken = {
        let mut breaks = state.breaks.lock();
        if cause == Cause::Alive {
            breaks.alive.insert(upstream.clone(), Instant::now());
        }
        breaks.broken.remove(&upstream)
    };
    let Some(broken) = broken else { return };
    info!(state.log, "upstream.examined"; "upstream" => %upstream, "cause" => ?cause,
        "born" => broken.incarnation.get(), "runs" => broken.runs.len(),
        "ms" => broken.at.elapsed().as_millis() as u64);
    let evidence = match cause {
        Cause::Refused => "refused",
        Cause::Replaced => "replaced",
        Cause::Alive | Cause::Left | Cause::Unknown => return,
    };
    state.metrics.record_crash(evidence);
    let suspects: Vec<String> = broken.runs.iter().map(|(digest, _)| digest.to_string()).collect();
    warn!(state.log, "upstream.crashed"; "upstream" => %upstream, "evidence" => evidence,
        "born" => broken.incarnation.get(), "suspects" => suspects.join(" "));
    let now = Instant::now();
    let age = now.saturating_duration_since(broken.at);
    let crash = (broken.runs, age);
    let report = state.quarantine().record_crash(&upstream, broken.incarnation, crash, now);
    state.report_crashes(report);
}

async fn find_cause(state: &State, upstream: &id::Upstream) -> Cause {
    let breaks = || state.breaks.lock();
    let known =
        breaks().broken.get(upstream).map(|broken| (broken.address, broken.earlier.clone()));
    let Some((address, earlier)) = known else { return Cause::Unknown };
    let is_replaced = || state.is_replaced(upstream, address, &earlier);
    match state.client.probe(address, PROBE_TIMEOUT).await {
        _ if is_replaced() => return Cause::Replaced,
        _ if state.has_left(upstream) => return Cause::Left,
        Probe::Accepted => return Cause::Alive,
        Probe::Refused if reaches_another(state, address).await => return Cause::Refused,
        Probe::Refused | Probe::Closed | Probe::TimedOut => (),
    }
    let until = Instant::now() + REPLACEMENT_TIME;
    while Instant::now() < until {
        time::sleep(REPLACEMENT_POLL).await;
        if is_replaced() {
            return Cause::Replaced;
        }
        if state.has_left(upstream) {
            return Cause::Left;
        }
    }
    Cause::Unknown
}

/// Whether this VM reaches an upstream of its region at another address, if there is one.
async fn reaches_another(state: &State, address: SocketAddr) -> bool {
    let witnesses = state.some_addresses(MAX_WITNESSES, Some(address));
    if witnesses.is_empty() {
        return true;
    }
    for witness in witnesses {
        if state.client.probe(witness, PROBE_TIMEOUT).await == Probe::Accepted {
            return true;
        }
    }
    false
}

impl State {
    /// What is known of an upstream whose connections break off now.
    fn describe_break(&self, upstream: &id::Upstream, at: Instant) -> Option<Broken> {
        let merged = self.merged();
        let record = &merged.upstream(upstream)?.record;
        // The end of an upstream that is draining is no crash.
        if record.standing != Standing::Ready {
            return None;
        }
        let incarnation = Incarnation::new(record.stamp.start_time_ms);
        let address = record.address;
        let others = merged.upstreams().map(|other| &other.record);
        let earlier = others.filter(|other| other.address == address && other.id != *upstream);
        let earlier = earlier.map(|other| other.id.clone()).collect();
        Some(Broken { incarnation, address, earlier, at, runs: Vec::new() })
    }

    fn has_left(&self, upstream: &id::Upstream) -> bool {
        let merged = self.merged();
        merged.upstream(upstream).is_none_or(|known| known.record.standing != Standing::Ready)
    }

    /// Whether another upstream has announced itself at the address since.
    fn is_replaced(
        &self,
        upstream: &id::Upstream,
        address: SocketAddr,
        earlier: &[id::Upstream],
    ) -> bool {
        let merged = self.merged();
        let mut others = merged.upstreams().map(|other| &other.record);
        others.any(|other| {
            other.address == address && other.id != *upstream && !earlier.contains(&other.id)
        })
    }

    /// The addresses of the upstreams of this region that take requests.
    pub(super) fn upstream_addresses(&self) -> Vec<SocketAddr> {
        let merged = self.merged();
        let usable = merged.upstreams().filter(|known| {
            let region = self.node.region_of(&known.record.data_centre);
            let is_usable = known.record.standing == Standing::Ready && !known.silent;
            is_usable && region == Some(&self.node.region)
        });
        usable.map(|known| known.record.address).collect()
    }

    /// Some of these addresses, except one.
    pub(super) fn some_addresses(
        &self,
        count: usize,
        except: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let all = self.upstream_addresses();
        let others = all.into_iter().filter(|address| Some(*address) != except);
        let mut rng = self.rng.lock();
        others.choose_multiple(&mut *rng, count)
    }
}
