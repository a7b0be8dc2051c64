//! Taking a request in, and answering it.

use std::sync::Arc;
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
use super::Hub;
use super::attempt::Content;
use super::attempt::Opened;
use super::call::Prompt;
use super::caller;
use super::headers;
use super::hub::InProgress;
use super::relay::Charge;
use super::relay::Job;
use super::relay::Layer;
use super::relay::Relay;
use super::stream::Stream;
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

/// A caller that comes while this VM has no document yet is told to come back after this; one arrives within a second.
const STARTING: Duration = Duration::from_millis(300);

/// The part of a caller's time in which a VM that has just started may wait for what it has to know. The rest is enough
/// for the request itself, or for another VM.
pub const WAITED: f64 = 0.4;

/// A caller of a VM that is about to end, or out of touch with control, is told to go to another one after this.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// How a request came to this VM.
struct Origin {
    layer: Layer,
    /// Whether it may have arrived at an upstream before.
    is_repeat: bool,
    /// The organisation of its caller, as another VM names it.
    organisation: Option<id::Owner>,
}

/// Only other VMs are believed: callers may write what they like.
fn origin(layer: Layer, told: &HeaderMap) -> Origin {
    let is_vm = layer == Layer::Forwarded;
    Origin {
        layer,
        is_repeat: is_vm && told.contains_key(headers::REPEAT),
        organisation: if is_vm { caller::passed_on(told) } else { None },
    }
}

/// Answers a caller.
pub async fn from_caller(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    receive(hub, request, Layer::First).await
}

/// Answers another VM that passes a request on.
pub async fn from_vm(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    receive(hub, request, Layer::Forwarded).await
}

async fn receive(hub: Arc<Hub>, request: Request<Incoming>, layer: Layer) -> Response<Body> {
    let arrived = Instant::now();
    let progress = hub.enter();
    let (head, body) = request.into_parts();
    let origin = origin(layer, &head.headers);
    let mut response = match decode(&hub, head) {
        Ok(call) => {
            let id = call.id.clone();
            match prepare(&hub, call, body, origin, arrived).await {
                Ok(job) => answer(&hub, job, progress).await,
                Err(refusal) => refuse(&hub, Some(&id), &refusal, arrived),
            }
        }
        Err(refusal) => refuse(&hub, None, &refusal, arrived),
    };
    if hub.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(hub: &Hub, id: Option<&str>, refusal: &Refusal, arrived: Instant) -> Response<Body> {
    hub.metrics().ended(refusal.reason.name());
    info!(hub.log(), "request.refused"; "request" => id, "reason" => refusal.reason.name(),
        "detail" => &refusal.detail, "ms" => arrived.elapsed().as_millis() as u64);
    hub.adapter().refuse(refusal)
}

fn decode(hub: &Hub, head: request::Parts) -> Result<Call, Refusal> {
    if hub.is_closed() {
        let refusal = Refusal::new(Reason::Draining, "this VM is about to end");
        return Err(refusal.with_retry_after(ELSEWHERE));
    }
    hub.adapter().call(head)
}

/// Finds the route of a request and reads its body.
async fn prepare(
    hub: &Hub,
    call: Call,
    body: Incoming,
    origin: Origin,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let waited = if origin.layer == Layer::First { WAITED } else { 0.0 };
    let until = arrived + call.patience.unwrap_or(STARTING).mul_f64(waited);
    let (table, route) = find(hub, &call, until).await?;
    let body = read(body, table.limits()).await?;
    let passed_on = origin.organisation.as_ref();
    let caller = Caller::identify(&table, &route, &call, (origin.layer, passed_on))?;
    if !caller.has_home(&route) {
        let text = "its route and its organisation have no home in common";
        return Err(Refusal::new(Reason::HomeUnreachable, text));
    }
    let charge = match origin.layer {
        Layer::First => charge(hub, &caller, &call)?,
        Layer::Forwarded => None,
    };
    let service = route.target(hub.draw()).unwrap_or_default().to_owned();
    let patience = call.patience.map_or(route.timeout, |patience| patience.min(route.timeout));
    let deadline = arrived + patience;
    let rank = table.rank(&route, caller.organisation());
    let urgent = table.goes_first(&route, &service);
    let Origin { layer, is_repeat, .. } = origin;
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
        arrived,
        layer,
        is_repeat,
    })
}

/// The document in force and the request's route; a VM that has just started waits for what it needs to know.
async fn find(hub: &Hub, call: &Call, until: Instant) -> Result<(Arc<Table>, Arc<Route>), Refusal> {
    loop {
        let found = find_now(hub, call);
        let is_starting =
            |refusal: &Refusal| matches!(refusal.reason, Reason::Starting | Reason::Outdated);
        if !found.as_ref().is_err_and(is_starting) || !hub.hears_more(until).await {
            return found;
        }
    }
}

