//! The entry daemon: its listeners and tasks under one supervisor.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Hub;
use crate::entry::abandon;
use crate::entry::digest;
use crate::entry::loads;
use crate::entry::peers;
use crate::http;
use crate::id;
use crate::settings::Site;
use crate::settings::site::EntryAddresses;
use crate::supervisor::Supervisor;
use crate::unit::Incarnation;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

/// Leases and deadlines are looked at this often.
const TICK: Duration = Duration::from_millis(50);
/// After the last request in progress, or once those that are left are cut off, connections get so long to end.
const LAST: Duration = Duration::from_secs(2);
/// A draining VM keeps answering so long, so that callers who hold the old directory get an honest refusal.
const LEAVE_DIRECTORY: Duration = Duration::from_millis(200);

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings don't know the VM, or give it no such daemon.
    #[error("the settings have no {role} daemon on VM {vm}")]
    NotHere {
        /// The VM.
        vm: id::Vm,
        /// The daemon's role.
        role: &'static str,
    },
    /// An address can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
}

/// Sockets that are bound, and nothing served yet: all addresses are taken before any work is.
pub struct Bound {
    callers: TcpListener,
    upstreams: TcpListener,
    operators: TcpListener,
    links: TcpListener,
    forwards: TcpListener,
}

impl Bound {
    /// Binds free ports of that address, and tells which.
    pub async fn any(ip: IpAddr) -> Result<(Self, EntryAddresses), Error> {
        let free = SocketAddr::new(ip, 0);
        let addresses = EntryAddresses {
            callers: free,
            upstreams: free,
            operators: free,
            links: free,
            forwards: free,
        };
        let bound = Self::new(&addresses).await?;
        let at = |listener: &TcpListener| listener.local_addr().unwrap_or(free);
        let addresses = EntryAddresses {
            callers: at(&bound.callers),
            upstreams: at(&bound.upstreams),
            operators: at(&bound.operators),
            links: at(&bound.links),
            forwards: at(&bound.forwards),
        };
        Ok((bound, addresses))
    }
}

/// A running entry daemon.
pub struct Daemon {
    hub: Arc<Hub>,
    supervisor: Supervisor,
}

/// Binds one address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen { address, error })
}

impl Bound {
    /// Binds the addresses of an entry daemon.
    pub async fn new(addresses: &EntryAddresses) -> Result<Self, Error> {
        Ok(Self {
            callers: listen(addresses.callers).await?,
            upstreams: listen(addresses.upstreams).await?,
            operators: listen(addresses.operators).await?,
            links: listen(addresses.links).await?,
            forwards: listen(addresses.forwards).await?,
        })
    }
}

impl Daemon {
    /// Starts the daemon of that VM. The incarnation must be higher than that of any start before; the seed drives
    /// choices and jitter.
    pub async fn start(
        me: id::Vm,
        site: Arc<Site>,
        incarnation: Incarnation,
        seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let addresses = site.vms.get(&me).and_then(|vm| vm.entry.clone());
        let addresses =
            addresses.ok_or_else(|| Error::NotHere { vm: me.clone(), role: "entry" })?;
        let bound = Bound::new(&addresses).await?;
        Self::start_on(bound, me, site, (incarnation, seed), log).await
    }

    /// The same on sockets that are bound already, by the addresses that the settings give the VM.
    pub async fn start_on(
        bound: Bound,
        me: id::Vm,
        site: Arc<Site>,
        (incarnation, seed): (Incarnation, u64),
        log: Logger,
    ) -> Result<Self, Error> {
        let place = site.vms.get(&me).filter(|vm| vm.entry.is_some()).cloned();
        let place = place.ok_or_else(|| Error::NotHere { vm: me.clone(), role: "entry" })?;
        let peer = Peer::new(me.clone(), Role::Entry);
        let hub = Arc::new(Hub::new(me, place, site.clone(), (incarnation, seed), log.clone()));
        let service = Arc::new(peers::Service::new(hub.clone()));
        let mesh = Mesh::new(peer, site.secret.clone(), site.book(), service);
        hub.connect(mesh.clone());
        let mut supervisor = Supervisor::new(log.clone());
        serve(&mut supervisor, &hub, bound, mesh);
        let version = env!("CARGO_PKG_VERSION");
        info!(log, "entry daemon up"; "version" => version, "region" => %hub.region());
        Ok(Self { hub, supervisor })
    }

