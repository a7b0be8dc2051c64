//! Starts and ends the daemons of a site, and changes its catalogue.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticstream::catalogue;
use masticstream::catalogue::Change;
use masticstream::catalogue::Edit;
use masticstream::control;
use masticstream::entry;
use masticstream::id;
use masticstream::log;
use masticstream::settings;
use masticstream::settings::Memory;
use masticstream::settings::Site;
use masticstream::settings::site::ControlAddresses;
use masticstream::settings::site::EntryAddresses;
use masticstream::unit::Incarnation;
use masticstream::unit::Version;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time;
use tokio::time::Instant;

use super::lines::Lines;
use super::proxy::Proxy;

/// Waiting for what must come about ends in a failure after this.
pub const PATIENCE: Duration = Duration::from_secs(20);

static NEXT: AtomicU32 = AtomicU32::new(1);

/// A loopback address that nothing else in this process uses. Tests run in processes side by side, so the
/// process's number is in it.
fn address() -> IpAddr {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let bytes = [127, 16 + (process % 200) as u8, (process / 200 % 250) as u8, number as u8];
    IpAddr::V4(Ipv4Addr::from(bytes))
}

/// A daemon in a runtime of its own, so that a crash takes all of its tasks and connections at once.
struct Process<D> {
    runtime: Option<Runtime>,
    daemon: Option<D>,
}

impl<D> Process<D> {
    fn daemon(&self) -> &D {
        self.daemon.as_ref().expect("a daemon")
    }
}

impl<D> Drop for Process<D> {
    fn drop(&mut self) {
        drop(self.daemon.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Runs something in a new runtime, which then goes on.
async fn isolated<T: Send + 'static>(
    run: impl Future<Output = T> + Send + 'static,
) -> (Runtime, T) {
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let done = runtime.spawn(run).await.expect("no panic");
    (runtime, done)
}

/// A proxy on the way from one VM's daemons to another's.
struct Between {
    from: id::Vm,
    to: id::Vm,
    /// Whether requests are forwarded that way, and none of the links.
    is_forwards: bool,
    proxy: Proxy,
}

/// Puts proxies before the links and forwards of all VMs but one, in the settings that this one is given.
async fn between(from: &id::Vm, view: &mut BTreeMap<id::Vm, settings::site::Vm>) -> Vec<Between> {
    let mut proxies = Vec::new();
    for (to, vm) in view.iter_mut().filter(|(to, _)| *to != from) {
        let (Some(entry), Some(control)) = (&mut vm.entry, &mut vm.control) else { continue };
        let places = [&mut entry.links, &mut entry.forwards, &mut control.links];
        for (place, is_forwards) in places.into_iter().zip([false, true, false]) {
            let proxy = Proxy::start(place.ip(), *place).await;
            *place = proxy.address;
            proxies.push(Between { from: from.clone(), to: to.clone(), is_forwards, proxy });
        }
    }
    proxies
}

/// The bounds of a site that tests set.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// How long a VM drains at most.
    drain: Duration,
    /// The largest body that callers may send.
    body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { drain: Duration::from_secs(30), body_bytes: 1 << 20 }
    }
}

/// A site whose daemons run in this process.
pub struct Local {
    /// Its settings.
    pub site: Arc<Site>,
    entries: BTreeMap<id::Vm, Process<entry::Daemon>>,
    controls: BTreeMap<id::Vm, Process<control::Daemon>>,
    starts: u64,
    operation: u128,
    lines: BTreeMap<id::Vm, Lines>,
    proxies: Vec<Between>,
    folder: TempDir,
}

impl Local {
    /// Starts a site of these VMs, each given as `name@region`; each runs both daemons.
    pub async fn start(vms: &[&str]) -> Self {
        Self::start_with(vms, false, Limits::default()).await
    }

    /// The same with a limit for the time that a VM drains.
    pub async fn start_with_drain(vms: &[&str], drain: Duration) -> Self {
        Self::start_with(vms, false, Limits { drain, ..Limits::default() }).await
    }

    /// The same where callers may send bodies of so many bytes.
    pub async fn start_with_body_bytes(vms: &[&str], body_bytes: u64) -> Self {
        Self::start_with(vms, false, Limits { body_bytes, ..Limits::default() }).await
    }

    /// The same with a proxy before the links and forwards of each daemon. Its daemons can't be started anew.
    pub async fn start_behind_proxies(vms: &[&str]) -> Self {
        Self::start_with(vms, true, Limits::default()).await
    }

