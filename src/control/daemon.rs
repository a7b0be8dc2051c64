//! The control daemon: its replicas, links and operators' listener under one supervisor.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::control::Name;
use crate::control::Routes;
use crate::control::Seat;
use crate::control::plan;
use crate::control::seat;
use crate::control::service;
use crate::control::service::Seats;
use crate::control::service::Service;
use crate::entry::daemon::Error;
use crate::entry::daemon::listen;
use crate::http;
use crate::id;
use crate::panics;
use crate::settings::Site;
use crate::settings::site::ControlAddresses;
use crate::supervisor::Supervisor;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

/// What is left of the children after this is aborted.
const LAST: Duration = Duration::from_secs(2);

/// A running control daemon.
pub struct Daemon {
    service: Arc<Service>,
    supervisor: Supervisor,
    /// The replicas' tasks; they end with the daemon.
    replicas: JoinSet<()>,
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
        let addresses = ControlAddresses { operators: at(&operators), links: at(&links), folder };
        Ok((Self { operators, links }, addresses))
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
        seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let missing = || Error::NotHere { vm: me.clone(), role: "control" };
        let place = site.vms.get(&me).ok_or_else(missing)?.clone();
        let folder = place.control.as_ref().ok_or_else(missing)?.folder.clone();
        let routes = Arc::new(Routes::new(&folder, &log));
        let service = Arc::new(Service::new(place.region.clone(), routes.clone()));
        let handler = Arc::new(service::Shared(service.clone()));
        let peer = Peer::new(me.clone(), Role::Control);
        let mesh = Mesh::new(peer, site.secret.clone(), site.book(), handler);
        let shared = Arc::new(seat::Shared {
            me: me.clone(),
            plan: Box::new(site.clone()),
            routes: routes.clone(),
            mesh: mesh.clone(),
            log: log.clone(),
        });
        let mut replicas = JoinSet::new();
        let seats = open_seats(&shared, &site, &folder, seed, &mut replicas);
        service.serve(seats, mesh.clone());
        let mut supervisor = Supervisor::new(log.clone());
        serve(&mut supervisor, &service, &site, bound, mesh);
        let (stop, routes_log) = (supervisor.stop(), log.clone());
        supervisor
            .child("routes", move || routes.clone().keep_saved(routes_log.clone(), stop.clone()));
        info!(log, "control daemon up"; "version" => env!("CARGO_PKG_VERSION"));
        Ok(Self { service, supervisor, replicas, log })
    }

    /// The replicas, for tests.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Ends at once, as a crash would.
    pub fn abort(self) {
        drop(self);
    }

    /// Hands leaderships and seats over and ends.
    pub async fn stop(mut self) {
        self.service.release_seats().await;
        self.replicas.shutdown().await;
        self.supervisor.finish(LAST).await;
        info!(self.log, "control daemon down");
    }
}

impl Service {
    async fn release_seats(&self) {
        let Some(seats) = self.seats() else { return };
        let catalogue = async {
            if let Some(seat) = &seats.catalogue {
                seat.release().await;
            }
        };
        futures::join!(catalogue, join_all(seats.ledgers.values().map(Seat::release)));
    }
}

fn open_seats(
    shared: &Arc<seat::Shared>,
    site: &Site,
    folder: &std::path::Path,
    seed: u64,
    replicas: &mut JoinSet<()>,
) -> Seats {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut seats = Seats::default();
    for (name, role) in plan::groups(site, &shared.me) {
        let place = folder.join(name.to_string());
        let seed = seat::seed(&mut rng);
        match &name {
            Name::Catalogue => {
                let (seat, task) = Seat::new(shared.clone(), name, role, place, seed);
                replicas.spawn(panics::end_process_on_panic("replica", task));
                seats.catalogue = Some(seat);
            }
            Name::Ledger(region) => {
                let region = region.clone();
                let (seat, task) = Seat::new(shared.clone(), name, role, place, seed);
                replicas.spawn(panics::end_process_on_panic("replica", task));
                seats.ledgers.insert(region, seat);
            }
            // Not planned on a site that names its VMs.
            Name::Routing => (),
        }
    }
    seats
}

fn serve(
    supervisor: &mut Supervisor,
    service: &Arc<Service>,
    site: &Arc<Site>,
    bound: Bound,
    mesh: Mesh,
) {
    let links = Arc::new(bound.links);
    let stop = supervisor.stop();
    supervisor.child("links", move || mesh.clone().listen(links.clone(), stop.clone()));
    let operators = Arc::new(bound.operators);
    let stop = supervisor.stop();
    let (service, site) = (service.clone(), site.clone());
    supervisor.child("operators", move || {
        let (service, site) = (service.clone(), site.clone());
        http::server::serve(operators.clone(), stop.clone(), move |request, _| {
            http::control::answer(service.clone(), site.clone(), request)
        })
    });
}
