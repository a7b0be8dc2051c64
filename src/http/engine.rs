//! Model engines and plain services: the wire details of sending a request and reading its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Job;
use crate::entry::transcript::Head;
use crate::entry::transcript::Writer;
use crate::http::client::Client;
use crate::http::client::Error;
use crate::http::client::Lease;
use crate::id;

/// Carries the attempt's id to the upstream and back.
pub const ATTEMPT: &str = "mastic-attempt";
/// Carries the scheduling priority; a lower number runs first.
pub const PRIORITY: &str = "mastic-priority";
/// Asks for the answer from this event on.
pub const RESUME: &str = "mastic-resume-offset";
/// Says on a refusal that the request ran nowhere.
pub const RAN: &str = "mastic-ran";
/// The body of the last event of a whole stream.
const DONE: &[u8] = b"data: [DONE]";
/// The largest answer that is held, in bytes; plain services with larger ones must be called directly.
const ANSWER_BYTES: usize = 64 << 20;
/// Whether an upstream is there at all is asked within this.
const PROBE: Duration = Duration::from_secs(1);

/// How far an attempt got, as far as it matters for running the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// No byte reached the upstream.
    NothingSent,
    /// The upstream itself said that it did not run.
    SaidNotRun,
    /// Bytes were sent: it may have run.
    Sent,
}

/// Why an attempt has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// How far it got.
    pub evidence: Evidence,
    /// What went wrong.
    pub why: String,
    /// Whether the upstream said that it is full, which is no fault.
    pub full: bool,
    /// Whether the connection went silent.
    pub silent: bool,
}

/// How long the upstream may keep silent.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// Until the head of the answer.
    pub first: Duration,
    /// Between two pieces of the body.
    pub between: Duration,
}

/// What an attempt is told besides the request.
#[derive(Debug, Clone)]
pub struct Order {
    /// The attempt's id.
    pub attempt: id::Attempt,
    /// Where the upstream takes requests.
    pub address: SocketAddr,
    /// The scheduling priority.
    pub priority: u8,
    /// Events that the caller has already.
    pub offset: usize,
    /// How long the upstream may keep silent.
    pub patience: Patience,
    /// Headers for the caller.
    pub marks: Vec<(HeaderName, HeaderValue)>,
}

fn lost(why: impl Into<String>) -> Failure {
    Failure { evidence: Evidence::Sent, why: why.into(), full: false, silent: false }
}

fn silent(why: &str) -> Failure {
    Failure { evidence: Evidence::Sent, why: why.to_owned(), full: false, silent: true }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let evidence = match error {
            Error::Unsent(_) => Evidence::NothingSent,
            Error::Lost(_) => Evidence::Sent,
        };
        Self { evidence, why: error.to_string(), full: false, silent: false }
    }
}

/// Runs one attempt and passes its answer on. A whole answer ends with `Ok`; whatever else it was is told by the
/// failure, and what was passed on by then stays.
pub async fn run(client: &Client, job: &Job, order: &Order, out: &Writer) -> Result<(), Failure> {
    let request = request(job, order)?;
    let sent = time::timeout(order.patience.first, client.send(order.address, request)).await;
    let (response, lease) = sent.map_err(|_| silent("no answer began in time"))??;
    check(&response, order)?;
    let lease = if job.events && response.status().is_success() {
        events(response, lease, job, order, out).await?
    } else {
        whole(response, lease, order, out).await?
    };
    client.keep(lease);
    Ok(())
}

fn request(job: &Job, order: &Order) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(&job.path)
        .header(header::HOST, order.address.to_string())
        .header(ATTEMPT, order.attempt.to_string())
        .header(PRIORITY, order.priority.to_string());
    if order.offset > 0 {
        request = request.header(RESUME, order.offset.to_string());
    }
    for (name, value) in &job.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(job.body.clone())).map_err(|error| Failure {
        evidence: Evidence::NothingSent,
        why: error.to_string(),
        full: false,
        silent: false,
    })
}

