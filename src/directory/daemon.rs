//! The control daemon: its replica, links, listeners and background tasks.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Service;
use super::broadcast;
use super::links::LinkHandler;
use super::plan::DiscoveredPlan;
use super::prove;
use super::service::replica_folder;
use super::tasks;
use crate::consensus::Role as ReplicaRole;
use crate::control::Name;
use crate::control::Routes;
use crate::control::Seat;
use crate::control::seat;
use crate::entry::daemon::Error;
use crate::entry::daemon::listen;
use crate::http::Body;
use crate::http::server;
use crate::panics;
use crate::settings::Node;
use crate::supervisor::Supervisor;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

/// Timeout for tasks to end at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Deployment-specific HTTP endpoints of a control daemon.
pub trait Adapter: Clone + Send + Sync + 'static {
    /// Handles a request of an operator or an upstream.
    fn handle_operator(
        &self,
        service: Arc<Service>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;
    /// Handles a directory lookup by a caller.
    fn handle_directory(
        &self,
        service: Arc<Service>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;
}

/// A running control daemon.
pub struct Daemon {
    service: Arc<Service>,
    supervisor: Supervisor,
    /// The task of the replica, which is aborted with the daemon.
    replica: JoinSet<()>,
    log: Logger,
}

impl Daemon {
    /// Starts the daemon. `start_time_ms` is the Unix time in milliseconds.
    pub async fn start<A: Adapter>(
        node: Arc<Node>,
        adapter: A,
        start_time_ms: u64,
        seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let missing = || Error::NotHere { vm: node.vm(), role: "control" };
        let control = node.control.as_ref().ok_or_else(missing)?;
        let operators = listen(control.operators).await?;
        let directory = listen(control.directory).await?;
        let links = listen((node.ip, node.link_port).into()).await?;
        let routes = Arc::new(Routes::new(&control.folder, &log));
        let service =
            Arc::new(Service::new(node.clone(), routes.clone(), start_time_ms, seed, log.clone()));
        let peer = Peer::new(node.vm(), Role::Control);
        let book = node.seed_links().map(|(vm, link)| (Peer::new(vm, Role::Control), link));
        let handler = Arc::new(LinkHandler(service.clone()));
        let mesh = Mesh::new(peer, node.secret.clone(), book.collect(), handler);
        let shared = Arc::new(seat::Shared {
            me: node.vm(),
            plan: Box::new(DiscoveredPlan(service.clone())),
            routes,
            mesh: mesh.clone(),
            log: log.clone(),
        });
        let folder = replica_folder(&control.folder);
        let seed = seat::seed(&mut SmallRng::seed_from_u64(seed));
        let (seat, replica_task) =
            Seat::new(shared, Name::Routing, ReplicaRole::Voter, folder, seed);
        service.attach(seat, mesh.clone());
        let mut replica = JoinSet::new();
        replica.spawn(panics::end_process_on_panic("replica", replica_task));
        let mut supervisor = Supervisor::new(log.clone());
        spawn_listeners(&mut supervisor, &service, adapter, [operators, directory, links], mesh);
        info!(log, "process.started"; "version" => env!("CARGO_PKG_VERSION"),
            "region" => %node.region, "data_centre" => %node.data_centre, "born" => start_time_ms);
        Ok(Self { service, supervisor, replica, log })
    }

    /// The state, for tests.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Stops immediately, as a crash would.
    pub fn abort(self) {
        drop(self);
    }

    /// Hands over the leadership and the seat, and stops.
    pub async fn stop(mut self) {
        if let Some(seat) = self.service.seat() {
            seat.release().await;
        }
        self.replica.shutdown().await;
        self.supervisor.finish(SHUTDOWN_TIMEOUT).await;
        info!(self.log, "process.stopped");
    }
}

fn spawn_listeners<A: Adapter>(
    supervisor: &mut Supervisor,
    service: &Arc<Service>,
    adapter: A,
    [operators, directory, links]: [TcpListener; 3],
    mesh: Mesh,
) {
    let links = Arc::new(links);
    let stop = supervisor.stop();
    supervisor.child("links", move || mesh.clone().listen(links.clone(), stop.clone()));
    let operators = Arc::new(operators);
    let stop = supervisor.stop();
    let (state, operator_adapter) = (service.clone(), adapter.clone());
    supervisor.child("operators", move || {
        let (state, operator_adapter) = (state.clone(), operator_adapter.clone());
        server::serve(operators.clone(), stop.clone(), move |request, _| {
            operator_adapter.handle_operator(state.clone(), request)
        })
    });
    let directory = Arc::new(directory);
    let stop = supervisor.stop();
    let state = service.clone();
    supervisor.child("directory", move || {
        let (state, adapter) = (state.clone(), adapter.clone());
        server::serve(directory.clone(), stop.clone(), move |request, _| {
            adapter.handle_directory(state.clone(), request)
        })
    });
    spawn_task(supervisor, "flood", service, broadcast::run);
    spawn_task(supervisor, "ticks", service, tasks::tick);
    spawn_task(supervisor, "proofs", service, prove::run);
    spawn_task(supervisor, "routing", service, tasks::mirror_routing);
    spawn_task(supervisor, "roster", service, tasks::save_roster);
    spawn_task(supervisor, "crashes", service, tasks::share_crashes);
    spawn_task(supervisor, "traffic", service, tasks::log_traffic);
    spawn_task(supervisor, "routes", service, tasks::save_routes);
}

fn spawn_task<F, R>(supervisor: &mut Supervisor, name: &'static str, service: &Arc<Service>, run: F)
where
    F: Fn(Arc<Service>, watch::Receiver<bool>) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let service = service.clone();
    let stop = supervisor.stop();
    supervisor.child(name, move || run(service.clone(), stop.clone()));
}
