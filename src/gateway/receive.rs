//! Request handling: authentication, routing and the response.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request;
use hyper::body::Incoming;
use slog::info;
use tokio::time;
use tokio::time::Instant;

use super::Call;
use super::Caller;
use super::State;
use super::attempt::OpenResponse;
use super::attempt::ResponseBody;
use super::call::Prompt;
use super::caller;
use super::headers;
use super::relay::Charge;
use super::relay::Hop;
use super::relay::Job;
use super::relay::Relay;
use super::state::CountGuard;
use super::stream::Stream;
use super::transfer::Transfer;
use crate::decide::quota;
use crate::http::Body;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::body;
use crate::id;
use crate::routing::Limits;
use crate::routing::Route;
use crate::routing::Table;

/// `Retry-After` for requests that arrive before the first document, which takes about a second.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Fraction of a caller's timeout for which a starting VM may wait for its document and upstreams.
/// The rest is enough for the request or for a retry at another VM.
pub const STARTUP_WAIT_FRACTION: f64 = 0.4;

/// `Retry-After` when another VM should be tried at once: this one is shutting down, or its
/// document may be outdated.
const FAILOVER_RETRY_AFTER: Duration = Duration::from_millis(20);

/// `Retry-After` while other bodies take up the memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a request got to this VM.
struct Origin {
    hop: Hop,
    /// Whether it may have reached an upstream before.
    is_retry: bool,
    /// Whether this VM counts it for the retry budget.
    is_counted_here: bool,
    /// The caller's organisation, as stated by the forwarding VM.
    organisation: Option<id::Owner>,
}

/// Evaluates headers between VMs only for forwarded requests, since callers can forge them.
fn parse_origin(hop: Hop, headers: &HeaderMap) -> Origin {
    let is_vm = hop == Hop::Forwarded;
    Origin {
        hop,
        is_retry: is_vm && headers.contains_key(headers::RETRY),
        is_counted_here: !is_vm || headers.contains_key(headers::COUNTED_BY_RECEIVER),
        organisation: if is_vm { caller::forwarded_organisation(headers) } else { None },
    }
}

/// Handles a request from a caller.
pub async fn handle_caller(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    handle(state, request, Hop::Ingress).await
}

/// Handles a request forwarded by another VM.
pub async fn handle_forwarded(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    handle(state, request, Hop::Forwarded).await
}

