//! One request's answer as it comes in, read by its caller and by every resend that joined.

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use tokio::sync::watch;

use crate::http::Body;
use crate::http::Refusal;
use crate::http::body::Broken;
use crate::http::memory::Reservation;
use crate::ledger;
use crate::sync::Mutex;
use crate::unit::Tokens;

/// What comes before the body of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Whether the body is a stream of server-sent events.
    pub events: bool,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub enum End {
    /// It is whole.
    Whole,
    /// It broke off after its head was sent.
    Broken(Refusal),
    /// There is none.
    Refused(Refusal),
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    comments: usize,
    end: Option<End>,
}

/// The writing side, held by the task that runs the request.
#[derive(Debug)]
pub struct Writer {
    state: watch::Sender<State>,
    memory: Mutex<Memory>,
}

/// The memory that an answer takes up until its last reader and writer are gone.
#[derive(Debug)]
struct Memory {
    bytes: usize,
    reservation: Reservation,
}

/// The upstream's own count, in a whole answer.
#[derive(Deserialize)]
struct Counted {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

/// The reading side of one caller; when the last reader goes, the writer hears it.
#[derive(Debug, Clone)]
pub struct Reader {
    state: watch::Receiver<State>,
    at: usize,
}

impl Writer {
    /// An empty answer, whose pieces take up memory of that reservation.
    pub fn new(reservation: Reservation) -> Self {
        Self {
            state: watch::Sender::default(),
            memory: Mutex::new(Memory { bytes: 0, reservation }),
        }
    }

    /// Reserves memory for that many more bytes, and returns whether it is available.
    pub fn reserve(&self, bytes: usize) -> bool {
        let memory = &mut *self.memory.lock();
        let is_available = memory.reservation.grow_to(memory.bytes + bytes);
        if is_available {
            memory.bytes += bytes;
        }
        is_available
    }

    /// Releases bytes that were reserved and are not kept.
    pub fn release(&self, bytes: usize) {
        let memory = &mut *self.memory.lock();
        memory.bytes = memory.bytes.saturating_sub(bytes);
        memory.reservation.shrink_to(memory.bytes);
    }

    /// Sets the head; a later one is ignored.
    pub fn head(&self, head: Head) {
        self.state.send_if_modified(|state| {
            let first = state.head.is_none();
            if first {
                state.head = Some(head);
            }
            first
        });
    }

    /// Adds a piece of the body.
    pub fn push(&self, chunk: Bytes) {
        self.state.send_modify(|state| state.chunks.push(chunk));
    }

    /// Ends the answer; a later end is ignored.
    pub fn end(&self, end: End) {
        self.state.send_modify(|state| {
            let broken = |refusal| match state.head {
                Some(_) => End::Broken(refusal),
                None => End::Refused(refusal),
            };
            let end = match end {
                End::Refused(refusal) | End::Broken(refusal) => broken(refusal),
                End::Whole => End::Whole,
            };
            state.end.get_or_insert(end);
        });
    }

    /// Pieces of the answer that readers may have seen already, comments not counted.
    pub fn pushed(&self) -> usize {
        let state = self.state.borrow();
        state.chunks.len() - state.comments
    }

    /// Tells callers who wait for a stream that their request is alive, before its answer begins. The stream is begun
    /// by it: a refusal that comes later is an event of the stream.
    pub fn comment(&self, head: Head) {
        self.state.send_modify(|state| {
            state.head.get_or_insert(head);
            state.chunks.push(Bytes::from_static(b": waiting\n\n"));
            state.comments += 1;
        });
    }

    /// Sets a whole answer. Where a stream has begun already, the answer becomes its last event.
    pub fn whole_answer(&self, head: Head, body: Bytes) {
        self.state.send_modify(|state| {
            let begun = state.head.as_ref().is_some_and(|head| head.events);
            if begun && !head.events {
                let text = String::from_utf8_lossy(&body).replace('\n', "\ndata: ");
                let name = if head.status.is_success() { "message" } else { "error" };
                let event = format!("event: {name}\ndata: {text}\n\n");
                state.chunks.push(Bytes::from(event));
                return;
            }
            state.head.get_or_insert(head);
            state.chunks.push(body);
        });
    }

