//! The entry daemon: its listeners and tasks under one supervisor.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Adapter;
use super::Hub;
use super::follow;
use super::receive;
use super::share;
use crate::entry::daemon::Error;
use crate::entry::daemon::listen;
use crate::http::Body;
use crate::http::server;
use crate::settings::Node;
use crate::supervisor::Supervisor;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Role;
use crate::wire::link::Handler;

/// After the last request in progress, connections get so long to end.
const LAST: Duration = Duration::from_millis(300);
/// A VM that leaves goes on taking requests while callers use answers of the directory that name it, and this much longer,
/// until the directory has heard of it. What comes later is refused, and its caller goes to another VM.
///
/// Failure: callers keep an answer for longer than VMs that leave take on, and two VMs of a region are stopped one after the
/// other. Callers are refused by the first and by the second, and have no attempt left.
const HEARD: Duration = Duration::from_millis(500);
/// The part of the grace time in which it does so at most; the rest is for streams to end.
const MOST_TAKEN_ON: f64 = 0.4;
/// The part of the time until the process is ended by force in which requests in progress may end.
const USED_GRACE: f64 = 0.95;
/// Whether the last request has ended is looked at this often.
const LOOK: Duration = Duration::from_millis(50);

/// A running entry daemon.
pub struct Daemon {
    hub: Arc<Hub>,
    supervisor: Supervisor,
}

impl Daemon {
    /// Starts the daemon. `born` is the wall clock in milliseconds since the Unix epoch; the seed drives choices.
    pub async fn start(
        node: Arc<Node>,
        adapter: Arc<dyn Adapter>,
        born: u64,
        seed: u64,
        log: Logger,
    ) -> Result<Self, Error> {
        let missing = || Error::NotHere { vm: node.vm(), role: "entry" };
        let entry = node.entry.as_ref().ok_or_else(missing)?;
        let callers = listen(entry.callers).await?;
        let operators = listen(entry.operators).await?;
        let forwards = listen(entry.forwards).await?;
        let directory = match &entry.directory {
            Some(directory) => Some(listen(*directory).await?),
            None => None,
        };
        let hub = Arc::new(Hub::new(node.clone(), adapter, born, seed, log.clone()));
        let book = node.seed_links().map(|(vm, link)| (Peer::new(vm, Role::Control), link));
        let peer = Peer::new(node.vm(), Role::Entry);
        hub.connect(Mesh::new(peer, node.secret.clone(), book.collect(), Arc::new(Silent)));
        let mut supervisor = Supervisor::new(log.clone());
        listener(&mut supervisor, "callers", callers, &hub, receive::from_caller);
        listener(&mut supervisor, "forwards", forwards, &hub, receive::from_vm);
        listener(&mut supervisor, "operators", operators, &hub, operate);
        if let Some(directory) = directory {
            listener(&mut supervisor, "directory", directory, &hub, look_up);
        }
        let (following, stop) = (hub.clone(), supervisor.stop());
        supervisor.child("following", move || follow::run(following.clone(), stop.clone()));
        if node.secret.is_empty() {
            let (hub, stop, address) = (hub.clone(), supervisor.stop(), entry.forwards);
            supervisor
                .child("sharing", move || share::run(hub.clone(), address, seed, stop.clone()));
        } else {
            // Datagrams bear no proof of who sent them, so they are for networks that only VMs of the system reach.
            info!(log, "sharing.off"; "why" => "the network is not closed");
        }
        info!(log, "process.started"; "version" => env!("CARGO_PKG_VERSION"),
            "region" => %node.region, "data_centre" => %node.data_centre, "born" => born);
        Ok(Self { hub, supervisor })
    }

    /// The state, for tests.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Leaves the directory, lets every request in progress end, and returns within the time that the settings give.
    pub async fn drain(self) {
        let started = Instant::now();
        let grace = self.hub.node().entry.as_ref().map_or(Duration::ZERO, |entry| entry.grace);
        let until = started + grace.mul_f64(USED_GRACE).saturating_sub(LAST);
        info!(self.hub.log(), "process.draining"; "in_progress" => self.hub.in_progress());
        self.hub.drain();
        time::sleep((self.hub.directory_time() + HEARD).min(grace.mul_f64(MOST_TAKEN_ON))).await;
        self.hub.close();
        while self.hub.in_progress() > 0 && Instant::now() < until {
            time::sleep(LOOK).await;
        }
        if self.hub.in_progress() > 0 {
            warn!(self.hub.log(), "process.cuts_off"; "in_progress" => self.hub.in_progress());
        }
        self.supervisor.finish(LAST).await;
        info!(self.hub.log(), "process.stopped"; "ms" => started.elapsed().as_millis() as u64);
    }

    /// Ends at once, as a crash would.
    pub fn abort(self) {
        drop(self.supervisor);
    }
}

async fn operate(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    hub.adapter().operate(hub.clone(), request).await
}

async fn look_up(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    hub.adapter().look_up(&hub, &request)
}

/// A listener under the supervisor; the socket outlives a child that fails.
fn listener<F, A>(
    supervisor: &mut Supervisor,
    name: &'static str,
    socket: TcpListener,
    hub: &Arc<Hub>,
    answer: F,
) where
    F: Fn(Arc<Hub>, Request<Incoming>) -> A + Copy + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let (socket, hub) = (Arc::new(socket), hub.clone());
    let stop: watch::Receiver<bool> = supervisor.stop();
    supervisor.child(name, move || {
        let hub = hub.clone();
        server::serve(socket.clone(), stop.clone(), move |request, _| answer(hub.clone(), request))
    });
}

/// An entry VM asks control VMs, and is asked nothing.
struct Silent;

impl Handler for Silent {
    fn call(&self, _: Peer, _: crate::wire::Request) -> BoxFuture<'static, Reply> {
        futures::future::ready(Reply::Unsupported).boxed()
    }

    fn cast(&self, _: Peer, _: Cast) {}
}
