//! Model engines and plain services: the wire details of an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time;
use tokio::time::Instant;

use crate::decide::retry::Evidence;
use crate::entry::Job;
use crate::http::answer::Failure;
use crate::http::answer::Fault;
use crate::http::answer::Sink;
use crate::http::answer::is_framed;
use crate::http::client::Client;
use crate::http::client::Error;
use crate::http::client::Lease;
use crate::http::client::Probe;
use crate::id;
use crate::upstream::Announcement;
use crate::upstream::Load;

/// Carries the attempt's id to the upstream and back.
pub const ATTEMPT: &str = "mastic-attempt";
/// Carries the scheduling priority; a lower number runs first.
pub const PRIORITY: &str = "mastic-priority";
/// Asks for the answer from this event on.
pub const RESUME: &str = "mastic-resume-offset";
/// Says on a refusal whether the request ran.
pub const RAN: &str = "mastic-ran";
/// Whether an upstream is there at all is asked within this.
const PROBE: Duration = Duration::from_secs(1);

/// A longer load report is ignored.
const MAX_REPORT_BYTES: usize = 64 << 10;

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
}

/// Runs one attempt and passes its answer on. `Ok` only when the answer is whole.
pub async fn run(
    client: &Client,
    job: &Job,
    order: &Order,
    sink: &Sink<'_>,
) -> Result<(), Failure> {
    let request = request(job, order)?;
    let left = job.deadline.saturating_duration_since(Instant::now());
    let first = sink.patience.first.min(left);
    let sent = time::timeout(first, client.send(order.address, request)).await;
    let (response, lease) = sent.map_err(|_| Failure::silent("no answer began in time"))??;
    check(&response, order)?;
    let is_framed = is_framed(&response);
    // A crash looks like the end of an answer without a length.
    let is_alive = async || client.probe(order.address, PROBE).await != Probe::Refused;
    let is_whole = async || is_framed || lease.has_written() && is_alive().await;
    sink.pass_if(response, is_whole).await?;
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
        fault: Fault::Superseded,
    })
}

/// Refuses an answer that is not this attempt's, and tells a refusal of the upstream from an answer.
fn check(response: &Response<Incoming>, order: &Order) -> Result<(), Failure> {
    let status = response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let said = response.headers().get(RAN).is_some_and(|value| value == "no");
        let evidence = if said { Evidence::SaidNotRun } else { Evidence::BytesSent };
        let why = format!("the upstream refused with {status}");
        return Err(Failure { evidence, why, fault: Fault::Full });
    }
    // Failure: an answer comes late on a connection that carries another request by now, or an engine mixes two up,
    // and a caller reads somebody else's mandates. The echoed id is compared before any byte is passed on.
    if let Some(echoed) = response.headers().get(ATTEMPT)
        && echoed.as_bytes() != order.attempt.to_string().as_bytes()
    {
        return Err(Failure::lost("the answer belongs to another attempt"));
    }
    Ok(())
}

/// The fields of a load report that matter here.
#[derive(Deserialize)]
struct Report {
    sequence: u64,
    running: u32,
    waiting: u32,
}

/// Asks an upstream for its load report; none where it gives none that can be read.
pub async fn load(client: &Client, upstream: &Announcement) -> Option<Load> {
    let (response, lease) =
        time::timeout(PROBE, ask_load(client, upstream.address)).await.ok()?.ok()?;
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let body = time::timeout(PROBE, body.collect()).await.ok()?.ok()?;
    client.keep(lease);
    let report: Report = serde_json::from_slice(&body.to_bytes()).ok()?;
    Some(Load {
        upstream: upstream.id.clone(),
        incarnation: upstream.incarnation,
        sequence: report.sequence,
        running: report.running,
        waiting: report.waiting,
        age: Duration::ZERO,
    })
}

async fn ask_load(
    client: &Client,
    address: SocketAddr,
) -> Result<(Response<Incoming>, Lease), Error> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/load")
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| Error::Unsent(error.to_string()))?;
    client.send(address, request).await
}

/// Whether an upstream that went silent on one connection answers on a fresh one. Kept connections are closed
/// first: something on the way may have lost track of all of them.
pub async fn probe(client: &Client, address: SocketAddr) -> bool {
    client.forget(Some(address));
    // Bytes that are no answer show as well that something runs there.
    matches!(
        time::timeout(PROBE, ask_load(client, address)).await,
        Ok(Ok(_) | Err(Error::Invalid(_)))
    )
}
