//! A fake as a process: it listens, announces itself, crashes and comes back.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::announce;
use crate::body;
use crate::body::Body;
use crate::engine;
use crate::fault::Fault;
use crate::order::Order;
use crate::run::Run;
use crate::service;
use crate::settings::Kind;
use crate::settings::Settings;
use crate::state::State;

/// Time between two tries to listen again after a crash.
const REBIND: Duration = Duration::from_millis(20);

/// A running fake; it ends when it is dropped, like a process that is killed.
#[derive(Debug)]
pub struct Upstream {
    state: Arc<State>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Upstream {
    /// Starts it.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(settings));
        let task = tokio::spawn(supervise(Arc::clone(&state), listener, address));
        Ok(Self { state, address, task })
    }

    /// Where it takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name.
    pub fn id(&self) -> &str {
        &self.state.settings.id
    }

    /// All that ran, also before a crash.
    pub fn ran(&self) -> Vec<Run> {
        self.state.log.all()
    }

    /// How often requests of a key ran.
    pub fn executions(&self, key: &str) -> usize {
        self.ran().iter().filter(|run| run.key.as_deref() == Some(key)).count()
    }

    /// Requests that run and that wait, right now.
    pub fn load(&self) -> (usize, usize) {
        self.state.slots().load()
    }

    /// Orders that were taken.
    pub fn orders(&self) -> Vec<Order> {
        self.state.with(|inner| inner.orders.clone())
    }

    /// The models that are loaded now.
    pub fn models(&self) -> Vec<String> {
        self.state.with(|inner| inner.models.clone())
    }

    /// Its start count.
    pub fn incarnation(&self) -> u64 {
        self.state.with(|inner| inner.incarnation)
    }

    /// Lets that go wrong with the next request.
    pub fn fail_next(&self, fault: Fault) {
        self.state.with(|inner| inner.faults.push_back(fault));
    }

    /// Refuses all requests as not run, or no longer.
    pub fn refuse(&self, refuses: bool) {
        self.state.with(|inner| inner.refuses = refuses);
    }

    /// Takes that many times as long for everything.
    pub fn slow_down(&self, factor: f64) {
        self.state.with(|inner| inner.slowdown = factor);
    }

    /// Goes silent on all open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.state.with(|inner| inner.silent_below = u64::MAX);
    }

    /// Dies: the listener and all connections are gone at once, and nobody is told.
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// Comes back after a crash, with the next incarnation.
    pub fn restart(&self) {
        self.state.restart.notify_one();
    }

    /// Leaves in order: it tells the VM that it announced itself to, ends what runs, and stops.
    pub async fn stop(mut self) {
        announce::leave(&self.state).await;
        self.task.abort();
        // Either way it has ended; an abort is what was asked for.
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn supervise(state: Arc<State>, listener: TcpListener, address: SocketAddr) {
    let mut listener = Some(listener);
    loop {
        let listener = match listener.take() {
            Some(listener) => listener,
            None => bind(address).await,
        };
        let mut life = JoinSet::new();
        life.spawn(accept(Arc::clone(&state), listener));
        life.spawn(announce::run(Arc::clone(&state), address));
        state.crash.notified().await;
        life.shutdown().await;
        match state.settings.restart_after {
            Some(after) => drop(time::timeout(after, state.restart.notified()).await),
            None => state.restart.notified().await,
        }
        // A crash that was asked for while it was dead doesn't count.
        let _stale = state.crash.notified().now_or_never();
        state.reborn();
    }
}

async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => time::sleep(REBIND).await,
        }
    }
}

async fn accept(state: Arc<State>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let mut number = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                number += 1;
                // All connections up to now may have been told to be silent, and this one not.
                state.with(|inner| inner.silent_below = inner.silent_below.min(number));
                connections.spawn(serve(Arc::clone(&state), stream, number));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(state: Arc<State>, stream: TcpStream, connection: u64) {
    // Without it the short pieces of an answer wait for each other's acknowledgement.
    let _nodelay = stream.set_nodelay(true);
    let handler = service_fn(|request| answer(Arc::clone(&state), request, connection));
    // A connection that breaks off is what callers of a fake must cope with.
    let _broken = http1::Builder::new().serve_connection(TokioIo::new(stream), handler).await;
}

async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
    connection: u64,
) -> io::Result<Response<Body>> {
    if state.is_silent(connection) {
        return std::future::pending().await;
    }
    match (request.method(), request.uri().path(), state.settings.kind) {
        (&Method::GET, "/ran", _) => Ok(body::json(http::StatusCode::OK, &state.log.all())),
        (&Method::GET, "/load", _) => Ok(body::json(http::StatusCode::OK, &state.load())),
        (_, _, Kind::Engine) => engine::handle(state, request, connection).await,
        (_, _, Kind::Service) => service::handle(state, request, connection).await,
    }
}

#[cfg(test)]
mod tests;