    /// A reader from the start.
    pub fn reader(&self) -> Reader {
        Reader { state: self.state.subscribe(), at: 0 }
    }

    /// Waits until no reader is left.
    pub async fn abandoned(&self) {
        self.state.closed().await;
    }

    /// The tokens that the request took, its prompt of so many among them: by the upstream's own count where it gave
    /// one, else one for each event.
    pub fn tokens(&self, prompt: Tokens) -> Tokens {
        let state = self.state.borrow();
        let pieces = &state.chunks[state.comments..];
        let Some(head) = &state.head else { return Tokens::ZERO };
        if head.events {
            return prompt + Tokens::new(pieces.len() as u64);
        }
        let counted = pieces.first().and_then(|body| serde_json::from_slice(body).ok());
        counted.map_or(prompt, |Counted { usage }| Tokens::new(usage.total_tokens))
    }

    /// The answer in one piece, as the ledger keeps it.
    pub fn kept_answer(&self) -> Option<ledger::Answer> {
        let state = self.state.borrow();
        let head = state.head.as_ref()?;
        let kind = head.headers.iter().find(|(name, _)| *name == header::CONTENT_TYPE);
        let media = kind.and_then(|(_, value)| value.to_str().ok()).unwrap_or_default();
        let body = state.chunks[state.comments..].concat();
        Some(ledger::Answer::new(head.status.as_u16(), media, body))
    }
}

impl Reader {
    /// The answer: as soon as its head is there, or the refusal in its place.
    pub async fn response(mut self) -> Response<Body> {
        match self.opening().await {
            Ok(head) => self.stream(head),
            Err(refusal) => refusal.response(),
        }
    }

    /// The head, or the refusal in its place.
    async fn opening(&mut self) -> Result<Head, Refusal> {
        let decided = self.state.wait_for(|state| state.head.is_some() || state.end.is_some());
        let state = decided.await.map_err(|_| lost())?;
        match (&state.head, &state.end) {
            (Some(head), _) => Ok(head.clone()),
            (None, Some(End::Refused(refusal) | End::Broken(refusal))) => Err(refusal.clone()),
            (None, _) => Err(lost()),
        }
    }

    fn stream(self, head: Head) -> Response<Body> {
        let body = StreamBody::new(self.pieces(head.events)).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        for (name, value) in head.headers {
            response.headers_mut().insert(name, value);
        }
        response
    }

    /// The pieces of the body. A broken answer ends in an error event, and never in the mark of a whole one; where
    /// the body has no events, an error aborts the connection.
    fn pieces(self, events: bool) -> impl Stream<Item = Result<Frame<Bytes>, Broken>> {
        stream::unfold(Some(self), move |reader| async move {
            let mut reader = reader?;
            match reader.next().await {
                Piece::Chunk(chunk) => Some((Ok(Frame::data(chunk)), Some(reader))),
                Piece::Whole => None,
                Piece::Broken(refusal) if events => {
                    let problem = serde_json::to_string(&refusal.problem()).unwrap_or_default();
                    let event = format!("event: error\ndata: {problem}\n\n");
                    Some((Ok(Frame::data(Bytes::from(event))), None))
                }
                Piece::Broken(refusal) => Some((Err(Broken(refusal.detail)), None)),
            }
        })
    }

    async fn next(&mut self) -> Piece {
        let at = self.at;
        let more =
            self.state.wait_for(|state| state.chunks.len() > at || state.end.is_some()).await;
        let Ok(state) = more else { return Piece::Broken(lost()) };
        if let Some(chunk) = state.chunks.get(at) {
            let chunk = chunk.clone();
            drop(state);
            self.at += 1;
            return Piece::Chunk(chunk);
        }
        match &state.end {
            Some(End::Broken(refusal) | End::Refused(refusal)) => Piece::Broken(refusal.clone()),
            Some(End::Whole) | None => Piece::Whole,
        }
    }
}

enum Piece {
    Chunk(Bytes),
    Whole,
    Broken(Refusal),
}

/// The writing task ended without a word: it was aborted, and what it had done is not known.
fn lost() -> Refusal {
    let refusal = Refusal::new(crate::http::Reason::UpstreamFailed, "the request was aborted here");
    refusal.with_ran(crate::http::Ran::Unknown)
}
