//! Operators: the paths and fields of the catalogue, status, metrics and state dumps.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::catalogue;
use crate::catalogue::Change;
use crate::catalogue::Edit;
use crate::catalogue::Record;
use crate::dump;
use crate::entry::Hub;
use crate::http::Body;
use crate::http::body;
use crate::id;
use crate::settings::Site;
use crate::unit::Version;
use crate::wire::message::Unavailable;

/// The largest catalogue entry, in bytes.
const ENTRY_BYTES: u64 = 256 << 10;

/// A change as an operator sends it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Wanted {
    /// Names the operation over resends.
    pub operation: id::Operation,
    /// The entry's version that the operator saw; zero for a new name.
    pub replaces: Version,
    /// The entry's new content; none deletes it.
    pub entry: Option<catalogue::Entry>,
}

/// What an operator hears of a change.
#[derive(Debug, Serialize, Deserialize)]
pub struct Result {
    /// `accepted`, `conflict`, `refused` or `unknown`.
    pub result: String,
    /// The version that the change made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// The entry as it stands, where another change came first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub winner: Option<Record>,
    /// What to do next.
    pub next: String,
}

/// One VM of a rollout.
#[derive(Debug, Serialize, Deserialize)]
pub struct InForce {
    /// The VM.
    pub vm: id::Vm,
    /// The version in force there; none where it can't be asked.
    pub version: Option<Version>,
    /// Whether the entry's present content is in force there.
    pub in_force: bool,
}

#[derive(Serialize)]
struct Wrong {
    error: String,
    next: &'static str,
}

fn wrong(status: StatusCode, error: impl ToString, next: &'static str) -> Response<Body> {
    body::json(status, &Wrong { error: error.to_string(), next })
}

/// Answers an operator of an entry daemon.
pub async fn answer(hub: Arc<Hub>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let get = request.method() == Method::GET;
    match path.as_str() {
        "/healthz" if get => return health(&hub),
        "/metrics" if get => return metrics(&hub),
        _ => (),
    }
    if !is_allowed(&hub.site, &request) {
        let next = "give the operators' token with --token-file";
        return wrong(StatusCode::UNAUTHORIZED, "the operators' token is missing or wrong", next);
    }
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["entries"]) => body::json(StatusCode::OK, &records(&hub)),
        (&Method::GET, ["entries", name]) => entry(&hub, name),
        (&Method::GET, ["entries", name, "rollout"]) => rollout(&hub, name).await,
        (&Method::PUT | &Method::DELETE, ["entries", name]) => change(&hub, name, request).await,
        (&Method::GET, ["dump"]) => body::json(StatusCode::OK, &dump::entry(&hub)),
        (&Method::GET, ["status"]) => body::json(StatusCode::OK, &dump::status(&hub)),
        (&Method::POST, ["drain"]) => {
            hub.drain();
            body::json(StatusCode::ACCEPTED, &dump::status(&hub))
        }
        _ => {
            let next = "see /entries, /entries/{name}, /entries/{name}/rollout, /status, /dump, /drain, \
                        /metrics, /healthz";
            wrong(StatusCode::NOT_FOUND, "no such path", next)
        }
    }
}

/// Whether a request shows the operators' token, where there is one.
pub fn is_allowed(site: &Site, request: &Request<Incoming>) -> bool {
    let Some(token) = &site.operator_token else { return true };
    let shown = request.headers().get(header::AUTHORIZATION);
    let shown = shown.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    shown.is_some_and(|shown| shown.ct_eq(token.as_bytes()).into())
}

fn health(hub: &Hub) -> Response<Body> {
    if hub.is_draining() {
        return body::text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "draining\n");
    }
    body::text(StatusCode::OK, "text/plain", "ok\n")
}

fn metrics(hub: &Hub) -> Response<Body> {
    let waiting = hub.dispatch().waiting();
    hub.metrics.set_intake(&hub.memory, &hub.client);
    let text = hub.metrics.encode(waiting, hub.streams(), hub.version().get());
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    body::text(StatusCode::OK, kind, text)
}

