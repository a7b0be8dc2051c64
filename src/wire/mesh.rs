//! The links of one process, made when they are first needed and made anew when they break.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::wire::Cast;
use crate::wire::Error;
use crate::wire::Frame;
use crate::wire::Link;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::frame::MAX_FRAME_BYTES;
use crate::wire::link::Handler;

/// Connecting takes no longer than this; between regions a trip takes a tenth of it at most.
const CONNECT: Duration = Duration::from_millis(1500);
/// A connection that hasn't come about is asked for once more after this, beside the first one: a trip between regions
/// there and back, and a little more.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// After a failed attempt the next one to the same peer waits so long, so that a dead peer costs little.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Greetings in progress at once on the listener: strangers can't use up memory.
const GREETINGS: usize = 256;
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
}

/// What is known of the link to one peer.
#[derive(Default)]
struct Slot {
    link: Option<Link>,
    failed: Option<Instant>,
    /// Held while one task connects, so that a crowd of callers makes one connection.
    connecting: Arc<tokio::sync::Mutex<()>>,
}

impl Mesh {
    /// A mesh without links. `book` gives the addresses of the peers.
    pub fn new(
        me: Peer,
        secret: String,
        book: HashMap<Peer, SocketAddr>,
        handler: Arc<dyn Handler>,
    ) -> Self {
        let links = Mutex::default();
        Self { shared: Arc::new(Shared { me, secret, book: Mutex::new(book), links, handler }) }
    }

    /// Notes or replaces a peer's address.
    pub fn learn(&self, peer: Peer, address: SocketAddr) {
        self.shared.book.lock().expect("no panic while locked").insert(peer, address);
    }

    /// The peers with a link at present.
    pub fn linked(&self) -> Vec<Peer> {
        let links = self.shared.links.lock().expect("no panic while locked");
        let open = |slot: &Slot| slot.link.as_ref().is_some_and(|link| !link.is_closed());
        links.iter().filter(|(_, slot)| open(slot)).map(|(peer, _)| peer.clone()).collect()
    }

    /// Asks a peer; connects first where there is no link.
    pub async fn call(
        &self,
        peer: &Peer,
        request: Request,
        limit: Duration,
    ) -> Result<Reply, Error> {
        let until = Instant::now() + limit;
        let link = self.link(peer).await?;
        link.call(request, until.saturating_duration_since(Instant::now())).await
    }

    /// Sends without a reply. Where there is no link, one is made in the background and the message goes after.
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
        let frame = Frame::Cast(cast).encode()?;
        for peer in peers {
            if let Some(link) = self.present(&peer) {
                link.cast_encoded(frame.clone());
                continue;
            }
            let (mesh, frame) = (self.clone(), frame.clone());
            tokio::spawn(async move {
                if let Ok(link) = mesh.link(&peer).await {
                    link.cast_encoded(frame);
                }
            });
        }
        Ok(())
    }

    fn present(&self, peer: &Peer) -> Option<Link> {
        let links = self.shared.links.lock().expect("no panic while locked");
        links.get(peer)?.link.clone().filter(|link| !link.is_closed())
    }

    /// The link to a peer, made where there is none.
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
        if failed.is_some_and(|at| at.elapsed() < RETRY_AFTER) {
            return Err(unsent("it could not be reached a moment ago"));
        }
        let address = self.shared.book.lock().expect("no panic while locked").get(peer).copied();
        let address = address.ok_or_else(|| unsent("its address is not known"))?;
        let made = time::timeout(CONNECT, self.connect(peer, address)).await;
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
                Err(unsent("connecting took too long"))
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
        let opened = Link::open(socket, shared.me.clone(), &shared.secret, handler).await;
        let (link, task) = opened?;
        if link.peer() != peer {
            return Err(Error::Stranger);
        }
        tokio::spawn(task);
        self.slot(peer, |slot| slot.link = Some(link.clone()));
        Ok(link)
    }

    fn slot<T>(&self, peer: &Peer, act: impl FnOnce(&mut Slot) -> T) -> T {
        let mut links = self.shared.links.lock().expect("no panic while locked");
        act(links.entry(peer.clone()).or_default())
    }

    /// Accepts links until `stop` turns true.
    pub async fn listen(self, listener: Arc<TcpListener>, mut stop: watch::Receiver<bool>) {
        let greetings = Arc::new(tokio::sync::Semaphore::new(GREETINGS));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            let Ok((stream, _)) = accepted else {
                // Out of file descriptors, most likely: accepting at once again would spin.
                time::sleep(RETRY_AFTER).await;
                continue;
            };
            let Ok(permit) = greetings.clone().try_acquire_owned() else { continue };
            let mesh = self.clone();
            tokio::spawn(async move {
                let greeted = time::timeout(CONNECT, mesh.accept(stream)).await;
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
        let opened = Link::open(socket, shared.me.clone(), &shared.secret, handler).await;
        let (link, task) = opened?;
        let peer = link.peer().clone();
        // The newest link wins: a peer that connects anew has given up the one before.
        self.slot(&peer, |slot| slot.link = Some(link));
        Ok(task)
    }
}

/// Connects, asking once more each [`ASK_AGAIN`]; the first attempt that comes about, or is refused, counts.
///
/// Failure: two VMs start at the same moment, and the first packet reaches one that isn't up yet. The system sends it
/// again after a second; the caller's own time limit cuts it off after that.
async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        if let Ok(Some(connected)) = time::timeout(ASK_AGAIN, attempts.next()).await {
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
