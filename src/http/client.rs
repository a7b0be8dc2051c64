//! HTTP connections to upstreams and to other VMs: one request at a time on each, kept only after a whole answer.

use std::collections::HashMap;
use std::io;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;

use crate::http::intake::Heads;
use crate::http::intake::Intake;
use crate::http::intake::Outgoing;
use crate::http::socket;
use crate::sync::Mutex;

/// Connecting takes no longer than this; a VM that is up accepts within a trip.
pub const CONNECT: Duration = Duration::from_millis(1500);
/// A kept connection is given up after so long unused. Middleboxes forget idle ones after minutes as a rule; but what
/// forgets all of them at once costs a request its whole time limit, and a fresh connection costs a trip in the region.
const IDLE: Duration = Duration::from_secs(5);
/// A connection is given up so long before the far end closes it: a trip, and a pause of this process.
const CLOSING: Duration = Duration::from_millis(500);
/// Kept connections per address.
const KEPT: usize = 64;

/// Why there is no answer, told so that the sender knows whether the request may have arrived.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// No byte of the request left.
    #[error("nothing was sent: {0}")]
    Unsent(String),
    /// Bytes left, and no answer came.
    #[error("no answer came: {0}")]
    Lost(String),
    /// Bytes left, and what came is too large for the head of an answer.
    #[error("the head of the answer is too large: {0}")]
    HeadTooLarge(String),
    /// Bytes left, and what came is no answer.
    #[error("what came is no answer: {0}")]
    Invalid(String),
}

/// What a connection attempt shows of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The connection was accepted and stayed open.
    Accepted,
    /// It was refused.
    Refused,
    /// It was closed at once, as by a proxy without a target or an upstream with too many connections.
    Closed,
    /// There was no answer.
    TimedOut,
}

/// How long an accepted connection must stay open.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(20);

/// The largest single head of an answer, in bytes; an interim one counts by itself.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    heads: Arc<Heads>,
    outgoing: Arc<Outgoing>,
}

/// A connection that waits for its next request, and until when it may.
type Kept = (Connection, Instant);

/// The connections of one process, by address.
#[derive(Debug, Clone)]
pub struct Client {
    kept: Arc<Mutex<HashMap<SocketAddr, Vec<Kept>>>>,
    connect: Duration,
    source: Option<IpAddr>,
    /// How many answers had too large a head.
    oversized: Arc<AtomicU64>,
}

impl Default for Client {
    fn default() -> Self {
        Self { kept: Arc::default(), connect: CONNECT, source: None, oversized: Arc::default() }
    }
}

/// A connection that carries one request; dropping it closes it.
#[derive(Debug)]
pub struct Lease {
    address: SocketAddr,
    connection: Connection,
    fresh: bool,
}

impl Lease {
    /// Whether the whole request has been written.
    ///
    /// An answer without a length that ends before counts as broken off: a reset that follows is never read.
    pub fn has_written(&self) -> bool {
        self.connection.outgoing.is_written()
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same, connecting no longer than that.
    #[must_use]
    pub const fn with_connect(mut self, limit: Duration) -> Self {
        self.connect = limit;
        self
    }

    /// The same, connecting from that address of this VM, where it is one.
    #[must_use]
    pub const fn with_source(mut self, source: IpAddr) -> Self {
        self.source = Some(source);
        self
    }

    /// Sends a request and waits for the head of the answer. A kept connection that proves to be dead before a
    /// byte was written is replaced by a fresh one.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), Error> {
        self.send_prepared(address, request, |_| ()).await
    }

