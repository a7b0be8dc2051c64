//! The entry daemon: its listeners and background tasks.

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
use super::State;
use super::follow;
use super::reach;
use super::receive;
use super::sharing;
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

/// Timeout for closing connections after the last request has completed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// A draining VM accepts requests for the TTL of a directory answer plus this delay, which covers
/// the propagation of its new state to the directory. Later requests are refused.
///
/// Guards against callers that use up their attempts on VMs of a region that are stopped one after
/// the other.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of that period as a fraction of the grace period; streams finish in the rest.
const MAX_ACCEPTING_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which remaining requests are cut off. Those whose response has not begun get an
/// error response within [`SHUTDOWN_TIMEOUT`].
const DRAIN_FRACTION: f64 = 0.95;
/// Interval of checks for remaining requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry daemon.
pub struct Daemon {
    state: Arc<State>,
    supervisor: Supervisor,
}

impl Daemon {
    /// Starts the daemon. `start_time_ms` is the Unix time in milliseconds; `seed` initialises the
    /// random number generator.
    pub async fn start(
        node: Arc<Node>,
        adapter: Arc<dyn Adapter>,
        start_time_ms: u64,
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
        let state = Arc::new(State::new(node.clone(), adapter, start_time_ms, seed, log.clone()));
        let book = node.seed_links().map(|(vm, link)| (Peer::new(vm, Role::Control), link));
        let peer = Peer::new(node.vm(), Role::Entry);
        state.set_mesh(Mesh::new(peer, node.secret.clone(), book.collect(), Arc::new(NoRequests)));
        let mut supervisor = Supervisor::new(log.clone());
        spawn_listener(&mut supervisor, "callers", callers, &state, receive::handle_caller);
        spawn_listener(&mut supervisor, "forwards", forwards, &state, receive::handle_forwarded);
        spawn_listener(&mut supervisor, "operators", operators, &state, handle_operator);
        if let Some(directory) = directory {
            spawn_listener(&mut supervisor, "directory", directory, &state, handle_directory);
        }
        let (following, stop) = (state.clone(), supervisor.stop());
        supervisor.child("following", move || follow::run(following.clone(), stop.clone()));
        if node.secret.is_empty() {
            let (state, stop, address) = (state.clone(), supervisor.stop(), entry.forwards);
            supervisor
                .child("sharing", move || sharing::run(state.clone(), address, seed, stop.clone()));
        } else {
            // The datagrams are not authenticated, so they are sent only in a network that is
            // reserved for the VMs.
            info!(log, "sharing.off"; "why" => "the network is not closed");
        }
        let (checking, stop) = (state.clone(), supervisor.stop());
        supervisor.child("reach", move || reach::run(checking.clone(), stop.clone()));
        spawn_task(&mut supervisor, "pauses", &state, |state| async move {
            state.observe_pauses().await;
        });
        spawn_task(&mut supervisor, "restrictions", &state, |state| async move {
            state.report_restrictions().await;
        });
        info!(log, "process.started"; "version" => env!("CARGO_PKG_VERSION"),
            "region" => %node.region, "data_centre" => %node.data_centre, "born" => start_time_ms);
        Ok(Self { state, supervisor })
    }

    /// The state, for tests.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Deregisters the VM, waits for requests in progress and returns within the configured grace
    /// period. Requests that are not expected to end within it are refused.
    pub async fn drain(self) {
        let started = Instant::now();
        let grace = self.state.node().entry.as_ref().map_or(Duration::ZERO, |entry| entry.grace);
        let until = started + grace.mul_f64(DRAIN_FRACTION).saturating_sub(SHUTDOWN_TIMEOUT);
        info!(self.state.log(), "process.draining"; "in_progress" => self.state.in_progress());
        self.state.drain(until);
        time::sleep(
            (self.state.directory_ttl() + DEREGISTRATION_DELAY)
                .min(grace.mul_f64(MAX_ACCEPTING_FRACTION)),
        )
        .await;
        self.state.close();
        while self.state.in_progress() > 0 && Instant::now() < until {
            time::sleep(POLL_INTERVAL).await;
        }
        if self.state.in_progress() > 0 {
            warn!(self.state.log(), "process.cuts_off"; "in_progress" => self.state.in_progress());
        }
        self.supervisor.finish(SHUTDOWN_TIMEOUT).await;
        info!(self.state.log(), "process.stopped"; "ms" => started.elapsed().as_millis() as u64);
    }

    /// Stops immediately, as a crash would.
    pub fn abort(self) {
        drop(self.supervisor);
    }
}

async fn handle_operator(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    state.adapter().handle_operator(state.clone(), request).await
}

async fn handle_directory(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    state.adapter().handle_directory(&state, &request)
}

/// Starts a supervised task that goes on until shutdown.
fn spawn_task<A>(
    supervisor: &mut Supervisor,
    name: &'static str,
    state: &Arc<State>,
    run: impl Fn(Arc<State>) -> A + Copy + Send + Sync + 'static,
) where
    A: Future<Output = ()> + Send + 'static,
{
    let (state, stop) = (state.clone(), supervisor.stop());
    supervisor.child(name, move || {
        let (state, mut stop) = (state.clone(), stop.clone());
        async move {
            tokio::select! {
                () = run(state) => (),
                _ = stop.wait_for(|stop| *stop) => (),
            }
        }
    });
}

/// Starts a supervised listener; the socket stays open if the task panics.
fn spawn_listener<F, A>(
    supervisor: &mut Supervisor,
    name: &'static str,
    socket: TcpListener,
    state: &Arc<State>,
    answer: F,
) where
    F: Fn(Arc<State>, Request<Incoming>) -> A + Copy + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let (socket, state) = (Arc::new(socket), state.clone());
    let stop: watch::Receiver<bool> = supervisor.stop();
    supervisor.child(name, move || {
        let state = state.clone();
        server::serve(socket.clone(), stop.clone(), move |request, _| {
            answer(state.clone(), request)
        })
    });
}

/// Rejects requests over links: an entry VM is a client only.
struct NoRequests;

impl Handler for NoRequests {
    fn call(&self, _: Peer, _: crate::wire::Request) -> BoxFuture<'static, Reply> {
        futures::future::ready(Reply::Unsupported).boxed()
    }

    fn cast(&self, _: Peer, _: Cast) {}
}
