//! Reads the answer of an upstream or of another VM, and passes it on to a request's callers.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Instant;

use crate::decide::retry::Evidence;
use crate::entry::transcript::Head;
use crate::entry::transcript::Writer;
use crate::http::client::Error;

/// Names the region that answered.
pub const REGION: HeaderName = HeaderName::from_static("mastic-region");
/// The body of the last event of a whole stream.
const DONE: &[u8] = b"data: [DONE]";
/// The largest answer that is held, in bytes; services with larger ones must be called directly.
const ANSWER_BYTES: usize = 64 << 20;

/// Why an attempt has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// How far it got.
    pub evidence: Evidence,
    /// What went wrong.
    pub why: String,
    /// What it says about the upstream.
    pub fault: Fault,
}

/// What a failure says about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It refused because it is full, which is no fault.
    Full,
    /// The owner's limit is used up, and the VM that keeps it says when to come back.
    Limited {
        /// When.
        retry_after: Duration,
    },
    /// The connection went silent; the upstream may be well.
    Silent,
    /// The request does not run there any more.
    Ended,
    /// It failed.
    Failed,
    /// Nothing: another attempt answers.
    Superseded,
}

/// How long the far end may keep silent.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// Until the head of the answer.
    pub first: Duration,
    /// Between two pieces of the body.
    pub between: Duration,
}

/// Where an answer goes.
pub struct Sink<'a> {
    /// The answer's callers.
    pub out: &'a Writer,
    /// Headers for the caller, besides those of the answer.
    pub marks: Vec<(HeaderName, HeaderValue)>,
    /// Whether this attempt may answer, asked before the first piece is passed on.
    pub begins: &'a (dyn Fn() -> bool + Send + Sync),
    /// Whether the request asked for a stream of events.
    pub events: bool,
    /// How long the far end may keep silent.
    pub patience: Patience,
    /// When the answer must be whole.
    pub deadline: Instant,
}

impl Failure {
    /// A failure after bytes were sent.
    pub fn lost(why: impl Into<String>) -> Self {
        Self { evidence: Evidence::BytesSent, why: why.into(), fault: Fault::Failed }
    }

    /// The answer of a VM on which the request does not run any more.
    pub fn ended(why: &str) -> Self {
        Self { evidence: Evidence::BytesSent, why: why.to_owned(), fault: Fault::Ended }
    }

    /// A silence after bytes were sent.
    pub fn silent(why: &str) -> Self {
        Self { evidence: Evidence::BytesSent, why: why.to_owned(), fault: Fault::Silent }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let evidence = match error {
            Error::Unsent(_) => Evidence::NothingSent,
            Error::Lost(_) | Error::HeadTooLarge(_) | Error::Invalid(_) => Evidence::BytesSent,
        };
        Self { evidence, why: error.to_string(), fault: Fault::Failed }
    }
}

/// Whether a response states its length, comes in chunks or has no body, so that its end is known.
pub fn is_framed<B: Body>(response: &Response<B>) -> bool {
    response.body().size_hint().exact().is_some() || is_chunked(response.headers())
}

/// Whether the last transfer coding is chunked; a body with any other ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