fn records(hub: &Hub) -> Vec<Record> {
    hub.view().records().filter(|record| record.entry.is_some()).cloned().collect()
}

fn entry(hub: &Hub, name: &str) -> Response<Body> {
    let record = name.parse().ok().and_then(|name: id::Entry| hub.view().record(&name).cloned());
    match record {
        Some(record) => body::json(StatusCode::OK, &record),
        None => wrong(StatusCode::NOT_FOUND, "no such entry", "see the names with: mastic list"),
    }
}

async fn change(hub: &Hub, name: &str, request: Request<Incoming>) -> Response<Body> {
    let deletes = request.method() == Method::DELETE;
    let next = "send {operation, replaces, entry} as JSON, as mastic put does";
    let name: id::Entry = match name.parse() {
        Ok(name) => name,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, format!("the name {error}"), next),
    };
    let bytes = match body::read(request.into_body(), ENTRY_BYTES, &hub.memory).await {
        Ok(bytes) => bytes,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, error, next),
    };
    let wanted: Wanted = match serde_json::from_slice(&bytes) {
        Ok(wanted) => wanted,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, error, next),
    };
    let edit = match (deletes, wanted.entry) {
        (true, None) => Edit::Delete(name),
        (false, Some(entry)) if entry.name == name => Edit::Put(Arc::new(entry)),
        _ => return wrong(StatusCode::BAD_REQUEST, "path and content name no one entry", next),
    };
    let change = Change::new(wanted.operation, wanted.replaces, edit);
    let (status, result) = told(hub.change(&change).await);
    body::json(status, &result)
}

fn told(reply: std::result::Result<catalogue::Reply, Unavailable>) -> (StatusCode, Result) {
    let (status, result, version, winner, next) = match reply {
        Ok(catalogue::Reply::Accepted { version }) => {
            let next = "see where it is in force with: mastic rollout NAME";
            (StatusCode::OK, "accepted", Some(version), None, next.to_owned())
        }
        Ok(catalogue::Reply::Conflict { winner }) => {
            let next =
                "another change came first: look at the winner, then put again on its version";
            (StatusCode::CONFLICT, "conflict", None, winner, next.to_owned())
        }
        Ok(catalogue::Reply::Reused) => {
            let next = "the operation's number was used for another change: use a fresh one";
            (StatusCode::UNPROCESSABLE_ENTITY, "refused", None, None, next.to_owned())
        }
        Ok(catalogue::Reply::Invalid(invalid)) => {
            let next = format!("mend the entry: {invalid}");
            (StatusCode::UNPROCESSABLE_ENTITY, "refused", None, None, next)
        }
        Ok(_) | Err(Unavailable::Unknown) => {
            let next = "it is not known whether the change was accepted: send it again with the same operation";
            (StatusCode::GATEWAY_TIMEOUT, "unknown", None, None, next.to_owned())
        }
        Err(Unavailable::NoLeader) => {
            let next =
                "nothing was changed, for no majority of control VMs can be reached: send it again";
            (StatusCode::SERVICE_UNAVAILABLE, "refused", None, None, next.to_owned())
        }
    };
    (status, Result { result: result.to_owned(), version, winner, next })
}

async fn rollout(hub: &Hub, name: &str) -> Response<Body> {
    let record = name.parse().ok().and_then(|name: id::Entry| hub.view().record(&name).cloned());
    let Some(record) = record else {
        return wrong(StatusCode::NOT_FOUND, "no such entry", "see the names with: mastic list");
    };
    let versions = hub.versions().await;
    let vms = versions.into_iter().map(|(vm, version)| InForce {
        vm,
        version,
        in_force: version.is_some_and(|version| version >= record.version),
    });
    body::json(StatusCode::OK, &vms.collect::<Vec<_>>())
}
