//! The links of one process, opened when they are first needed and reopened when they fail.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::sync::Mutex;
use crate::wire::Cast;
use crate::wire::Error;
use crate::wire::Frame;
use crate::wire::Link;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Traffic;
use crate::wire::frame::MAX_FRAME_BYTES;
use crate::wire::link::Handler;
use crate::wire::traffic::Kind;

/// Timeout for opening a link, over ten round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before another connection is attempted beside a pending one, slightly more than a round trip between regions.
const PARALLEL_CONNECT_DELAY: Duration = Duration::from_millis(150);
/// Delay after a failed attempt before the next one to the same peer.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of connections that are being authenticated, so that unknown peers can't exhaust memory.
const MAX_HANDSHAKES: usize = 256;
/// Bytes that each link reserves and clears for every read. A larger frame extends the buffer while it is received.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The links of one process.
#[derive(Clone)]
pub struct Mesh {
    shared: Arc<Shared>,
}

struct Shared {
    me: Peer,
    secret: String,
    book: Mutex<HashMap<Peer, SocketAddr>>,
    links: Mutex<HashMap<Peer, Slot>>,
    handler: Arc<dyn Handler>,
    traffic: Arc<Traffic>,
}

/// The state of the link to one peer.
#[derive(Default)]
struct Slot {
    link: Option<Link>,
    failed: Option<Instant>,
    /// Held while one task connects, so that concurrent callers open one connection.
    connecting: Arc<tokio::sync::Mutex<()>>,
}

impl Mesh {
    /// Creates a mesh without links. `book` holds the addresses of peers.
    pub fn new(
        me: Peer,
        secret: String,
        book: HashMap<Peer, SocketAddr>,
        handler: Arc<dyn Handler>,
    ) -> Self {
        let (links, traffic) = (Mutex::default(), Arc::default());
        Self {
            shared: Arc::new(Shared {
                me,
                secret,
                book: Mutex::new(book),
                links,
                handler,
                traffic,
            }),
        }
    }

    /// Sets a peer's address.
    pub fn learn(&self, peer: Peer, address: SocketAddr) {
        self.shared.book.lock().insert(peer, address);
    }

    /// The bytes sent on all links.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// The peers with an open link.
    pub fn linked(&self) -> Vec<Peer> {
        let links = self.shared.links.lock();
        let open = |slot: &Slot| slot.link.as_ref().is_some_and(|link| !link.is_closed());
        links.iter().filter(|(_, slot)| open(slot)).map(|(peer, _)| peer.clone()).collect()
    }

    /// Calls a peer, opening a link if there is none.
    pub async fn call(
        &self,
        peer: &Peer,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let until = Instant::now() + timeout;
        let link = self.link_until(peer, until).await?;
        link.call(request, until.saturating_duration_since(Instant::now())).await
    }

    /// The link to a peer, if it is open by then. Later calls use one that opens too late for this call.
    async fn link_until(&self, peer: &Peer, until: Instant) -> Result<Link, Error> {
        if let Some(link) = self.present(peer) {
            return Ok(link);
        }
        let (mesh, to) = (self.clone(), peer.clone());
        let linked = tokio::spawn(async move { mesh.link(&to).await });
        let unsent = |why: &str| Error::Unsent { peer: peer.clone(), why: why.to_owned() };
        match time::timeout_at(until, linked).await {
            Ok(Ok(linked)) => linked,
            Ok(Err(ended)) => Err(unsent(&ended.to_string())),
            Err(_) => Err(unsent("connecting took too long")),
        }
    }

    /// Sends a message without a reply. If there is no link, one is opened in the background first.
    pub fn cast(&self, peer: &Peer, cast: Cast) {
        if let Some(link) = self.present(peer) {
            link.cast(cast);
            return;
        }
        let mesh = self.clone();
        let peer = peer.clone();
        tokio::spawn(async move {
            if let Ok(link) = mesh.link(&peer).await {
                link.cast(cast);
            }
        });
    }

    /// Sends the same message to several peers, encoded once.
    pub fn cast_all(&self, peers: impl Iterator<Item = Peer>, cast: Cast) -> Result<(), Error> {
        let frame = Frame::Cast(cast);
        let (kind, frame) = (Kind::from(&frame), frame.encode()?);
        for peer in peers {
            if let Some(link) = self.present(&peer) {
                link.cast_encoded(kind, frame.clone());
                continue;
            }
            let (mesh, frame) = (self.clone(), frame.clone());
            tokio::spawn(async move {
                if let Ok(link) = mesh.link(&peer).await {
                    link.cast_encoded(kind, frame);
                }
            });
        }
        Ok(())
    }