/// Refuses an answer that is not this attempt's, and tells a refusal of the upstream from an answer.
fn check(response: &Response<Incoming>, order: &Order) -> Result<(), Failure> {
    let ran = response.headers().get(RAN).is_some_and(|value| value == "no");
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.status() == StatusCode::TOO_MANY_REQUESTS
    {
        let evidence = if ran { Evidence::SaidNotRun } else { Evidence::Sent };
        let why = format!("the upstream refused with {}", response.status());
        return Err(Failure { evidence, why, full: true, silent: false });
    }
    // Failure: an answer comes late on a connection that carries another request by now, or an engine mixes two up,
    // and a caller reads somebody else's mandates. The echoed id is compared before any byte is passed on.
    if let Some(echoed) = response.headers().get(ATTEMPT)
        && echoed.as_bytes() != order.attempt.to_string().as_bytes()
    {
        return Err(lost("the answer belongs to another attempt"));
    }
    Ok(())
}

/// The head as the caller gets it.
fn head(response: &Response<Incoming>, order: &Order, events: bool) -> Head {
    let mut headers = order.marks.clone();
    let passed = response.headers().iter().filter(|(name, _)| {
        **name == header::CONTENT_TYPE
            || **name == header::CONTENT_ENCODING
            || **name == header::LOCATION
            || **name == header::ETAG
            || **name == header::CACHE_CONTROL
    });
    headers.extend(passed.map(|(name, value)| (name.clone(), value.clone())));
    Head { status: response.status(), headers, events }
}

/// Passes a stream of events on, each when it is complete, so that a resumed stream can be told where to go on.
async fn events(
    mut response: Response<Incoming>,
    lease: Lease,
    job: &Job,
    order: &Order,
    out: &Writer,
) -> Result<Lease, Failure> {
    let head = head(&response, order, true);
    let mut pending = BytesMut::new();
    let mut total = 0;
    loop {
        let frame = next(&mut response, order, job.deadline).await?;
        let Some(data) = frame else { return Err(lost("the stream ended before it was whole")) };
        total += data.len();
        pending.extend_from_slice(&data);
        if total > ANSWER_BYTES {
            return Err(lost("the answer is too large"));
        }
        while let Some(end) = pending.windows(2).position(|two| two == b"\n\n") {
            let event = pending.split_to(end + 2).freeze();
            out.head(head.clone());
            let done = event.starts_with(DONE);
            out.push(event);
            if done {
                drain(&mut response, order, job.deadline).await;
                return Ok(lease);
            }
        }
    }
}

/// Reads a whole answer before any of it is passed on: a broken one can then be replaced by another attempt's.
async fn whole(
    mut response: Response<Incoming>,
    lease: Lease,
    order: &Order,
    out: &Writer,
) -> Result<Lease, Failure> {
    let head = head(&response, order, false);
    let mut body = BytesMut::new();
    let far = Instant::now() + Duration::from_secs(86_400);
    while let Some(data) = next(&mut response, order, far).await? {
        body.extend_from_slice(&data);
        if body.len() > ANSWER_BYTES {
            return Err(lost("the answer is too large"));
        }
    }
    out.head(head);
    out.push(body.freeze());
    Ok(lease)
}

async fn next(
    response: &mut Response<Incoming>,
    order: &Order,
    deadline: Instant,
) -> Result<Option<Bytes>, Failure> {
    loop {
        let limit = order.patience.between.min(deadline.saturating_duration_since(Instant::now()));
        let frame = time::timeout(limit, response.body_mut().frame()).await;
        match frame.map_err(|_| silent("the answer went silent"))? {
            None => return Ok(None),
            Some(Err(error)) => return Err(lost(format!("the answer broke off: {error}"))),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Reads what follows the last event, so that the connection can be kept.
async fn drain(response: &mut Response<Incoming>, order: &Order, deadline: Instant) {
    while let Ok(Some(_)) = next(response, order, deadline).await {}
}

/// Whether an upstream that went silent on one connection answers on a fresh one.
pub async fn probe(client: &Client, address: SocketAddr) -> bool {
    client.forget(Some(address));
    let request = Request::builder()
        .method(Method::GET)
        .uri("/load")
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return false };
    matches!(time::timeout(PROBE, client.send(address, request)).await, Ok(Ok(_)))
}