    async fn start_with(vms: &[&str], through_proxies: bool, limits: Limits) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut entry_bound = Vec::new();
        let mut control_bound = Vec::new();
        let mut all = BTreeMap::new();
        for text in vms {
            let (name, region) = text.split_once('@').expect("name@region");
            let ip = address();
            let name: id::Vm = name.parse().expect("a name");
            let data = folder.path().join(name.as_str());
            let (runtime, bound) = isolated(entry::daemon::Bound::any(ip)).await;
            let (bound, addresses) = bound.expect("free ports");
            entry_bound.push((name.clone(), runtime, bound));
            let (runtime, bound) = isolated(control::daemon::Bound::any(ip, data)).await;
            let (bound, control) = bound.expect("free ports");
            control_bound.push((name.clone(), runtime, bound));
            all.insert(name, vm(region, addresses, control));
        }
        let mut proxies = Vec::new();
        let mut views = BTreeMap::new();
        for from in all.keys() {
            let mut view = all.clone();
            if through_proxies {
                proxies.extend(between(from, &mut view).await);
            }
            views.insert(from.clone(), Arc::new(site(view, limits)));
        }
        let mut local = Self {
            site: Arc::new(site(all, limits)),
            entries: BTreeMap::new(),
            controls: BTreeMap::new(),
            starts: 0,
            operation: 0,
            lines: BTreeMap::new(),
            proxies,
            folder,
        };
        for (name, runtime, bound) in control_bound {
            let (site, seed) = (views[&name].clone(), local.seed());
            let start = control::Daemon::start_on(bound, name.clone(), site, seed, log::silent());
            let daemon = runtime.spawn(start).await.expect("no panic").expect("a control daemon");
            local.controls.insert(name, Process { runtime: Some(runtime), daemon: Some(daemon) });
        }
        for (name, runtime, bound) in entry_bound {
            let numbers = (Incarnation::new(local.seed()), local.seed());
            let site = views[&name].clone();
            let lines = Lines::default();
            let log = lines.logger();
            let start = entry::Daemon::start_on(bound, name.clone(), site, numbers, log);
            local.lines.insert(name.clone(), lines);
            let daemon = runtime.spawn(start).await.expect("no panic").expect("an entry daemon");
            local.entries.insert(name, Process { runtime: Some(runtime), daemon: Some(daemon) });
        }
        local.settle().await;
        local
    }

    fn seed(&mut self) -> u64 {
        self.starts += 1;
        self.starts
    }

    /// Waits until every entry VM knows all others of its region.
    async fn settle(&self) {
        let until = Instant::now() + PATIENCE;
        for hub in self.hubs() {
            while hub.live().len() < self.entries.len() {
                assert!(Instant::now() < until, "the VMs did not find each other");
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn hubs(&self) -> impl Iterator<Item = &Arc<entry::Hub>> {
        self.entries.values().map(|process| process.daemon().hub())
    }

    /// A VM's entry daemon.
    pub fn hub(&self, vm: &str) -> &Arc<entry::Hub> {
        self.entries[&vm.parse().expect("a name")].daemon().hub()
    }

    /// Where callers of a VM go.
    pub fn callers(&self, vm: &str) -> SocketAddr {
        self.addresses(vm).callers
    }

    /// Where upstreams of a VM announce.
    pub fn upstreams(&self, vm: &str) -> SocketAddr {
        self.addresses(vm).upstreams
    }

    fn addresses(&self, vm: &str) -> &EntryAddresses {
        let vm: id::Vm = vm.parse().expect("a name");
        self.site.vms[&vm].entry.as_ref().expect("an entry daemon")
    }

    /// Puts an entry, given in YAML, and waits until it is in force on all entry VMs that run.
    pub async fn put(&mut self, yaml: &str) -> Version {
        let entry = settings::entry::parse("entry.yaml", yaml).expect("an entry");
        let name = entry.name.clone();
        let reply = self.change(Edit::Put(Arc::new(entry))).await;
        let catalogue::Reply::Accepted { version } = reply else { panic!("{name}: {reply:?}") };
        self.in_force(version).await;
        version
    }

    /// Puts an entry through one VM, and waits until it is in force there.
    pub async fn put_on(&mut self, vm: &str, yaml: &str) -> Version {
        let entry = settings::entry::parse("entry.yaml", yaml).expect("an entry");
        let vm: id::Vm = vm.parse().expect("a name");
        let reply = self.change_on(&vm, Edit::Put(Arc::new(entry))).await;
        let catalogue::Reply::Accepted { version } = reply else { panic!("{reply:?}") };
        self.hub_has(vm.as_str(), version).await;
        version
    }

    /// Sends a change until it is known what came of it.
    pub async fn change(&mut self, edit: Edit) -> catalogue::Reply {
        let vm = self.entries.keys().next().expect("an entry daemon").clone();
        self.change_on(&vm, edit).await
    }

    async fn change_on(&mut self, vm: &id::Vm, edit: Edit) -> catalogue::Reply {
        self.operation += 1;
        let operation = id::Operation::new(self.operation);
        let process = &self.entries[vm];
        let (hub, runtime) = (process.daemon().hub().clone(), process.runtime.as_ref());
        let runtime = runtime.expect("a runtime").handle().clone();
        let replaces =
            hub.view().record(edit.name()).map_or(Version::ZERO, |record| record.version);
        let change = Change::new(operation, replaces, edit);
        let until = Instant::now() + PATIENCE;
        loop {
            let (hub, change) = (hub.clone(), change.clone());
            let asked = runtime.spawn(async move { hub.change(&change).await });
            if let Ok(reply) = asked.await.expect("no panic") {
                return reply;
            }
            assert!(Instant::now() < until, "no majority took the change");
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a version is in force on all entry VMs that run.
    pub async fn in_force(&self, version: Version) {
        let until = Instant::now() + PATIENCE;
        for hub in self.hubs() {
            while hub.version() < version {
                assert!(Instant::now() < until, "version {version} is not in force on {}", hub.me);
                time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// Waits until that many upstreams are known on all entry VMs of a region.
    pub async fn upstreams_known(&self, region: &str, count: usize) {
        let until = Instant::now() + PATIENCE;
        let hubs = self.hubs();
        for hub in hubs.filter(|hub| hub.region().as_str() == region) {
            while hub.dispatch().upstreams().count() != count {
                assert!(Instant::now() < until, "{} does not know {count} upstreams", hub.me);
                time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// All connections between daemons go silent for good, while new ones work.
    pub fn forget_connections(&self) {
        self.proxies.iter().for_each(|between| between.proxy.forget());
    }

    /// Nothing passes between these VMs and the others any more, either way, or again.
    pub fn part(&self, vms: &[&str], parted: bool) {
        let inside = |vm: &id::Vm| vms.contains(&vm.as_str());
        let across = self.proxies.iter().filter(|way| inside(&way.from) != inside(&way.to));
        across.for_each(|way| way.proxy.cut(parted));
    }

    /// Nothing reaches a VM's daemons from other daemons any more, or again.
    pub fn cut_off(&self, vm: &str, cut: bool) {
        let ways = self.proxies.iter().filter(|way| way.to.as_str() == vm);
        ways.for_each(|way| way.proxy.cut(cut));
    }

    /// What a VM forwards to another one does not arrive any more, or again. Their links stay.
    pub fn cut_forwards(&self, from: &str, to: &str, cut: bool) {
        let ways = self
            .proxies
            .iter()
            .filter(|way| way.is_forwards && way.from.as_str() == from && way.to.as_str() == to);
        ways.for_each(|way| way.proxy.cut(cut));
    }

    /// What a VM's entry daemon has logged since the site was started.
    pub fn logged(&self, vm: &str) -> String {
        self.lines[&vm.parse::<id::Vm>().expect("a name")].text()
    }

    /// How many upstreams a VM knows now.
    pub fn known(&self, vm: &str) -> usize {
        self.hub(vm).dispatch().upstreams().count()
    }

    /// Waits until a version is in force on one entry VM.
    pub async fn hub_has(&self, vm: &str, version: Version) {
        let until = Instant::now() + PATIENCE;
        while self.hub(vm).version() < version {
            assert!(Instant::now() < until, "version {version} is not in force on {vm}");
            time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Announces an engine to a VM, as its renewal of that number; false where the VM does not take it.
    pub fn announce(&self, vm: &str, engine: &fakes::Upstream, sequence: u64) -> bool {
        self.announce_at(vm, (engine.id(), engine.address()), sequence)
    }

    /// The same of an engine with that name and address.
    pub fn announce_at(&self, vm: &str, (id, at): (&str, SocketAddr), sequence: u64) -> bool {
        let hub = self.hub(vm);
        let announcement = serde_json::json!({
            "id": id,
            "address": at.to_string(),
            "region": hub.region().as_str(),
            "data_centre": hub.place.data_centre.as_str(),
            "kind": "engine",
            "slots": 4,
            "models": ["small"],
            "incarnation": 1,
            "sequence": sequence,
        });
        hub.announce(serde_json::from_value(announcement).expect("an announcement"))
    }

    /// Tells a VM that an upstream leaves.
    pub async fn leave(&self, vm: &str, upstream: &str, incarnation: u64) {
        let id = upstream.parse().expect("a name");
        self.hub(vm).leave(&id, Incarnation::new(incarnation));
    }

    /// Throws a control daemon's data folder away; the daemon must have ended.
    pub fn lose_folder(&self, vm: &str) {
        let folder = self.folder.path().join(vm);
        let until = std::time::Instant::now() + PATIENCE;
        // A write that was under way as the daemon ended may still make a file.
        while let Err(error) = std::fs::remove_dir_all(&folder) {
            let is_written = error.kind() == ErrorKind::DirectoryNotEmpty;
            assert!(is_written && std::time::Instant::now() < until, "{folder:?}: {error}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits until a control daemon's replica of the catalogue holds all that is committed.
    pub async fn caught_up(&self, vm: &str) {
        let until = Instant::now() + PATIENCE;
        let commit = |daemon: &control::Daemon| {
            let seats = daemon.service().seats()?;
            let status = seats.catalogue.as_ref()?.group()?.status();
            // A replica that is repaired votes again.
            status.members.votes(status.id).then_some(status.applied)
        };
        loop {
            let most = self.controls.values().map(Process::daemon).filter_map(commit).max();
            let own = commit(self.controls[&vm.parse().expect("a name")].daemon());
            if own.is_some() && own == most {
                return;
            }
            assert!(Instant::now() < until, "{vm} has {own:?} of {most:?}");
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends an entry daemon as a crash would.
    pub fn crash_entry(&mut self, vm: &str) {
        let process = self.entries.remove(&vm.parse().expect("a name"));
        drop(process.expect("an entry daemon"));
    }

    /// Starts an entry daemon that had ended.
    pub async fn start_entry(&mut self, vm: &str) {
        let name: id::Vm = vm.parse().expect("a name");
        let (incarnation, seed) = (Incarnation::new(self.seed()), self.seed());
        let until = Instant::now() + PATIENCE;
        loop {
            let (name, site) = (name.clone(), self.site.clone());
            let start = entry::Daemon::start(name.clone(), site, incarnation, seed, log::silent());
            let (runtime, started) = isolated(start).await;
            match started {
                Ok(daemon) => {
                    let process = Process { runtime: Some(runtime), daemon: Some(daemon) };
                    self.entries.insert(name, process);
                    return;
                }
                // The sockets of the one before close when its last task ends.
                Err(error) => assert!(Instant::now() < until, "{error}"),
            }
            runtime.shutdown_background();
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends a control daemon as a crash would.
    pub fn crash_control(&mut self, vm: &str) {
        let process = self.controls.remove(&vm.parse().expect("a name"));
        drop(process.expect("a control daemon"));
    }

    /// Starts a control daemon that had ended, on the folder that it had.
    pub async fn start_control(&mut self, vm: &str) {
        let name: id::Vm = vm.parse().expect("a name");
        let seed = self.seed();
        let until = Instant::now() + PATIENCE;
        loop {
            let (name, site) = (name.clone(), self.site.clone());
            let start = control::Daemon::start(name.clone(), site, seed, log::silent());
            let (runtime, started) = isolated(start).await;
            match started {
                Ok(daemon) => {
                    let process = Process { runtime: Some(runtime), daemon: Some(daemon) };
                    self.controls.insert(name, process);
                    return;
                }
                Err(error) => assert!(Instant::now() < until, "{error}"),
            }
            runtime.shutdown_background();
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Drains an entry daemon; the future ends when it has ended.
    pub fn drain_entry(&mut self, vm: &str) -> impl Future<Output = ()> + Send + use<> {
        let process = self.entries.remove(&vm.parse().expect("a name"));
        let mut process = process.expect("an entry daemon");
        async move {
            let daemon = process.daemon.take().expect("a daemon");
            let runtime = process.runtime.as_ref().expect("a runtime");
            runtime.spawn(daemon.drain(std::future::pending())).await.expect("no panic");
            drop(process);
        }
    }
}

fn vm(region: &str, entry: EntryAddresses, control: ControlAddresses) -> settings::site::Vm {
    settings::site::Vm {
        region: region.parse().expect("a region"),
        data_centre: format!("{region}-a").parse().expect("a data centre"),
        entry: Some(entry),
        control: Some(control),
    }
}

fn site(vms: BTreeMap<id::Vm, settings::site::Vm>, limits: Limits) -> Site {
    Site {
        vms,
        secret: "a shared secret".to_owned(),
        operator_token: None,
        headers: settings::site::Headers::default(),
        body_bytes: limits.body_bytes,
        memory: Memory::default(),
        drain: limits.drain,
        logs: settings::site::Logs { json: false, level: slog::Level::Warning },
    }
}
