//! Reading from a connection, bounded so that one sender can't take the process from all others; and whether what was to
//! be sent on it has been written.
//!
//! Guards against a sender without end: hyper parses what it reads for as long as more is there, and interim responses
//! count against no limit of its own, so that neither other tasks nor timers run.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::task;

/// The bytes that a connection reads before other tasks have their turn.
const TURN_BYTES: usize = 128 << 10;

/// The most bytes of the heads of one answer, all interim ones included. The beginning of its body counts too if it was
/// read with them.
pub const MAX_HEADS_BYTES: u64 = 256 << 10;

/// The heads of an answer exceed [`MAX_HEADS_BYTES`].
#[derive(Debug, Error)]
#[error("the heads of the answer are larger than {MAX_HEADS_BYTES} bytes")]
struct TooLarge;

/// The bytes that may still be read of the heads of an answer.
#[derive(Debug)]
pub struct Heads {
    left: AtomicU64,
}

/// Whether a message that was begun on a connection has been written to its end.
#[derive(Debug, Default)]
pub struct Outgoing {
    is_pending: AtomicBool,
}

/// A connection and its bounds.
#[derive(Debug)]
pub struct Intake<S> {
    stream: S,
    heads: Arc<Heads>,
    outgoing: Arc<Outgoing>,
    /// The bytes read in this turn.
    turn: usize,
}

impl Heads {
    /// Expects an answer.
    pub fn begin(&self) {
        self.left.store(MAX_HEADS_BYTES, Ordering::Relaxed);
    }

    /// The heads have been read.
    pub fn end(&self) {
        self.left.store(u64::MAX, Ordering::Relaxed);
    }

    /// Whether the heads are too large.
    pub fn is_exceeded(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn record(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != u64::MAX {
            self.left.store(left.saturating_sub(bytes as u64), Ordering::Relaxed);
        }
    }
}

impl Outgoing {
    /// Whether nothing is left to be written.
    pub fn is_written(&self) -> bool {
        !self.is_pending.load(Ordering::Relaxed)
    }

    fn begin(&self) {
        self.is_pending.store(true, Ordering::Relaxed);
    }

    fn end(&self) {
        self.is_pending.store(false, Ordering::Relaxed);
    }
}

impl Default for Heads {
    fn default() -> Self {
        Self { left: AtomicU64::new(u64::MAX) }
    }
}

impl<S> Intake<S> {
    /// Bounds a connection.
    pub fn new(stream: S) -> Self {
        Self { stream, heads: Arc::default(), outgoing: Arc::default(), turn: 0 }
    }

    /// The bound for the heads of its answers.
    pub fn heads(&self) -> Arc<Heads> {
        self.heads.clone()
    }

    /// How far its requests have been written.
    pub fn outgoing(&self) -> Arc<Outgoing> {
        self.outgoing.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Intake<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.heads.is_exceeded() {
            return Poll::Ready(Err(io::Error::other(TooLarge)));
        }
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            // Wakes this task only after all others that are ready.
            return pin!(task::yield_now()).poll(context).map(Ok);
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.turn = 0;
        }
        let read = buffer.filled().len() - before;
        self.turn += read;
        self.heads.record(read);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Intake<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.outgoing.begin();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.outgoing.begin();
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        // The library flushes only once it has written all that it has.
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.outgoing.end();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
