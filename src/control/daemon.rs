//! The control daemon: its replicas, links and operators' listener under one supervisor.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future;
use futures::future::BoxFuture;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::catalogue::Catalogue;
use crate::catalogue::Command;
use crate::entry::daemon::Error;
use crate::entry::daemon::listen;
use crate::entry::peers::WATCH;
use crate::id;
use crate::settings::Site;
use crate::settings::site::ControlAddresses;
use crate::supervisor::Supervisor;
use crate::unit::Version;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::link::Handler;

/// What is left of the children after this is aborted.
const LAST: Duration = Duration::from_secs(2);

/// A running control daemon.
pub struct Daemon {
    supervisor: Supervisor,
    log: Logger,
}

/// Sockets that are bound, and nothing served yet.
pub struct Bound {
    operators: TcpListener,
    links: TcpListener,
}

impl Bound {
    /// Binds the addresses of a control daemon.
    pub async fn new(addresses: &ControlAddresses) -> Result<Self, Error> {
        let operators = listen(addresses.operators).await?;
        let links = listen(addresses.links).await?;
        Ok(Self { operators, links })
    }

    /// Binds free ports of that address, and tells which.
    pub async fn any(ip: IpAddr, folder: PathBuf) -> Result<(Self, ControlAddresses), Error> {
        let free = SocketAddr::new(ip, 0);
        let operators = listen(free).await?;
        let links = listen(free).await?;
        let at = |listener: &TcpListener| listener.local_addr().unwrap_or(free);
        let addresses = ControlAddresses {
            operators: at(&operators),
            links: at(&links),
            folder,
            witness_of: None,
            catalogue: true,
        };
        Ok((Self { operators, links }, addresses))
    }
}

struct Service {
    catalogue: Mutex<Catalogue>,
    version: watch::Sender<Version>,
}

impl Handler for Service {
    fn call(&self, _from: Peer, request: Request) -> BoxFuture<'static, Reply> {
        match request {
            Request::Change(change) => {
                let mut catalogue = self.catalogue.lock().expect("no panic while locked");
                let reply = catalogue.apply(&Command::Change(change));
                self.version.send_replace(catalogue.view().version());
                future::ready(Reply::Changed(Ok(reply))).boxed()
            }
            Request::Watch { have } => self.newer(have),
            Request::Ledger(_) | Request::Peek(_) | Request::Room => {
                future::ready(Reply::Unsupported).boxed()
            }
            Request::InForce => {
                let version = *self.version.borrow();
                future::ready(Reply::InForce { version, takes_requests: true }).boxed()
            }
        }
    }

    fn cast(&self, _from: Peer, _cast: Cast) {}
}

impl Service {
    fn newer(&self, have: Version) -> BoxFuture<'static, Reply> {
        let delta = self.catalogue.lock().expect("no panic while locked").view().delta(have);
        if delta.is_some() {
            return future::ready(Reply::Delta(delta)).boxed();
        }
        let mut version = self.version.subscribe();
        async move {
            // Whoever asks again gets what came meanwhile.
            time::timeout(WATCH, version.wait_for(|version| *version > have)).await.ok();
            Reply::Delta(None)
        }
        .boxed()
    }
}

impl Daemon {
    /// Starts the daemon of that VM. The seed drives choices and jitter.
    pub async fn start(me: id::Vm, site: Arc<Site>, seed: u64, log: Logger) -> Result<Self, Error> {
        let control = site.vms.get(&me).and_then(|vm| vm.control.clone());
        let control = control.ok_or_else(|| Error::NotHere { vm: me.clone(), role: "control" })?;
        let bound = Bound::new(&control).await?;
        Self::start_on(bound, me, site, seed, log).await
    }

    /// The same on sockets that are bound already, by the addresses that the settings give the VM.
    pub async fn start_on(
        bound: Bound,
        me: id::Vm,
        site: Arc<Site>,
        _seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let links = Arc::new(bound.links);
        let service =
            Arc::new(Service { catalogue: Mutex::default(), version: watch::Sender::default() });
        let peer = Peer::new(me, Role::Control);
        let mesh = Mesh::new(peer, site.secret.clone(), site.book(), service);
        let mut supervisor = Supervisor::new(log.clone());
        let stop = supervisor.stop();
        supervisor.child("links", move || mesh.clone().listen(links.clone(), stop.clone()));
        info!(log, "control daemon up");
        Ok(Self { supervisor, log })
    }

    /// Ends at once, as a crash would.
    pub fn abort(self) {
        drop(self.supervisor);
    }

    /// Ends in order.
    pub async fn stop(self) {
        self.supervisor.finish(LAST).await;
        info!(self.log, "control daemon down");
    }
}