impl Sink<'_> {
    /// Passes an answer on. `Ok` only when it is whole; otherwise the failure tells whether a caller has seen any of it.
    pub async fn pass(&self, response: Response<Incoming>) -> Result<(), Failure> {
        self.pass_if(response, async || true).await
    }

    /// The same, where an answer that has ended may not be whole: this is asked before a caller sees it.
    pub async fn pass_if(
        &self,
        mut response: Response<Incoming>,
        is_whole: impl AsyncFnOnce() -> bool,
    ) -> Result<(), Failure> {
        let before = self.out.pushed();
        let is_stream = response
            .headers()
            .get(header::CONTENT_TYPE)
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        let passed = if self.events && is_stream && response.status().is_success() {
            self.events(&mut response).await
        } else {
            self.whole(&mut response, is_whole).await
        };
        passed.map_err(|failure| {
            let evidence = match failure.evidence {
                Evidence::BytesSent if self.out.pushed() > before => Evidence::PassedOn,
                Evidence::BytesSent => Evidence::AnswerBegun,
                other => other,
            };
            Failure { evidence, ..failure }
        })
    }

    /// The head as the caller gets it.
    fn head(&self, response: &Response<Incoming>, events: bool) -> Head {
        let mut headers = self.marks.clone();
        let passed = response.headers().iter().filter(|(name, _)| {
            **name == header::CONTENT_TYPE
                || **name == header::CONTENT_ENCODING
                || **name == header::LOCATION
                || **name == header::ETAG
                || **name == header::CACHE_CONTROL
                || **name == header::RETRY_AFTER
                || (self.marks.is_empty() && **name == REGION)
        });
        headers.extend(passed.map(|(name, value)| (name.clone(), value.clone())));
        Head { status: response.status(), headers, events }
    }

    fn begin(&self) -> Result<(), Failure> {
        if (self.begins)() {
            return Ok(());
        }
        let why = "another attempt answers already".to_owned();
        Err(Failure { evidence: Evidence::BytesSent, why, fault: Fault::Superseded })
    }

    /// Passes a stream of events on, each when it is complete, so that a resumed stream can be told where to go on.
    async fn events(&self, response: &mut Response<Incoming>) -> Result<(), Failure> {
        let head = self.head(response, true);
        let mut pending = BytesMut::new();
        let mut scanned = 0;
        let mut begun = false;
        loop {
            let Some(data) = self.next(response, self.deadline).await? else {
                return Err(Failure::lost("the stream ended before it was whole"));
            };
            if !self.out.reserve(data.len()) {
                return Err(no_memory());
            }
            pending.extend_from_slice(&data);
            if pending.len() > ANSWER_BYTES {
                return Err(Failure::lost("an event is too large"));
            }
            while let Some(end) = end_of_event(&pending, scanned) {
                let event = pending.split_to(end).freeze();
                scanned = 0;
                // A comment is no piece of the answer: passed on, it would count as one that the caller has.
                if event.starts_with(b":") {
                    self.out.release(event.len());
                    continue;
                }
                if !begun {
                    self.begin()?;
                    self.out.head(head.clone());
                    begun = true;
                }
                let done = event.starts_with(DONE);
                self.out.push(event);
                if done {
                    self.rest(response).await;
                    return Ok(());
                }
            }
            scanned = pending.len().saturating_sub(1);
        }
    }

    /// Reads a whole answer before any of it is passed on: a broken one can then be replaced by another attempt's.
    async fn whole(
        &self,
        response: &mut Response<Incoming>,
        is_whole: impl AsyncFnOnce() -> bool,
    ) -> Result<(), Failure> {
        let mut body = BytesMut::new();
        let read = async {
            self.read_whole(response, &mut body).await?;
            if !is_whole().await {
                return Err(Failure::lost("the upstream crashed as the answer ended"));
            }
            self.begin()
        };
        if let Err(failure) = read.await {
            self.out.release(body.capacity());
            return Err(failure);
        }
        self.out.whole_answer(self.head(response, false), body.freeze());
        Ok(())
    }

    /// Reads a whole answer; memory is reserved for the capacity of `body`.
    async fn read_whole(
        &self,
        response: &mut Response<Incoming>,
        body: &mut BytesMut,
    ) -> Result<(), Failure> {
        while let Some(data) = self.next(response, self.deadline).await? {
            let needed = (body.len() + data.len()).next_power_of_two();
            if body.len() + data.len() > ANSWER_BYTES {
                return Err(Failure::lost("the answer is too large"));
            }
            if needed > body.capacity() && !self.out.reserve(needed - body.capacity()) {
                return Err(no_memory());
            }
            body.reserve(needed.saturating_sub(body.len()));
            body.extend_from_slice(&data);
        }
        Ok(())
    }

    async fn next(
        &self,
        response: &mut Response<Incoming>,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Failure> {
        let late = deadline.saturating_duration_since(Instant::now());
        let limit = self.patience.between.min(late);
        loop {
            let frame = time::timeout(limit, response.body_mut().frame()).await;
            match frame.map_err(|_| Failure::silent("the answer went silent"))? {
                None => return Ok(None),
                Some(Err(error)) => {
                    return Err(Failure::lost(format!("the answer broke off: {error}")));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads what follows the last event, so that the connection can be kept.
    async fn rest(&self, response: &mut Response<Incoming>) {
        while let Ok(Some(_)) = self.next(response, self.deadline).await {}
    }
}

fn no_memory() -> Failure {
    Failure::lost("there is no memory for the answer at present")
}

/// Where the first event ends, its blank line included; `from` tells how far was looked before.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let start = from.min(bytes.len());
    let found = bytes[start..].windows(2).position(|two| two == b"\n\n")?;
    Some(start + found + 2)
}

#[cfg(test)]
mod tests;