    /// The state, for tests and the demo.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Leaves the directory, refuses new requests, lets requests in progress end, and returns. Those that are left at
    /// the limit for draining are refused. `second` ends the wait early.
    pub async fn drain(self, second: impl Future<Output = ()>) {
        let limit = self.hub.site.drain;
        info!(self.hub.log, "draining"; "streams" => self.hub.streams());
        self.hub.drain();
        let until = Instant::now() + limit;
        self.hub.cutoff().set(until);
        let empty = async {
            time::sleep(LEAVE_DIRECTORY).await;
            self.wait_for_requests(until).await;
        };
        tokio::select! {
            () = empty => (),
            () = second => (),
        }
        if self.hub.streams() > 0 {
            warn!(self.hub.log, "requests are cut off"; "streams" => self.hub.streams());
        }
        let last = Instant::now() + LAST;
        // Bodies that are still being read, and whatever is left.
        self.hub.cutoff().set(Instant::now());
        self.wait_for_requests(last).await;
        self.supervisor.finish(last.saturating_duration_since(Instant::now())).await;
        info!(self.hub.log, "entry daemon down");
    }

    /// Waits until no request is in progress.
    async fn wait_for_requests(&self, until: Instant) {
        while self.hub.streams() > 0 && Instant::now() < until {
            time::sleep(TICK).await;
        }
    }

    /// Ends at once, as a crash would.
    pub fn abort(self) {
        drop(self.supervisor);
    }
}

fn serve(supervisor: &mut Supervisor, hub: &Arc<Hub>, bound: Bound, mesh: Mesh) {
    let callers = hub.clone();
    listener(supervisor, "callers", bound.callers, move |request| {
        http::caller::answer(callers.clone(), request)
    });
    let upstreams = hub.clone();
    listener(supervisor, "upstreams", bound.upstreams, move |request| {
        let hub = upstreams.clone();
        async move { http::upstream::answer(&hub, request).await }
    });
    let operators = hub.clone();
    listener(supervisor, "operators", bound.operators, move |request| {
        http::operator::answer(operators.clone(), request)
    });
    let forwards = hub.clone();
    listener(supervisor, "forwards", bound.forwards, move |request| {
        http::forward::answer(forwards.clone(), request)
    });
    let links = Arc::new(bound.links);
    let stop = supervisor.stop();
    supervisor.child("links", move || mesh.clone().listen(links.clone(), stop.clone()));
    task(supervisor, "catalogue", hub, peers::follow);
    task(supervisor, "comparison", hub, peers::compare);
    task(supervisor, "greetings", hub, peers::greet);
    task(supervisor, "abandon", hub, abandon::watch);
    task(supervisor, "digest", hub, digest::tell);
    task(supervisor, "loads", hub, loads::ask);
    task(supervisor, "ticks", hub, tick);
}

/// A listener under the supervisor; the socket outlives a child that fails.
fn listener<F, A>(supervisor: &mut Supervisor, name: &'static str, socket: TcpListener, answer: F)
where
    F: Fn(hyper::Request<hyper::body::Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = hyper::Response<http::Body>> + Send + 'static,
{
    let socket = Arc::new(socket);
    let stop = supervisor.stop();
    supervisor.child(name, move || {
        let answer = answer.clone();
        http::server::serve(socket.clone(), stop.clone(), move |request, _| answer(request))
    });
}

fn task<F, A>(supervisor: &mut Supervisor, name: &'static str, hub: &Arc<Hub>, run: F)
where
    F: Fn(Arc<Hub>, watch::Receiver<bool>) -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let hub = hub.clone();
    let stop = supervisor.stop();
    supervisor.child(name, move || run(hub.clone(), stop.clone()));
}

async fn tick(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = ticks.tick() => hub.tick(),
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}
