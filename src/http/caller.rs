//! Callers: the paths, headers and answers that they use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::time;
use tokio::time::Instant;

use crate::catalogue;
use crate::catalogue::Kind;
use crate::catalogue::Repeat;
use crate::decide::quarantine;
use crate::entry::Hub;
use crate::entry::Job;
use crate::entry::job;
use crate::entry::job::Content;
use crate::entry::job::Origin;
use crate::entry::run;
use crate::entry::running::Entrance;
use crate::entry::running::Name;
use crate::entry::transcript::Writer;
use crate::http::Body;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::body;
use crate::http::forward;
use crate::http::target::Target;
use crate::id;

/// How long a caller may rely on the directory, in seconds: a lost VM is left out within that.
const DIRECTORY_TTL: u64 = 5;
/// A body must arrive within this; 16 MiB take 13 s at 10 Mbit/s.
const BODY: Duration = Duration::from_secs(30);
/// No deadline is longer than this.
const LONGEST_DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// When to come back to a home region that can't be reached.
const ELSEWHERE: Duration = Duration::from_secs(2);
/// `Retry-After` while other bodies take up the memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Names this system in `Via`, with the VM behind it.
const VIA_PSEUDONYM: &str = "masticstream-";

/// Where callers go.
#[derive(Debug, Serialize, Deserialize)]
pub struct Directory {
    /// How long the answer may be relied on.
    pub ttl_seconds: u64,
    /// The VMs, the best ones first.
    pub vms: Vec<Place>,
}

/// One VM that takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where it takes requests.
    pub address: SocketAddr,
}

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: id::Model,
    object: &'static str,
    owned_by: &'static str,
}

/// Answers a caller.
pub async fn answer(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    // Failure: a request ran, its answer was lost, and its resend is refused before the ledger is asked: told "not
    // run", the caller starts anew under another key, and the request is doubled. So until the ledger was asked, a
    // refusal of a request with a key doesn't say that nothing ran.
    let early = match request.headers().contains_key(&hub.site.headers.key) {
        true => Ran::Unknown,
        false => Ran::No,
    };
    let answered = match Target::of(&request) {
        Ok(target) => reach(hub.clone(), request, target).await,
        Err(refusal) => Err(refusal),
    };
    let answered = answered.unwrap_or_else(|refusal| refusal.with_ran(early).response());
    closing(&hub, answered)
}

