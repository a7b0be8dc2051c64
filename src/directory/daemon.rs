//! The control daemon: its replica, links and listeners under one supervisor.

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
use super::flood;
use super::links::Links;
use super::plan::Found;
use super::prove;
use super::service;
use crate::consensus::Role as Seated;
use crate::control::Name;
use crate::control::Routes;
use crate::control::Seat;
use crate::control::seat;
use crate::entry::daemon::Error;
use crate::entry::daemon::listen;
use crate::http::Body;
use crate::http::server;
use crate::settings::Node;
use crate::supervisor::Supervisor;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Role;

/// What is left of the children after this is aborted.
const LAST: Duration = Duration::from_secs(1);
/// A leader that stops hands over first; a message there and back takes a trip between regions.
const HAND_OVER: Duration = Duration::from_millis(300);

/// Speaks with operators, upstreams and callers in the words of the place where the daemon runs.
pub trait Adapter: Clone + Send + Sync + 'static {
    /// Answers an operator or an upstream.
    fn operate(
        &self,
        service: Arc<Service>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;
    /// Tells a caller where to connect.
    fn look_up(
        &self,
        service: Arc<Service>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;
}

/// A running control daemon.
pub struct Daemon {
    service: Arc<Service>,
    supervisor: Supervisor,
    /// The replica's task; it ends with the daemon.
    replica: JoinSet<()>,
    log: Logger,
}

impl Daemon {
    /// Starts the daemon. `born` is the wall clock in milliseconds since the Unix epoch.
    pub async fn start<A: Adapter>(
        node: Arc<Node>,
        adapter: A,
        born: u64,
        seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let missing = || Error::NotHere { vm: node.vm(), role: "control" };
        let control = node.control.as_ref().ok_or_else(missing)?;
        let operators = listen(control.operators).await?;
        let directory = listen(control.directory).await?;
        let links = listen((node.ip, node.link_port).into()).await?;
        let routes = Arc::new(Routes::default());
        let service = Arc::new(Service::new(node.clone(), routes.clone(), born, seed, log.clone()));
        let peer = Peer::new(node.vm(), Role::Control);
        let book = node.seed_links().map(|(vm, link)| (Peer::new(vm, Role::Control), link));
        let handler = Arc::new(Links(service.clone()));
        let mesh = Mesh::new(peer, node.secret.clone(), book.collect(), handler);
        let shared = Arc::new(seat::Shared {
            me: node.vm(),
            plan: Box::new(Found(service.clone())),
            routes,
            mesh: mesh.clone(),
            log: log.clone(),
        });
        let folder = control.folder.join(Name::Routing.to_string());
        let seed = seat::seed(&mut SmallRng::seed_from_u64(seed));
        let (seat, keeper) = Seat::new(shared, Name::Routing, Seated::Voter, folder, seed);
        service.connect(seat, mesh.clone());
        let mut replica = JoinSet::new();
        replica.spawn(keeper);
        let mut supervisor = Supervisor::new(log.clone());
        serve(&mut supervisor, &service, adapter, [operators, directory, links], mesh);
        info!(log, "process.started"; "version" => env!("CARGO_PKG_VERSION"),
            "region" => %node.region, "data_centre" => %node.data_centre, "born" => born);
        Ok(Self { service, supervisor, replica, log })
    }

    /// The state, for tests.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Ends at once, as a crash would.
    pub fn abort(self) {
        drop(self);
    }

    /// Hands the leadership over and ends.
    pub async fn stop(mut self) {
        if let Some(group) = self.service.group() {
            group.hand_over(None).await.ok();
        }
        tokio::time::sleep(HAND_OVER).await;
        self.replica.shutdown().await;
        self.supervisor.finish(LAST).await;
        info!(self.log, "process.stopped");
    }
}

fn serve<A: Adapter>(
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
    let (state, speaks) = (service.clone(), adapter.clone());
    supervisor.child("operators", move || {
        let (state, speaks) = (state.clone(), speaks.clone());
        server::serve(operators.clone(), stop.clone(), move |request, _| {
            speaks.operate(state.clone(), request)
        })
    });
    let directory = Arc::new(directory);
    let stop = supervisor.stop();
    let state = service.clone();
    supervisor.child("directory", move || {
        let (state, adapter) = (state.clone(), adapter.clone());
        server::serve(directory.clone(), stop.clone(), move |request, _| {
            adapter.look_up(state.clone(), request)
        })
    });
    task(supervisor, "flood", service, flood::run);
    task(supervisor, "ticks", service, service::tick);
    task(supervisor, "proofs", service, prove::run);
    task(supervisor, "routing", service, service::copy_routing);
    task(supervisor, "roster", service, service::copy_roster);
}

fn task<F, R>(supervisor: &mut Supervisor, name: &'static str, service: &Arc<Service>, run: F)
where
    F: Fn(Arc<Service>, watch::Receiver<bool>) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let service = service.clone();
    let stop = supervisor.stop();
    supervisor.child(name, move || run(service.clone(), stop.clone()));
}