fn find_now(hub: &Hub, call: &Call) -> Result<(Arc<Table>, Arc<Route>), Refusal> {
    let Some(table) = hub.routing().table else {
        let refusal = Refusal::new(Reason::Starting, "this VM has no document yet");
        return Err(refusal.with_retry_after(STARTING));
    };
    let route = route(&table, call)?;
    if table.needs_key(&route) && !hub.is_current() {
        let text = "this VM can't tell whether the keys that it knows are still good";
        return Err(Refusal::new(Reason::Outdated, text).with_retry_after(ELSEWHERE));
    }
    Ok((table, route))
}

fn route(table: &Table, call: &Call) -> Result<Arc<Route>, Refusal> {
    let found = table.route(&call.host, call.target.path()).cloned();
    found.ok_or_else(|| Refusal::new(Reason::NotFound, "no route takes this host and path"))
}

/// Takes a request off its organisation's allowance, once, at the VM that its caller asked.
fn charge(hub: &Hub, caller: &Caller, call: &Call) -> Result<Option<Charge>, Refusal> {
    let Some(organisation) = caller.organisation() else { return Ok(None) };
    let Some(allowance) = &organisation.allowance else { return Ok(None) };
    let charge = Charge {
        organisation: quota::Key::new(&organisation.name),
        cost: allowance.unit.cost(call.prompt.as_ref().map(Prompt::stated)),
    };
    let admitted = hub.meter().admit(charge.organisation, allowance, charge.cost, Instant::now());
    match admitted {
        Ok(()) => Ok(Some(charge)),
        Err(after) => {
            let spread = 1.0 + (hub.draw() % 256) as f64 / 512.0;
            let text = format!("{} asks for more than its allowance", organisation.name);
            Err(Refusal::new(Reason::Limit, text).with_retry_after(after.mul_f64(spread)))
        }
    }
}

async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    match time::timeout(limits.head_time, body::read(body, limits.body_bytes)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error @ body::Error::TooLarge(_))) => {
            Err(Refusal::new(Reason::TooLarge, error.to_string()))
        }
        Ok(Err(error)) => Err(Refusal::new(Reason::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(Reason::SlowBody, "the body did not arrive in time")),
    }
}

async fn answer(hub: &Arc<Hub>, job: Job, progress: InProgress) -> Response<Body> {
    let (layer, service, urgent) = (job.layer, job.service.clone(), job.urgent);
    let arrived = job.arrived;
    let mut relay = Relay::new(hub.clone(), job);
    let opened = relay.open(None).await;
    let mut response = match opened {
        Ok(opened) => {
            hub.metrics().first_event(arrived.elapsed());
            pass_on(hub, relay, opened, progress)
        }
        Err(refusal) => {
            if let (Some(charge), Ran::No) = (relay.job().charge, refusal.ran) {
                hub.meter().refund(charge.organisation, charge.cost);
            }
            hub.metrics().ended(refusal.reason.name());
            info!(hub.log(), "request.ended"; "request" => &relay.job().call.id,
                "outcome" => refusal.reason.name(), "detail" => &refusal.detail,
                "ran" => ?refusal.ran, "attempts" => relay.attempts(),
                "retry_after_ms" => refusal.retry_after.map(|after| after.as_millis() as u64),
                "ms" => arrived.elapsed().as_millis() as u64);
            let mut response = hub.adapter().refuse(&refusal);
            if layer == Layer::Forwarded && relay.has_arrived() {
                response.headers_mut().insert(headers::ARRIVED, HeaderValue::from_static("1"));
            }
            response
        }
    };
    if layer == Layer::Forwarded {
        tell_outlook(hub, &service, urgent, &mut response);
    }
    response
}

fn pass_on(hub: &Arc<Hub>, relay: Relay, opened: Opened, progress: InProgress) -> Response<Body> {
    let body = match opened.content {
        Content::Stream(source) => Stream::new(hub.clone(), relay, *source, progress).into_body(),
        Content::Whole(bytes) => {
            hub.metrics().ended("answered");
            info!(hub.log(), "request.ended"; "request" => &relay.job().call.id,
                "outcome" => "answered", "status" => opened.head.status.as_u16(),
                "attempts" => relay.attempts(),
                "ms" => relay.job().arrived.elapsed().as_millis() as u64);
            body::full(bytes)
        }
    };
    Response::from_parts(opened.head, body)
}

/// The VM that passed the request on learns how this region stands.
fn tell_outlook(hub: &Hub, service: &str, urgent: bool, response: &mut Response<Body>) {
    let outlook = hub.place().outlook(service, urgent, Instant::now());
    if let Some(outlook) = outlook {
        headers::tell_outlook(response.headers_mut(), &outlook);
    }
}