/// Closes the connection after an answer of a VM that is shutting down.
fn closing(hub: &Hub, mut answer: Response<Body>) -> Response<Body> {
    if hub.is_draining() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn reach(
    hub: Arc<Hub>,
    request: Request<Incoming>,
    target: Target,
) -> Result<Response<Body>, Refusal> {
    match target {
        Target::Directory => Ok(directory(&hub)),
        Target::Models(entry) => models(&hub, &request, entry.as_deref()),
        Target::Completion { entry, path } => serve(hub, request, entry, path).await,
        Target::Service { entry, path } => serve(hub, request, Some(entry), path).await,
    }
}

/// Answers a request that another VM passed on. It has been checked there, and its claim is held there.
pub async fn forwarded(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let ended = pass(hub.clone(), request, path).await;
    closing(&hub, ended.unwrap_or_else(|refusal| refusal.response()))
}

async fn pass(
    hub: Arc<Hub>,
    request: Request<Incoming>,
    path: String,
) -> Result<Response<Body>, Refusal> {
    let arrived = Instant::now();
    let hops = forward::hops(request.headers());
    if hops.is_empty() || hops.contains(&hub.me) {
        return Err(Refusal::new(Reason::Loop, "the request has been at this VM before"));
    }
    let name = request.headers().get(&hub.site.headers.entry).and_then(|name| name.to_str().ok());
    let name: Option<id::Entry> = name.and_then(|name| name.parse().ok());
    let entry = name
        .and_then(|name| hub.view().entry(&name).cloned())
        .ok_or_else(|| hub.unknown_refusal())?;
    // Failure: a VM with an older catalogue passes on what has meanwhile been bound to its region; nothing of it is
    // read here.
    if entry.home.is_bound() && entry.home.region() != Some(hub.region()) {
        return Err(Refusal::new(Reason::HomeUnreachable, "the entry is bound to another region"));
    }
    let (parts, incoming) = request.into_parts();
    let deadline = arrived + deadline(&hub, &entry, &parts.headers)?;
    let bytes = read_body(&hub, incoming).await?;
    let times = (arrived, deadline);
    let job = Job { hops, ..build(&hub, entry, parts, bytes, path, None, times)? };
    Ok(start(hub, Arc::new(job))?.response().await)
}

fn directory(hub: &Hub) -> Response<Body> {
    let places = hub.live().into_iter().map(|live| Place {
        vm: live.vm,
        region: live.region,
        data_centre: live.data_centre,
        address: live.callers,
    });
    let directory = Directory { ttl_seconds: DIRECTORY_TTL, vms: places.collect() };
    let mut response = body::json(StatusCode::OK, &directory);
    let age = HeaderValue::from_str(&format!("max-age={DIRECTORY_TTL}"));
    if let Ok(age) = age {
        response.headers_mut().insert(header::CACHE_CONTROL, age);
    }
    response
}

fn models(
    hub: &Hub,
    request: &Request<Incoming>,
    entry: Option<&str>,
) -> Result<Response<Body>, Refusal> {
    let (entry, _) = entry_of(hub, request.headers(), entry)?;
    let names = match &entry.kind {
        Kind::Engine { models } => models.clone(),
        Kind::Service { .. } => Vec::new(),
    };
    let data = names.into_iter().map(|id| Model { id, object: "model", owned_by: "masticstream" });
    Ok(body::json(StatusCode::OK, &Models { object: "list", data: data.collect() }))
}

/// The entry that path or headers name, where the caller may use it.
fn entry_of(
    hub: &Hub,
    headers: &HeaderMap,
    named: Option<&str>,
) -> Result<(Arc<catalogue::Entry>, Origin), Refusal> {
    let header = headers.get(&hub.site.headers.entry).and_then(|value| value.to_str().ok());
    let Some(name) = named.or(header) else {
        let text = format!("name the catalogue entry in the header {}", hub.site.headers.entry);
        return Err(Refusal::new(Reason::UnknownEntry, text));
    };
    let unknown = || hub.unknown_refusal();
    let name: id::Entry = name.parse().map_err(|_| unknown())?;
    let view = hub.view();
    let record = view.record(&name).ok_or_else(unknown)?;
    let entry = record.entry.clone().ok_or_else(unknown)?;
    if !entry.tokens.is_empty() && !shows_token(headers, &entry.tokens) {
        return Err(Refusal::new(Reason::Unauthorized, "the entry asks for a bearer token"));
    }
    Ok((entry, Origin::new(record)))
}

/// Compares digests in constant time, and all of them, so that the time taken tells nothing about any.
fn shows_token(headers: &HeaderMap, digests: &[catalogue::TokenDigest]) -> bool {
    let shown = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let Some(token) = shown.and_then(|value| value.strip_prefix("Bearer ")) else { return false };
    let digest: [u8; 32] = Sha256::digest(token.trim().as_bytes()).into();
    let matches = digests.iter().map(|known| known.as_bytes().ct_eq(&digest));
    matches.fold(subtle::Choice::from(0), |any, one| any | one).into()
}

async fn serve(
    hub: Arc<Hub>,
    request: Request<Incoming>,
    named: Option<String>,
    path: String,
) -> Result<Response<Body>, Refusal> {
    let arrived = Instant::now();
    let (entry, origin) = entry_of(&hub, request.headers(), named.as_deref())?;
    check_kind(&entry, &path)?;
    check_loop(&hub, request.headers())?;
    if let Some(home) = elsewhere(&hub, &entry).filter(|_| entry.home.is_bound()) {
        return home_redirect(&hub, &entry, &home, request.uri());
    }
    let (parts, incoming) = request.into_parts();
    let key = key(&hub, &entry, &parts.headers)?;
    let deadline = arrived + deadline(&hub, &entry, &parts.headers)?;
    let bytes = read_body(&hub, incoming).await?;
    let times = (arrived, deadline);
    let job = Job { origin, ..build(&hub, entry, parts, bytes, path, key, times)? };
    Ok(start(hub, Arc::new(job))?.response().await)
}

/// Runs a request, or joins the one in progress under its key.
fn start(hub: Arc<Hub>, job: Arc<Job>) -> Result<crate::entry::transcript::Reader, Refusal> {
    let Some(key) = job.key.clone() else {
        let out = Arc::new(Writer::new(hub.memory.reservation()));
        let reader = out.reader();
        tokio::spawn(run::run(hub, job, out));
        return Ok(reader);
    };
    let name = Name { owner: job.entry.owner.clone(), key };
    match hub.running.enter(&name, job.digest) {
        Entrance::Joined(reader) => {
            hub.metrics.joined();
            Ok(reader)
        }
        Entrance::Mismatch => {
            Err(Refusal::new(Reason::KeyReused, "the key is in use for another request"))
        }
        Entrance::First(out) => {
            let reader = out.reader();
            tokio::spawn(async move {
                run::run(hub.clone(), job, out).await;
                hub.running.leave(&name);
            });
            Ok(reader)
        }
    }
}

fn check_kind(entry: &catalogue::Entry, path: &str) -> Result<(), Refusal> {
    let completion = path == "/v1/chat/completions" || path == "/v1/completions";
    match (&entry.kind, completion) {
        (Kind::Engine { .. }, false) => {
            Err(Refusal::new(Reason::NotFound, "the entry is served by engines: POST /v1/…"))
        }
        _ => Ok(()),
    }
}

/// Refuses a request that went through this VM before, by the path that our VMs note in `Via`. Foreign proxies
/// pass `Via` on, so a circle through them is found as well.
fn check_loop(hub: &Hub, headers: &HeaderMap) -> Result<(), Refusal> {
    let mine = format!("{VIA_PSEUDONYM}{}", hub.me);
    let seen = headers
        .get_all(header::VIA)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|hop| hop.split_whitespace().nth(1))
        .any(|hop| hop == mine);
    if seen {
        return Err(Refusal::new(Reason::Loop, "the request has been at this VM before"));
    }
    Ok(())
}

