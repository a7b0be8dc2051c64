//! Other entry VMs: requests that they pass on, and resends that join a request in progress here.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http::header::InvalidHeaderName;
use http_body_util::Full;
use hyper::body::Incoming;
use subtle::ConstantTimeEq;
use tokio::time;
use tokio::time::Instant;

use crate::decide::retry::Evidence;
use crate::entry::Hub;
use crate::entry::Job;
use crate::entry::running::Name;
use crate::http::Body;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::answer::Failure;
use crate::http::answer::Fault;
use crate::http::answer::Sink;
use crate::http::caller;
use crate::http::engine::RAN;
use crate::id;
use crate::ledger;
use crate::ledger::Digest;

const SECRET: &str = "mastic-secret";
const OWNER: &str = "mastic-owner";
const KEY: &str = "mastic-key";
const DIGEST: &str = "mastic-digest";
/// The VMs that a request went through.
pub const PATH: &str = "mastic-path";
/// Where a resend joins.
const JOIN: &str = "/join";

/// Answers another entry VM.
pub async fn answer(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    let shown = request.headers().get(SECRET).map_or(&b""[..], |value| value.as_bytes());
    if !bool::from(shown.ct_eq(hub.site.secret.as_bytes())) {
        let text = "this address is for VMs of the system";
        return Refusal::new(Reason::Unauthorized, text).response();
    }
    if request.uri().path() == JOIN {
        return join(&hub, request.headers()).await;
    }
    caller::forwarded(hub, request).await
}

/// The answer of a request that runs here, from its start.
async fn join(hub: &Hub, headers: &HeaderMap) -> Response<Body> {
    let (Some(owner), Some(key), Some(digest)) =
        (read(headers, OWNER), read(headers, KEY), digest(headers))
    else {
        return Refusal::new(Reason::BadRequest, "the request names no key").response();
    };
    match hub.running.join(&Name { owner, key }, digest) {
        Some(reader) => reader.response().await,
        None => Refusal::new(Reason::NotFound, "no such request runs here")
            .with_ran(Ran::Unknown)
            .response(),
    }
}

fn read<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn digest(headers: &HeaderMap) -> Option<Digest> {
    let mut bytes = [0; ledger::DIGEST_BYTES];
    hex::decode_to_slice(headers.get(DIGEST)?.as_bytes(), &mut bytes).ok()?;
    Some(Digest::new(bytes))
}

/// Reads the answer of a request that runs on another VM of the region.
pub async fn ask_join(
    hub: &Hub,
    job: &Job,
    address: SocketAddr,
    sink: &Sink<'_>,
) -> Result<(), Failure> {
    let Some(key) = &job.key else { return Err(Failure::lost("the request has no key")) };
    let request = Request::builder()
        .method(Method::GET)
        .uri(JOIN)
        .header(header::HOST, address.to_string())
        .header(SECRET, &hub.site.secret)
        .header(OWNER, job.entry.owner.as_str())
        .header(KEY, key.as_str())
        .header(DIGEST, hex::encode(job.digest.as_bytes()))
        .body(Full::new(Bytes::new()))
        .map_err(|error| Failure::lost(error.to_string()))?;
    let sent =
        time::timeout(sink.patience.first, hub.client.send_fresh(address, request, |_| ())).await;
    let (response, _lease) = sent.map_err(|_| Failure::silent("no answer began in time"))??;
    if response.status() == Reason::NotFound.status() {
        return Err(Failure::ended("the request does not run there any more"));
    }
    sink.pass(response).await
}

/// Has a request run in another region, and passes the answer on.
pub async fn ask_run(
    hub: &Hub,
    job: &Job,
    address: SocketAddr,
    sink: &Sink<'_>,
) -> Result<(), Failure> {
    let left = job.deadline.saturating_duration_since(Instant::now());
    let mut path: Vec<String> = job.hops.iter().map(ToString::to_string).collect();
    path.push(hub.me.to_string());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(&job.path)
        .header(header::HOST, address.to_string())
        .header(SECRET, &hub.site.secret)
        .header(PATH, path.join(","))
        .header(&hub.site.headers.entry, job.entry.name.as_str());
    for (name, value) in &job.headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(job.body.clone()))
        .map_err(|error| Failure::lost(error.to_string()))?;
    // The other VM answers or refuses by the deadline; what it says then still has to travel.
    let limit = left + Duration::from_secs(1);
    let deadline: HeaderName = hub
        .site
        .headers
        .deadline
        .parse()
        .map_err(|error: InvalidHeaderName| Failure::lost(error.to_string()))?;
    let tell_time_left = |request: &mut Request<Full<Bytes>>| {
        let left = job.deadline.saturating_duration_since(Instant::now());
        let millis = HeaderValue::from(left.as_millis() as u64);
        request.headers_mut().insert(&deadline, millis);
    };
    let sent = time::timeout(limit, hub.client.send_fresh(address, request, tell_time_left)).await;
    let (response, _lease) = sent.map_err(|_| Failure::silent("no answer began in time"))??;
    if let Some(ran) = response.headers().get(RAN) {
        let evidence = if ran == "no" { Evidence::SaidNotRun } else { Evidence::BytesSent };
        let why = format!("the other region refused with {}", response.status());
        let fault = match response.status() == Reason::Limit.status() {
            true => Fault::Limited { retry_after: retry_after(response.headers()) },
            false => Fault::Full,
        };
        return Err(Failure { evidence, why, fault });
    }
    sink.pass(response).await
}

fn retry_after(headers: &HeaderMap) -> Duration {
    Duration::from_secs(read(headers, header::RETRY_AFTER.as_str()).unwrap_or(1))
}

/// The VMs that a passed-on request went through.
pub fn hops(headers: &HeaderMap) -> Vec<id::Vm> {
    let path = headers.get(PATH).and_then(|value| value.to_str().ok()).unwrap_or_default();
    path.split(',').filter_map(|name| name.trim().parse().ok()).collect()
}
