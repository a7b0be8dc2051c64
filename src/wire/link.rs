//! One connection to another process of the system, with calls, casts and heartbeats both ways.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::Sink;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use futures::future::BoxFuture;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use crate::sync::Mutex;
use crate::wire::Cast;
use crate::wire::Error;
use crate::wire::Frame;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Traffic;
use crate::wire::traffic::Kind;

/// Interval without another frame after which a heartbeat is sent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Time without a received frame after which a link is closed: four heartbeats, so that a short pause of the scheduler
/// doesn't close it, and a silent link is replaced within 3 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2800);
/// Capacity of a link's send queue, in frames. If it is full, casts are dropped and calls wait.
const SEND_QUEUE_FRAMES: usize = 1024;

/// Handles the calls and casts of peers.
pub trait Handler: Send + Sync + 'static {
    /// Handles a call.
    fn call(&self, from: Peer, request: Request) -> BoxFuture<'static, Reply>;
    /// Handles a message without a reply.
    fn cast(&self, from: Peer, cast: Cast);
}

type Calls = Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>>;

/// A handle to one connection, which ends when it is idle for [`IDLE_TIMEOUT`] or fails.
#[derive(Debug, Clone)]
pub struct Link {
    peer: Peer,
    out: mpsc::Sender<Outgoing>,
    calls: Calls,
    next: Arc<AtomicU64>,
}

/// A frame that waits to be sent.
#[derive(Debug)]
enum Outgoing {
    Frame(Frame),
    /// An encoded frame, shared by several links.
    Encoded(Kind, Bytes),
}

impl Link {
    /// Authenticates both ends of a new connection. Returns the link and the task that serves it.
    pub async fn open<S>(
        socket: WebSocketStream<S>,
        me: Peer,
        secret: &str,
        handler: Arc<dyn Handler>,
        traffic: Arc<Traffic>,
    ) -> Result<(Self, BoxFuture<'static, ()>), Error>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (mut sink, mut stream) = socket.split();
        let hello = Frame::Hello { peer: me, secret: secret.to_owned() };
        send(&mut sink, hello.encode()?).await.ok_or(Error::Unauthenticated)?;
        let greeting = time::timeout(IDLE_TIMEOUT, receive(&mut stream)).await;
        let peer = match greeting {
            Ok(Some(Frame::Hello { peer, secret: theirs })) if is_same_secret(secret, &theirs) => {
                peer
            }
            _ => return Err(Error::Unauthenticated),
        };
        let (out, frames) = mpsc::channel(SEND_QUEUE_FRAMES);
        let calls = Calls::default();
        let link = Self {
            peer: peer.clone(),
            out: out.clone(),
            calls: calls.clone(),
            next: Arc::new(AtomicU64::new(1)),
        };
        let task = async move {
            tokio::select! {
                () = write(sink, frames, &traffic) => (),
                () = read(stream, peer, out, calls.clone(), handler) => (),
            }
            // Fails pending calls at once instead of at their timeouts.
            calls.lock().clear();
        };
        Ok((link, Box::pin(task)))
    }

    /// The other end.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.out.is_closed()
    }

    /// Sends a call and waits for the reply until the timeout.
    pub async fn call(&self, request: Request, timeout: Duration) -> Result<Reply, Error> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.calls.lock().insert(number, sender);
        let asked = async {
            let frame = Outgoing::Frame(Frame::Call { number, request });
            if self.out.send(frame).await.is_err() {
                return Err(Error::Unsent { peer: self.peer.clone(), why: "closed".to_owned() });
            }
            receiver.await.map_err(|_| Error::Lost { peer: self.peer.clone() })
        };
        let reply = time::timeout(timeout, asked).await;
        self.calls.lock().remove(&number);
        reply.unwrap_or_else(|_| Err(Error::Lost { peer: self.peer.clone() }))
    }

    /// Sends a message without a reply. Returns false if the link is closed or its send queue is full.
    pub fn cast(&self, cast: Cast) -> bool {
        self.out.try_send(Outgoing::Frame(Frame::Cast(cast))).is_ok()
    }

    /// Sends an encoded frame without a reply. Returns false if the link is closed or its send queue is full.
    pub fn cast_encoded(&self, kind: Kind, frame: Bytes) -> bool {
        self.out.try_send(Outgoing::Encoded(kind, frame)).is_ok()
    }
}

/// Compares in constant time, so that the duration reveals nothing about the secret.
fn is_same_secret(ours: &str, theirs: &str) -> bool {
    use subtle::ConstantTimeEq;
    ours.as_bytes().ct_eq(theirs.as_bytes()).into()
}

async fn send<S>(sink: &mut S, bytes: Bytes) -> Option<()>
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    // A peer that reads nothing for this long has failed, even if the connection still looks open.
    time::timeout(IDLE_TIMEOUT, sink.send(Message::Binary(bytes))).await.ok()?.ok()
}

async fn receive<S>(stream: &mut S) -> Option<Frame>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        match stream.next().await? {
            Ok(Message::Binary(bytes)) => return Frame::decode(&bytes).ok(),
            Ok(Message::Ping(_) | Message::Pong(_)) => (),
            Ok(_) | Err(_) => return None,
        }
    }
}

async fn write<S>(mut sink: S, mut frames: mpsc::Receiver<Outgoing>, traffic: &Traffic)
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    loop {
        let (kind, encoded) = match time::timeout(HEARTBEAT_INTERVAL, frames.recv()).await {
            Ok(Some(Outgoing::Frame(frame))) => (Kind::from(&frame), frame.encode()),
            Ok(Some(Outgoing::Encoded(kind, bytes))) => (kind, Ok(bytes)),
            Ok(None) => return,
            Err(_) => (Kind::Link, Frame::Ping.encode()),
        };
        let Ok(bytes) = encoded else { return };
        traffic.record(kind, bytes.len());
        if send(&mut sink, bytes).await.is_none() {
            return;
        }
    }
}

async fn read<S>(
    mut stream: S,
    peer: Peer,
    out: mpsc::Sender<Outgoing>,
    calls: Calls,
    handler: Arc<dyn Handler>,
) where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    while let Ok(Some(frame)) = time::timeout(IDLE_TIMEOUT, receive(&mut stream)).await {
        match frame {
            Frame::Ping | Frame::Hello { .. } => (),
            Frame::Call { number, request } => {
                let answer = handler.call(peer.clone(), request);
                let out = out.clone();
                tokio::spawn(async move {
                    let reply = answer.await;
                    out.send(Outgoing::Frame(Frame::Reply { number, reply })).await.ok();
                });
            }
            Frame::Reply { number, reply } => {
                let waiting = calls.lock().remove(&number);
                if let Some(sender) = waiting {
                    sender.send(reply).ok();
                }
            }
            Frame::Cast(cast) => handler.cast(peer.clone(), cast),
        }
    }
}