    /// The same. `prepare` completes the request once there is a connection: what it says of the time that is left must not
    /// include the time to connect.
    pub async fn send_prepared(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        prepare: impl Fn(&mut Request<Full<Bytes>>),
    ) -> Result<(Response<Incoming>, Lease), Error> {
        loop {
            let mut lease = self.lease(address).await?;
            prepare(&mut request);
            match lease.connection.exchange(request).await {
                Ok(response) => return Ok((check_status(response)?, lease)),
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if !lease.fresh => request = unsent,
                    Some(_) => return Err(Error::Unsent(failed.error().to_string())),
                    None => return Err(self.no_answer(&lease, failed.error())),
                },
            }
        }
    }

    /// The same as [`Self::send_prepared`] on a connection of its own.
    ///
    /// Failure: something on the way has lost track of a kept connection; nothing is refused, and the request waits
    /// for its whole time limit. A connection that has just been made works.
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        prepare: impl Fn(&mut Request<Full<Bytes>>),
    ) -> Result<(Response<Incoming>, Lease), Error> {
        let mut lease = self.fresh(address).await?;
        prepare(&mut request);
        match lease.connection.exchange(request).await {
            Ok(response) => Ok((check_status(response)?, lease)),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(Error::Unsent(failed.error().to_string())),
                None => Err(self.no_answer(&lease, failed.error())),
            },
        }
    }

    /// How many answers had too large a head.
    pub fn oversized_heads(&self) -> u64 {
        self.oversized.load(Ordering::Relaxed)
    }

    fn no_answer(&self, lease: &Lease, error: &hyper::Error) -> Error {
        if lease.connection.heads.is_exceeded() || error.is_parse_too_large() {
            self.oversized.fetch_add(1, Ordering::Relaxed);
            return Error::HeadTooLarge(source_of(error));
        }
        match error.is_parse() {
            true => Error::Invalid(error.to_string()),
            false => Error::Lost(error.to_string()),
        }
    }

    /// Opens a connection without sending anything.
    pub async fn probe(&self, address: SocketAddr, limit: Duration) -> Probe {
        let stream = match time::timeout(limit, dial(address, self.source)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Probe::Refused;
            }
            Ok(Err(_)) => return Probe::Closed,
            Err(_) => return Probe::TimedOut,
        };
        match time::timeout(PROBE_OPEN_TIME, stream.readable()).await {
            Ok(_) => Probe::Closed,
            Err(_) => Probe::Accepted,
        }
    }

    /// Takes a connection back after its answer was read whole.
    pub fn keep(&self, lease: Lease) {
        self.keep_for(lease, IDLE);
    }

    /// The same, where the far end closes it after that time unused: it is given up a little sooner.
    ///
    /// Failure: a request is written while the far end closes the connection. Whether it ran can't be told, so one that
    /// may not run twice fails although every upstream is well.
    pub fn keep_for(&self, lease: Lease, idle: Duration) {
        let idle = idle.saturating_sub(CLOSING).min(IDLE);
        if lease.connection.sender.is_closed() || idle.is_zero() {
            return;
        }
        let mut kept = self.kept.lock();
        let all = kept.entry(lease.address).or_default();
        if all.len() < KEPT {
            all.push((lease.connection, Instant::now() + idle));
        }
    }

    /// Closes what is kept for an address, and what was unused for long.
    pub fn forget(&self, address: Option<SocketAddr>) {
        let mut kept = self.kept.lock();
        if let Some(address) = address {
            kept.remove(&address);
        }
        kept.retain(|_, all| {
            all.retain(|(open, until)| !open.sender.is_closed() && Instant::now() < *until);
            !all.is_empty()
        });
    }

    fn kept(&self, address: SocketAddr) -> Option<Connection> {
        let mut kept = self.kept.lock();
        let all = kept.get_mut(&address)?;
        while let Some((connection, until)) = all.pop() {
            if connection.sender.is_ready() && Instant::now() < until {
                return Some(connection);
            }
        }
        None
    }

    async fn lease(&self, address: SocketAddr) -> Result<Lease, Error> {
        if let Some(connection) = self.kept(address) {
            return Ok(Lease { address, connection, fresh: false });
        }
        self.fresh(address).await
    }

    async fn fresh(&self, address: SocketAddr) -> Result<Lease, Error> {
        let connection = time::timeout(self.connect, connect(address, self.source))
            .await
            .map_err(|_| Error::Unsent("connecting took too long".to_owned()))??;
        Ok(Lease { address, connection, fresh: true })
    }
}

/// Opens a connection from an address of this VM. Where that is not an address of this VM, the system chooses one.
async fn dial(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source.filter(|source| source.is_ipv4() == address.is_ipv4()) else {
        return TcpStream::connect(address).await;
    };
    let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    match socket.bind(SocketAddr::new(source, 0)) {
        Ok(()) => socket.connect(address).await,
        Err(_) => TcpStream::connect(address).await,
    }
}

impl Connection {
    /// Sends a request and waits for the final head of its answer.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.heads.begin();
        let response = self.sender.try_send_request(request).await?;
        self.heads.end();
        Ok(response)
    }
}

/// Rejects a status that no final answer has: the library accepts any from 100 to 999, and 101 as a final one.
fn check_status<B>(response: Response<B>) -> Result<Response<B>, Error> {
    let status = response.status();
    match status.as_u16() {
        200..=599 => Ok(response),
        _ => Err(Error::Invalid(format!("its status is {}", status.as_u16()))),
    }
}

/// The innermost cause of an error.
fn source_of(error: &hyper::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> Result<Connection, Error> {
    let unsent = |error: &dyn std::error::Error| Error::Unsent(error.to_string());
    let stream = dial(address, source).await.map_err(|error| unsent(&error))?;
    socket::prepare(&stream, None);
    let stream = Intake::new(stream);
    let (heads, outgoing) = (stream.heads(), stream.outgoing());
    let handshake =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|error| unsent(&error))?;
    // Ends when the sender is dropped: that closes the socket, and the far end sees that nobody waits.
    tokio::spawn(async move { connection.await.ok() });
    Ok(Connection { sender, heads, outgoing })
}

#[cfg(test)]
mod tests;