    fn present(&self, peer: &Peer) -> Option<Link> {
        let links = self.shared.links.lock();
        links.get(peer)?.link.clone().filter(|link| !link.is_closed())
    }

    /// The link to a peer, opened if there is none.
    pub async fn link(&self, peer: &Peer) -> Result<Link, Error> {
        if let Some(link) = self.present(peer) {
            return Ok(link);
        }
        let unsent = |why: &str| Error::Unsent { peer: peer.clone(), why: why.to_owned() };
        let connecting = self.slot(peer, |slot| slot.connecting.clone());
        let _turn = connecting.lock().await;
        if let Some(link) = self.present(peer) {
            return Ok(link);
        }
        let failed = self.slot(peer, |slot| slot.failed);
        if failed.is_some_and(|at| at.elapsed() < RETRY_DELAY) {
            return Err(unsent("the last attempt failed a moment ago"));
        }
        let address = self.shared.book.lock().get(peer).copied();
        let address = address.ok_or_else(|| unsent("its address is not known"))?;
        let made = time::timeout(CONNECT_TIMEOUT, self.connect(peer, address)).await;
        match made {
            Ok(Ok(link)) => {
                self.slot(peer, |slot| slot.failed = None);
                Ok(link)
            }
            Ok(Err(error)) => {
                self.slot(peer, |slot| slot.failed = Some(Instant::now()));
                Err(unsent(&error.to_string()))
            }
            Err(_) => {
                self.slot(peer, |slot| slot.failed = Some(Instant::now()));
                Err(unsent("connecting timed out"))
            }
        }
    }

    async fn connect(&self, peer: &Peer, address: SocketAddr) -> Result<Link, Error> {
        let broken = |error: &dyn std::error::Error| Error::Frame(error.to_string());
        let stream = dial(address).await.map_err(|error| broken(&error))?;
        stream.set_nodelay(true).map_err(|error| broken(&error))?;
        let url = format!("ws://{address}/link");
        let (socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(limits()))
            .await
            .map_err(|error| broken(&error))?;
        let shared = &self.shared;
        let handler = shared.handler.clone();
        let opened =
            Link::open(socket, shared.me.clone(), &shared.secret, handler, shared.traffic.clone())
                .await;
        let (link, task) = opened?;
        if link.peer() != peer {
            return Err(Error::Unauthenticated);
        }
        tokio::spawn(task);
        self.slot(peer, |slot| slot.link = Some(link.clone()));
        Ok(link)
    }

    fn slot<T>(&self, peer: &Peer, act: impl FnOnce(&mut Slot) -> T) -> T {
        let mut links = self.shared.links.lock();
        act(links.entry(peer.clone()).or_default())
    }

    /// Accepts links until `stop` turns true.
    pub async fn listen(self, listener: Arc<TcpListener>, mut stop: watch::Receiver<bool>) {
        let handshakes = Arc::new(tokio::sync::Semaphore::new(MAX_HANDSHAKES));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            let Ok((stream, _)) = accepted else {
                // Probably out of file descriptors; accepting again at once would be a busy loop.
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = handshakes.clone().try_acquire_owned() else { continue };
            let mesh = self.clone();
            tokio::spawn(async move {
                let greeted = time::timeout(CONNECT_TIMEOUT, mesh.accept(stream)).await;
                drop(permit);
                if let Ok(Ok(task)) = greeted {
                    task.await;
                }
            });
        }
    }

    async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<futures::future::BoxFuture<'static, ()>, Error> {
        let broken = |error: &dyn std::error::Error| Error::Frame(error.to_string());
        stream.set_nodelay(true).map_err(|error| broken(&error))?;
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(limits()))
            .await
            .map_err(|error| broken(&error))?;
        let shared = &self.shared;
        let handler = shared.handler.clone();
        let opened =
            Link::open(socket, shared.me.clone(), &shared.secret, handler, shared.traffic.clone())
                .await;
        let (link, task) = opened?;
        let peer = link.peer().clone();
        // The newest link wins: a peer that connects anew has given up the one before.
        self.slot(&peer, |slot| slot.link = Some(link));
        Ok(task)
    }
}

/// Connects, with another attempt after each [`PARALLEL_CONNECT_DELAY`]. The first result counts.
///
/// Guards against two VMs that start at the same time: a SYN that arrives before the peer listens is retransmitted only
/// after a second.
async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        if let Ok(Some(connected)) = time::timeout(PARALLEL_CONNECT_DELAY, attempts.next()).await {
            return connected;
        }
    }
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

#[cfg(test)]
mod tests;