/// The home region, where it is another one.
fn elsewhere(hub: &Hub, entry: &catalogue::Entry) -> Option<id::Region> {
    entry.home.region().filter(|home| *home != hub.region()).cloned()
}

/// Sends a caller to its home region before a byte of the body is read: what is bound to a region never gets into
/// the memory or the logs of another.
fn home_redirect(
    hub: &Hub,
    entry: &catalogue::Entry,
    home: &id::Region,
    uri: &http::Uri,
) -> Result<Response<Body>, Refusal> {
    let there = hub.live().into_iter().find(|live| live.region == *home);
    let Some(address) = there.map(|live| live.callers) else {
        let text =
            format!("{} belongs to region {home}, and no VM there can be reached", entry.name);
        return Err(Refusal::new(Reason::HomeUnreachable, text).with_retry_after(ELSEWHERE));
    };
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut response = body::text(StatusCode::TEMPORARY_REDIRECT, "text/plain", "");
    if let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(response)
}

fn key(
    hub: &Hub,
    entry: &catalogue::Entry,
    headers: &HeaderMap,
) -> Result<Option<id::Key>, Refusal> {
    let name = &hub.site.headers.key;
    match headers.get(name) {
        Some(value) => {
            let key = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
            let wrong = || Refusal::new(Reason::BadRequest, format!("{name} is not a usable key"));
            key.map(Some).ok_or_else(wrong)
        }
        None if entry.repeat == Repeat::Never => {
            let text = format!("requests of this entry run at most once and need a {name}");
            Err(Refusal::new(Reason::KeyMissing, text))
        }
        None => Ok(None),
    }
}

fn deadline(hub: &Hub, entry: &catalogue::Entry, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let name = &hub.site.headers.deadline;
    let Some(value) = headers.get(name) else { return Ok(entry.deadline) };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let wrong = || Refusal::new(Reason::BadRequest, format!("{name} is no number of milliseconds"));
    millis.map(Duration::from_millis).map(|own| own.min(LONGEST_DEADLINE)).ok_or_else(wrong)
}

async fn read_body(hub: &Hub, incoming: Incoming) -> Result<Bytes, Refusal> {
    let reading = time::timeout(BODY, body::read(incoming, hub.site.body_bytes, &hub.memory));
    let read = tokio::select! {
        biased;
        read = reading => read,
        () = hub.cutoff().passed() => return Err(hub.cutoff_refusal(Ran::No)),
    };
    match read {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error @ body::Error::TooLarge(_))) => {
            Err(Refusal::new(Reason::TooLarge, error.to_string()))
        }
        Ok(Err(error @ body::Error::NoMemory)) => {
            let refusal = Refusal::new(Reason::Overload, error.to_string());
            Err(refusal.with_retry_after(NO_MEMORY_RETRY_AFTER))
        }
        Ok(Err(error)) => Err(Refusal::new(Reason::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(Reason::SlowBody, "the body did not arrive in time")),
    }
}

/// Headers that are passed on to upstreams; all others stay here, tokens and cookies among them.
fn passed_on(hub: &Hub, parts: &Parts) -> Vec<(HeaderName, HeaderValue)> {
    let passed = |name: &HeaderName| {
        *name == header::CONTENT_TYPE
            || *name == header::ACCEPT
            || *name == header::CONTENT_ENCODING
            || *name == header::IF_MATCH
            || name.as_str() == hub.site.headers.key
    };
    let kept = parts.headers.iter().filter(|(name, _)| passed(name));
    let mut kept: Vec<_> = kept.map(|(name, value)| (name.clone(), value.clone())).collect();
    if let Ok(via) = HeaderValue::from_str(&format!("1.1 {VIA_PSEUDONYM}{}", hub.me)) {
        let before = parts.headers.get_all(header::VIA).iter().cloned();
        kept.extend(before.chain([via]).map(|value| (header::VIA, value)));
    }
    kept
}

fn build(
    hub: &Hub,
    entry: Arc<catalogue::Entry>,
    parts: Parts,
    body: Bytes,
    path: String,
    key: Option<id::Key>,
    (arrived, deadline): (Instant, Instant),
) -> Result<Job, Refusal> {
    let content = Content::read(&entry, &body)?;
    Ok(Job {
        request: hub.random(id::Request::random),
        suspicion: quarantine::Digest::of(&entry.name, &body),
        parts: content.prefix.iter().copied().map(quarantine::Digest::of_part).collect(),
        digest: job::digest(&entry.name, &parts.method, &path, &body),
        headers: passed_on(hub, &parts),
        method: parts.method,
        entry,
        origin: Origin::default(),
        key,
        path,
        body,
        model: content.model,
        events: content.events,
        tokens: content.tokens,
        prompt: content.prompt,
        prefix: content.prefix,
        deadline,
        arrived,
        hops: Vec::new(),
    })
}