async fn handle(state: Arc<State>, request: Request<Incoming>, hop: Hop) -> Response<Body> {
    let received_at = Instant::now();
    let guard = state.track_request();
    let (head, body) = request.into_parts();
    let origin = parse_origin(hop, &head.headers);
    let mut response = match decode(&state, head) {
        Ok(call) => {
            let id = call.id.clone();
            let prepared = tokio::select! {
                biased;
                prepared = prepare(&state, call, body, origin, received_at) => prepared,
                () = state.cutoff().passed() => Err(stopping()),
            };
            match prepared {
                Ok(job) => respond(&state, job, guard).await,
                Err(refusal) => refuse(&state, Some(&id), &refusal, received_at),
            }
        }
        Err(refusal) => refuse(&state, None, &refusal, received_at),
    };
    if state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(
    state: &State,
    id: Option<&str>,
    refusal: &Refusal,
    received_at: Instant,
) -> Response<Body> {
    state.metrics().record_request(refusal.reason.name());
    info!(state.log(), "request.refused"; "request" => id, "reason" => refusal.reason.name(),
        "detail" => &refusal.detail, "ms" => received_at.elapsed().as_millis() as u64);
    state.adapter().encode_refusal(refusal)
}

fn decode(state: &State, head: request::Parts) -> Result<Call, Refusal> {
    if state.is_closed() {
        return Err(stopping());
    }
    state.adapter().decode_request(head)
}

/// Refuses a request that has not run, since this VM is stopping.
pub fn stopping() -> Refusal {
    let refusal = Refusal::new(Reason::Draining, "this VM is about to end");
    refusal.with_retry_after(FAILOVER_RETRY_AFTER)
}

/// Authenticates and routes a request, and reads its body.
async fn prepare(
    state: &State,
    call: Call,
    body: Incoming,
    origin: Origin,
    received_at: Instant,
) -> Result<Job, Refusal> {
    let wait_fraction = if origin.hop == Hop::Ingress { STARTUP_WAIT_FRACTION } else { 0.0 };
    let until = received_at + call.timeout.unwrap_or(STARTUP_RETRY_AFTER).mul_f64(wait_fraction);
    let (table, route) = resolve_route(state, &call, until).await?;
    let body = read_body(state, body, table.limits()).await?;
    let forwarded_organisation = origin.organisation.as_ref();
    let caller = Caller::identify(&table, &route, &call, (origin.hop, forwarded_organisation))?;
    if !caller.has_home(&route) {
        let text = "its route and its organisation have no home in common";
        return Err(Refusal::new(Reason::HomeUnreachable, text));
    }
    let charge = match origin.hop {
        Hop::Ingress => charge_quota(state, &caller, &call)?,
        Hop::Forwarded => None,
    };
    let service = route.target(state.random()).unwrap_or_default().to_owned();
    let timeout = call.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let deadline = received_at + timeout;
    let rank = table.rank(&route, caller.organisation());
    let urgent = table.goes_first(&route, &service);
    let Origin { hop, is_retry, is_counted_here, .. } = origin;
    Ok(Job {
        call,
        body,
        route,
        caller,
        charge,
        service,
        rank,
        urgent,
        deadline,
        received_at,
        hop,
        is_retry,
        is_counted_here,
        digest: OnceLock::new(),
        parts: OnceLock::new(),
    })
}

/// Finds the document and route. A VM that is starting waits until they are available.
async fn resolve_route(
    state: &State,
    call: &Call,
    until: Instant,
) -> Result<(Arc<Table>, Arc<Route>), Refusal> {
    loop {
        let found = try_resolve_route(state, call);
        let is_starting =
            |refusal: &Refusal| matches!(refusal.reason, Reason::Starting | Reason::Outdated);
        if !found.as_ref().is_err_and(is_starting) || !state.wait_for_update(until).await {
            return found;
        }
    }
}

fn try_resolve_route(state: &State, call: &Call) -> Result<(Arc<Table>, Arc<Route>), Refusal> {
    let Some(table) = state.routing().table else {
        let refusal = Refusal::new(Reason::Starting, "this VM has no document yet");
        return Err(refusal.with_retry_after(STARTUP_RETRY_AFTER));
    };
    let route = match_route(&table, call)?;
    if table.needs_key(&route) && !state.is_fresh() {
        let text = "this VM can't tell whether the keys that it knows are still good";
        return Err(Refusal::new(Reason::Outdated, text).with_retry_after(FAILOVER_RETRY_AFTER));
    }
    Ok((table, route))
}

fn match_route(table: &Table, call: &Call) -> Result<Arc<Route>, Refusal> {
    let found = table.route(&call.host, call.target.path()).cloned();
    found.ok_or_else(|| Refusal::new(Reason::NotFound, "no route takes this host and path"))
}

/// Charges the organisation's allowance, only at the VM that received the request from the caller.
fn charge_quota(state: &State, caller: &Caller, call: &Call) -> Result<Option<Charge>, Refusal> {
    let Some(organisation) = caller.organisation() else { return Ok(None) };
    let Some(allowance) = &organisation.allowance else { return Ok(None) };
    let charge = Charge {
        organisation: quota::Key::new(&organisation.name),
        cost: allowance.unit.cost(call.prompt.as_ref().map(Prompt::total_tokens)),
    };
    let admitted = state.meter().admit(charge.organisation, allowance, charge.cost, Instant::now());
    match admitted {
        Ok(()) => Ok(Some(charge)),
        Err(after) => {
            let spread = 1.0 + (state.random() % 256) as f64 / 512.0;
            let text = format!("{} asks for more than its allowance", organisation.name);
            Err(Refusal::new(Reason::Limit, text).with_retry_after(after.mul_f64(spread)))
        }
    }
}

async fn read_body(state: &State, body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let reading = body::read(body, limits.body_bytes, state.memory());
    match time::timeout(limits.head_time, reading).await {
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

async fn respond(state: &Arc<State>, job: Job, guard: CountGuard) -> Response<Body> {
    let (hop, service, urgent) = (job.hop, job.service.clone(), job.urgent);
    let received_at = job.received_at;
    let mut relay = Relay::new(state.clone(), job);
    let opened = tokio::select! {
        biased;
        opened = relay.open(None) => Some(opened),
        () = state.cutoff().passed() => None,
    };
    let opened = opened.unwrap_or_else(|| relay.cut_off());
    let mut response = match opened {
        Ok(opened) => {
            state.metrics().observe_first_event(received_at.elapsed());
            build_response(state, relay, opened, guard)
        }
        Err(refusal) => {
            if let (Some(charge), Ran::No) = (relay.job().charge, refusal.ran) {
                state.meter().refund(charge.organisation, charge.cost);
            }
            state.metrics().record_request(refusal.reason.name());
            info!(state.log(), "request.ended"; "request" => &relay.job().call.id,
                "outcome" => refusal.reason.name(), "detail" => &refusal.detail,
                "ran" => ?refusal.ran, "attempts" => relay.attempts(),
                "retry_after_ms" => refusal.retry_after.map(|after| after.as_millis() as u64),
                "ms" => received_at.elapsed().as_millis() as u64);
            let mut response = state.adapter().encode_refusal(&refusal);
            if hop == Hop::Forwarded && relay.has_reached_upstream() {
                response
                    .headers_mut()
                    .insert(headers::REACHED_UPSTREAM, HeaderValue::from_static("1"));
            }
            response
        }
    };
    if hop == Hop::Forwarded {
        add_outlook(state, &service, urgent, &mut response);
    }
    response
}

fn build_response(
    state: &Arc<State>,
    relay: Relay,
    opened: OpenResponse,
    guard: CountGuard,
) -> Response<Body> {
    let body = match opened.body {
        ResponseBody::Streaming(source) => {
            Stream::new(state.clone(), relay, *source, guard).into_body()
        }
        ResponseBody::Buffered(bytes) => {
            state.metrics().record_request("answered");
            info!(state.log(), "request.ended"; "request" => &relay.job().call.id,
                "outcome" => "answered", "status" => opened.head.status.as_u16(),
                "attempts" => relay.attempts(),
                "ms" => relay.job().received_at.elapsed().as_millis() as u64);
            body::full(bytes)
        }
        ResponseBody::Partial(partial) => {
            let status = opened.head.status;
            Transfer::start(state.clone(), relay, status, *partial, guard)
        }
    };
    Response::from_parts(opened.head, body)
}

/// Reports this region's outlook to the forwarding VM.
fn add_outlook(state: &State, service: &str, urgent: bool, response: &mut Response<Body>) {
    let outlook = state.place().outlook(service, urgent, Instant::now());
    if let Some(outlook) = outlook {
        headers::insert_outlook(response.headers_mut(), &outlook);
    }
}
