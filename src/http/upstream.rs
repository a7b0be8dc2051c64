//! Upstreams that announce themselves: the paths and fields that they use.

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Hub;
use crate::http::Body;
use crate::http::body;
use crate::id;
use crate::unit::Incarnation;
use crate::upstream::Announcement;

/// The largest announcement, in bytes.
const ANNOUNCEMENT_BYTES: u64 = 64 << 10;

/// What an upstream hears back.
#[derive(Debug, Serialize, Deserialize)]
pub struct Welcome {
    /// How long the announcement holds without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Other VMs that take announcements, to be tried when this one is gone.
    pub others: Vec<std::net::SocketAddr>,
}

#[derive(Debug, Serialize)]
struct Wrong {
    error: String,
}

fn wrong(status: StatusCode, error: impl ToString) -> Response<Body> {
    body::json(status, &Wrong { error: error.to_string() })
}

/// Answers an upstream.
pub async fn answer(hub: &Hub, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Some(name) = path.strip_prefix("/upstreams/") else {
        return wrong(StatusCode::NOT_FOUND, "upstreams announce at PUT /upstreams/{id}");
    };
    let id: id::Upstream = match name.parse() {
        Ok(id) => id,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, format!("the id {error}")),
    };
    match *request.method() {
        Method::PUT => announce(hub, id, request).await,
        Method::DELETE => leave(hub, &id, &request),
        _ => wrong(StatusCode::METHOD_NOT_ALLOWED, "PUT announces and renews, DELETE leaves"),
    }
}

async fn announce(hub: &Hub, id: id::Upstream, request: Request<Incoming>) -> Response<Body> {
    let bytes = match body::read(request.into_body(), ANNOUNCEMENT_BYTES, &hub.memory).await {
        Ok(bytes) => bytes,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, error),
    };
    let mut fields: serde_json::Value = match serde_json::from_slice(&bytes) {
        Ok(fields) => fields,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, error),
    };
    if let Some(map) = fields.as_object_mut() {
        map.insert("id".to_owned(), serde_json::Value::from(id.as_str()));
        if let Some(checks) = map.remove("checks_fencing") {
            map.insert("checks_fence".to_owned(), checks);
        }
    }
    let announcement: Announcement = match serde_json::from_value(fields) {
        Ok(announcement) => announcement,
        Err(error) => return wrong(StatusCode::BAD_REQUEST, error),
    };
    if announcement.region != *hub.region() {
        let text = format!("this VM stands in region {}; announce in your own", hub.region());
        return wrong(StatusCode::CONFLICT, text);
    }
    if !hub.announce(announcement) {
        let text =
            "a newer announcement is known, or this start has left; announce a higher incarnation";
        return wrong(StatusCode::CONFLICT, text);
    }
    let lease_ms = crate::upstream::LEASE.as_millis() as u64;
    body::json(StatusCode::OK, &Welcome { lease_ms, others: hub.other_announce_addresses() })
}

fn leave(hub: &Hub, id: &id::Upstream, request: &Request<Incoming>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let number = query.split('&').find_map(|pair| pair.strip_prefix("incarnation="));
    let incarnation: Incarnation = match number.map(str::parse) {
        Some(Ok(incarnation)) => incarnation,
        _ => return wrong(StatusCode::BAD_REQUEST, "say which start leaves: ?incarnation=N"),
    };
    hub.leave(id, incarnation);
    body::text(StatusCode::NO_CONTENT, "text/plain", "")
}
